"""Client of the platform's store: keyed topics of its log."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
from urllib.parse import urlencode

from attrs import frozen

from cicadaledge.edge import (
    Change,
    ChangePage,
    FleetMember,
    ForeignEntry,
    HistoryLostError,
    HttpConnection,
    ServerChanged,
    ServerRemoved,
    StoreError,
    TableChanged,
    ZoneChanged,
    clock_ms,
)
from cicadaledge.errors import BackendError
from cicadaledge.platform._decode import decode_server, decode_table

_OK = 200
_GONE = 410
_CALL_TIMEOUT_MS = 900.0  # three tries fit into the time in which a configuration must apply
_CONNECT_TIMEOUT_MS = 700.0  # one lost packet at connecting costs a new try
_IDLE_MS = 10_000.0  # the store closes idle connections after a longer time
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_OPERATOR_TOPIC = "keyed.op"
_SERVER_TOPIC = "keyed.servers"
_MEMBER_TOPIC = "keyed.routers"
_TABLE_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
_PATH = "/cicadaledge/"


@frozen
class _KeyedRecord:
    """A record of a keyed topic; without a value the key was dropped."""

    key: str
    value: bytes


@frozen
class _Page:
    records: list[_KeyedRecord]
    next_offset: int
    proof_ms: float


class StoreClient:
    """Calls the store, on one connection for each caller at a time.

    Args:
        host: Address of the store.
        port: Its port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[HttpConnection] = []

    async def read(self, topic: str, offset: int, wait_ms: int) -> _Page:
        """Return the records of a topic from an offset on.

        Raises:
            HistoryLostError: The offset is no longer kept.
            StoreError: The store did not answer.
        """
        query = {"topic": topic, "part": 0, "from": offset}
        if wait_ms:
            query["waitMs"] = wait_ms
        sent_ms = clock_ms()
        data = await self._call("GET", "log-read", query, b"", wait_ms)
        end = int.from_bytes(data[:_OFFSET_BYTES], "big")
        records = _decode_records(data[2 * _OFFSET_BYTES :])
        waited_out = not records and clock_ms() - sent_ms >= wait_ms
        proof_ms = sent_ms + wait_ms if waited_out else sent_ms
        next_offset = offset + len(records)
        return _Page(records, next_offset, proof_ms if next_offset >= end else float("-inf"))

    async def newest(self, topic: str) -> _Page:
        """Return the newest record of each key of a topic.

        Pages are no snapshot: what changes meanwhile is read again from the returned offset.

        Raises:
            StoreError: The store did not answer.
        """
        sent_ms = clock_ms()
        records: list[_KeyedRecord] = []
        end: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": 0}
        while True:
            data = await self._call("GET", "log-newest", query, b"", 0)
            page = json.loads(data)
            end = page["endOffset"] if end is None else end
            for item in page["items"]:
                records.append(_KeyedRecord(item["key"], base64.b64decode(item["value"])))
            if not page.get("hasMore") or not page["items"]:
                return _Page(records, int(end), sent_ms)
            query["after"] = page["items"][-1]["key"]

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record to a keyed topic.

        Raises:
            StoreError: The store did not answer; the record may have been appended.
        """
        name = key.encode()
        record = bytes([len(name)]) + name + value
        body = len(record).to_bytes(_LENGTH_BYTES, "big") + record
        await self._call("POST", "log-append", {"topic": topic, "part": 0}, body, 0)

    async def _call(
        self, method: str, call: str, query: dict[str, Any], body: bytes, wait_ms: int
    ) -> bytes:
        target = f"{_PATH}{call}?{urlencode(query)}"
        connection = None
        try:
            async with asyncio.timeout((_CALL_TIMEOUT_MS + wait_ms) / 1000):
                connection = await self._take()
                host = f"{self._host}:{self._port}".encode()
                connection.send(method, target, [(b"Host", host)], body)
                head = await connection.head()
                data = await connection.body()
        except (BackendError, TimeoutError) as error:
            if connection is not None:
                connection.abort()
            raise StoreError(f"{call} was not answered: {str(error) or 'time-out'}") from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        if connection.finish():
            self._idle.append(connection)
        else:
            connection.channel.close()
        if head.status == _GONE:
            raise HistoryLostError(f"{call}: the history of {query['topic']} is gone")
        if head.status != _OK:
            raise StoreError(f"{call} was answered with {head.status}")
        return data

    async def _take(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(_IDLE_MS):
                return connection
            connection.channel.close()
        return await HttpConnection.open(self._host, self._port, "the store", _CONNECT_TIMEOUT_MS)


class ControlTopic:
    """What the operator writes: the configuration and evacuated zones."""

    name = "control"

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def newest(self) -> ChangePage:
        """Return the configuration and the evacuated zones."""
        return self._decode(await self._client.newest(_OPERATOR_TOPIC))

    async def since(self, offset: int, wait_ms: int) -> ChangePage:
        """Return what the operator wrote from an offset on."""
        return self._decode(await self._client.read(_OPERATOR_TOPIC, offset, wait_ms))

    def _decode(self, page: _Page) -> ChangePage:
        changes: list[Change] = []
        for record in page.records:
            if record.key == _TABLE_KEY and record.value:
                changes.append(TableChanged(decode_table(record.value)))
            elif record.key.startswith(_EVACUATION_PREFIX):
                zone = record.key.removeprefix(_EVACUATION_PREFIX)
                changes.append(ZoneChanged(zone, bool(record.value)))
        return ChangePage(changes, page.next_offset, page.proof_ms)


class ServerTopic:
    """Heartbeats of backend servers."""

    name = "servers"

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def newest(self) -> ChangePage:
        """Return the newest heartbeat of each server."""
        return self._decode(await self._client.newest(_SERVER_TOPIC))

    async def since(self, offset: int, wait_ms: int) -> ChangePage:
        """Return heartbeats from an offset on."""
        return self._decode(await self._client.read(_SERVER_TOPIC, offset, wait_ms))

    def _decode(self, page: _Page) -> ChangePage:
        changes = [_server_change(record.key, record.value) for record in page.records]
        return ChangePage(changes, page.next_offset, page.proof_ms)


class MemberTopic:
    """Router processes, each under its name."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def announce(self, member: FleetMember) -> None:
        """Write a process's entry."""
        plain = {
            "host": member.host,
            "port": member.peer_port,
            "zone": member.zone,
            "started": member.started_ms,
            "announced": member.announced,
        }
        await self._client.append(_MEMBER_TOPIC, member.router, json.dumps(plain).encode())

    async def members(self) -> list[FleetMember]:
        """Return all entries."""
        page = await self._client.newest(_MEMBER_TOPIC)
        return [_member(record) for record in page.records]


def _member(record: _KeyedRecord) -> FleetMember:
    plain = json.loads(record.value)
    return FleetMember(
        router=record.key,
        host=plain["host"],
        peer_port=plain["port"],
        zone=plain["zone"],
        started_ms=plain["started"],
        announced=plain["announced"],
    )


def _server_change(server: str, value: bytes) -> Change:
    if not value:
        return ServerRemoved(server)
    try:
        return ServerChanged(decode_server(server, value))
    except ValueError as error:
        return ForeignEntry(server, str(error))


def _decode_records(data: bytes) -> list[_KeyedRecord]:
    records = []
    place = 0
    while place + _LENGTH_BYTES <= len(data):
        length = int.from_bytes(data[place : place + _LENGTH_BYTES], "big")
        place += _LENGTH_BYTES
        content = data[place : place + length]
        place += length
        key_end = 1 + content[0] if content else 0
        key = content[1:key_end].decode("utf-8", "replace")
        records.append(_KeyedRecord(key, bytes(content[key_end:])))
    return records

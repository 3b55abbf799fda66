"""Client of the platform's store: keyed topics of its log."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any, ClassVar
from urllib.parse import urlencode

from attrs import evolve, frozen

from cicadaledge.edge import (
    Change,
    ChangePage,
    EvidenceSeen,
    FleetMember,
    HistoryLostError,
    HttpConnection,
    MemberSeen,
    ServerChanged,
    ServerRemoved,
    StoreError,
    SuspectRegistry,
    TableChanged,
    UnreadableEntry,
    ZoneChanged,
    clock_ms,
    timeout_after_reads,
)
from cicadaledge.errors import BackendError
from cicadaledge.platform._decode import (
    decode_evidence,
    decode_member,
    decode_server,
    decode_table,
)
from cicadaledge.suspects import Evidence

_OK = 200
_GONE = 410
_CALL_TIMEOUT_MS = 900.0  # three tries fit into the time in which a configuration must apply
_CONNECT_TIMEOUT_MS = 700.0  # one lost packet at connecting costs a new try
_IDLE_MS = 10_000.0  # the store closes idle connections after a longer time
_ANSWER_LIMIT_BYTES = 4 * 1_048_576  # the store's pages are 1 MB, half as much again in base64
_NEWEST_LIMIT_BYTES = 16 * 1_048_576  # entries of 600 servers and 380 routers are far below
_REASON_LIMIT = 300  # characters of a log line on a record that cannot be read
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
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
    first_offset: int
    next_offset: int
    proof_ms: float
    data: bytes = b""


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
        page = _read_page(data[2 * _OFFSET_BYTES :], offset, sent_ms)
        if page.next_offset < end:
            return evolve(page, proof_ms=float("-inf"))
        waited_out = not page.records and clock_ms() - sent_ms >= wait_ms
        return evolve(page, proof_ms=sent_ms + wait_ms) if waited_out else page

    async def newest(self, topic: str) -> _Page:
        """Return the newest record of each key of a topic.

        Pages are no snapshot: what changes meanwhile is read again from the returned offset.

        Raises:
            StoreError: The store did not answer, or its pages have no end.
        """
        sent_ms = clock_ms()
        size = 0
        records: list[_KeyedRecord] = []
        end: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": 0}
        while True:
            data = await self._call("GET", "log-newest", query, b"", 0)
            size += len(data)
            if size > _NEWEST_LIMIT_BYTES:
                raise StoreError(f"the pages of {topic} are over {_NEWEST_LIMIT_BYTES} bytes")
            try:
                page = json.loads(data)
                end = int(page["endOffset"]) if end is None else end
                for item in page["items"]:
                    records.append(_KeyedRecord(item["key"], base64.b64decode(item["value"])))
                if not page.get("hasMore") or not page["items"]:
                    return _Page(records, 0, end, sent_ms)
                query["after"] = page["items"][-1]["key"]
            except (ValueError, LookupError, TypeError, AttributeError) as error:
                raise StoreError(f"a page of {topic} cannot be read: {error!r}") from error

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
            async with timeout_after_reads(_CALL_TIMEOUT_MS + wait_ms):
                connection = await self._take()
                host = f"{self._host}:{self._port}".encode()
                connection.send(method, target, [(b"Host", host)], body)
                head = await connection.read_head()
                data = await connection.read_body(_ANSWER_LIMIT_BYTES)
        except (BackendError, TimeoutError) as error:
            if connection is not None:
                connection.abort()
            self._drop_idle()
            raise StoreError(f"{call} was not answered: {str(error) or 'time-out'}") from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        if connection.finish_exchange():
            self._idle.append(connection)
        else:
            connection.channel.close()
        if head.status == _GONE:
            raise HistoryLostError(f"{call}: the history of {query['topic']} is gone")
        if head.status != _OK:
            raise StoreError(f"{call} was answered with {head.status}")
        return data

    def _drop_idle(self) -> None:
        """Close the idle connections: what silenced one of them silenced them all."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _take(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_ready(_IDLE_MS):
                return connection
            connection.channel.close()
        return await HttpConnection.open(self._host, self._port, "the store", _CONNECT_TIMEOUT_MS)


class _KeyedTopic:
    """A keyed topic, with its records in the product's terms.

    Attributes:
        name: What the product calls it.
        topic: What the store calls it.
    """

    name: ClassVar[str]
    topic: ClassVar[str]

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def newest(self) -> ChangePage:
        """Return the newest change of each subject."""
        return self._page(await self._client.newest(self.topic))

    async def since(self, offset: int, wait_ms: int) -> ChangePage:
        """Return changes from an offset on."""
        return self._page(await self._client.read(self.topic, offset, wait_ms))

    def decode(self, records: bytes, first_offset: int, proof_ms: float) -> ChangePage:
        """Return the page whose records another router has read."""
        return self._page(_read_page(records, first_offset, proof_ms))

    def _page(self, page: _Page) -> ChangePage:
        found = [self._decoded(record) for record in page.records]
        changes = [change for change in found if change is not None]
        return ChangePage(changes, page.first_offset, page.next_offset, page.proof_ms, page.data)

    def _decoded(self, record: _KeyedRecord) -> Change | None:
        """Return the change, or that another program wrote the record: the rest is read on."""
        try:
            return self._change(record)
        except ValueError as error:
            return UnreadableEntry(record.key, str(error)[:_REASON_LIMIT])
        except Exception as error:  # noqa: BLE001 - one record must not end the reading of all
            return UnreadableEntry(record.key, f"the decoder failed: {error!r}"[:_REASON_LIMIT])

    def _change(self, record: _KeyedRecord) -> Change | None:
        """Return what a record tells, or None.

        Raises:
            ValueError: It is malformed.
        """
        raise NotImplementedError


class ControlTopic(_KeyedTopic):
    """What the operator writes: the configuration and evacuated zones."""

    name = "control"
    topic = "keyed.op"

    def _change(self, record: _KeyedRecord) -> Change | None:
        if record.key == _TABLE_KEY and record.value:
            return TableChanged(decode_table(record.value))
        if record.key.startswith(_EVACUATION_PREFIX):
            zone = record.key.removeprefix(_EVACUATION_PREFIX)
            return ZoneChanged(zone, bool(record.value))
        return None


class ServerTopic(_KeyedTopic):
    """Heartbeats of backend servers."""

    name = "servers"
    topic = "keyed.servers"

    def _change(self, record: _KeyedRecord) -> Change | None:
        if not record.value:
            return ServerRemoved(record.key)
        return ServerChanged(decode_server(record.key, record.value))


class SuspectTopic(_KeyedTopic):
    """What each router has seen of crashes of servers, under its name."""

    name = "suspects"
    topic = "keyed.crashes"

    async def publish(self, router: str, evidence: Evidence) -> None:
        """Write all that a router has seen."""
        plain = {
            "crashed": evidence.crashed_ms,
            "ran": evidence.ran,
            "cleared": evidence.cleared,
        }
        value = json.dumps(plain, separators=(",", ":")).encode()
        await self._client.append(self.topic, router, value)

    def _change(self, record: _KeyedRecord) -> Change | None:
        if not record.value:
            return None
        return EvidenceSeen(record.key, decode_evidence(record.value))


class MemberTopic(_KeyedTopic):
    """Router processes, each under its name.

    Attributes:
        suspects: What they tell of requests that crash servers.
    """

    name = "members"
    topic = "keyed.routers"

    def __init__(self, client: StoreClient) -> None:
        super().__init__(client)
        self.suspects: SuspectRegistry = SuspectTopic(client)

    async def announce(self, member: FleetMember) -> None:
        """Write a process's entry."""
        plain = {
            "host": member.host,
            "port": member.peer_port,
            "zone": member.zone,
            "started": member.started_ms,
            "announced": member.announced,
        }
        await self._client.append(self.topic, member.router, json.dumps(plain).encode())

    def _change(self, record: _KeyedRecord) -> Change | None:
        return MemberSeen(decode_member(record.key, record.value)) if record.value else None


def _read_page(data: bytes, first_offset: int, proof_ms: float) -> _Page:
    records = _decode_records(data)
    return _Page(records, first_offset, first_offset + len(records), proof_ms, data)


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

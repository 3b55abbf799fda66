"""Stand-in of the store of the users' platform, with keyed topics, long polls and faults."""

from __future__ import annotations

import asyncio
import base64
import copy
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import define, field, frozen

from cicadaledge.edge import Headers, RequestHead, ResponseWriter
from cicadaledge.rollouts import RolloutState
from cicadaledge.standins._http_service import HttpService
from cicadaledge.standins._odd_entries import INVALID_ENTRIES

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_POLL_STEP_S = 0.01
_PREFIX = "/cicadaledge/log-"
_OPERATOR_TOPIC = "keyed.op"
_SERVER_TOPIC = "keyed.servers"
ROUTER_TOPIC = "keyed.routers"
CRASH_TOPIC = "keyed.crashes"
STATUS_TOPIC = "keyed.status"


@define
class _Topic:
    start_offset: int = 0
    records: list[bytes] = field(factory=list)

    @property
    def end_offset(self) -> int:
        return self.start_offset + len(self.records)


@frozen
class StoreCopy:
    """The contents of the store at one time."""

    topics: dict[str, _Topic]
    latest_by_key: dict[str, dict[str, tuple[bytes, int]]]


class PlatformStore(HttpService):
    """Stores topics of one partition each.

    Attributes:
        fault: "" or "busy" (503), "silent" (no answer), "reset", "lost" (appends are done but
            not answered).
        down_topics: Topics whose calls are answered with 503.
        calls: Number of calls by name, including refused ones.
        era: Epoch of the store, which all answers contain; None for a store without epochs.
        peer_ports: Ports of proxies by the peer ports that routers announce, which they replace.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fault = ""
        self.down_topics: set[str] = set()
        self.calls: dict[str, int] = {}
        self.era: int | None = None
        self.peer_ports: dict[int, int] = {}
        self._topics: dict[str, _Topic] = {}
        self._latest_by_key: dict[str, dict[str, tuple[bytes, int]]] = {}

    def put_configuration(self, plain: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        self.put(_OPERATOR_TOPIC, "config", plain)

    def put_evacuation(self, zone: str, *, evacuated: bool) -> None:
        """Evacuate an availability zone, or restore it."""
        self.put(_OPERATOR_TOPIC, f"evacuate/{zone}", {} if evacuated else None)

    def put_order(self, service: str, to: str | int | None, duration_s: float = 60.0) -> None:
        """Order a rollout, as the operator does, or withdraw the order."""
        order = {"service": service, "to": to, "durationS": duration_s}
        self.put(_OPERATOR_TOPIC, f"rollout/{service}", None if to is None else order)

    def rollout_statuses(self, service: str) -> list[dict[str, Any]]:
        """Return the status records of a service's rollouts, oldest first."""
        name = f"rollout/{service}".encode()
        key = bytes([len(name)]) + name
        records = self._topic(STATUS_TOPIC).records
        return [json.loads(one[len(key) :]) for one in records if one.startswith(key)]

    def rollout_state(self, service: str) -> RolloutState | None:
        """Return the state in the newest status record of a service's rollouts."""
        newest = self._latest_by_key.get(STATUS_TOPIC, {}).get(f"rollout/{service}")
        return RolloutState(json.loads(newest[0])["state"]) if newest else None

    def put_server(self, name: str, entry: dict[str, Any] | None) -> None:
        """Write a server's entry, or remove it."""
        self.put(_SERVER_TOPIC, name, entry)

    def put(self, topic: str, key: str, value: Any) -> int:
        """Append a record and return its offset; None as value removes the key."""
        data = b"" if value is None else value if isinstance(value, bytes) else _json(value)
        name = key.encode()
        return self._append(topic, bytes([len(name)]) + name + data)

    def put_invalid_entries(self, index: int, server: str) -> None:
        """Write an invalid entry to each topic, and as the entry of a running server."""
        invalid_entry = INVALID_ENTRIES[index % len(INVALID_ENTRIES)]
        self.put(_SERVER_TOPIC, server, invalid_entry)
        for topic in (_SERVER_TOPIC, ROUTER_TOPIC, CRASH_TOPIC):
            self.put(topic, "odd", invalid_entry)
        self.put(_OPERATOR_TOPIC, "config", invalid_entry)

    def delete_all_history(self) -> None:
        """Delete the records of the topics; the latest value of each key is kept."""
        for topic in (_OPERATOR_TOPIC, _SERVER_TOPIC, ROUTER_TOPIC, STATUS_TOPIC):
            self.delete_history(topic)

    def delete_history(self, topic: str) -> None:
        """Delete a topic's records; the latest value of each key is kept."""
        log = self._topic(topic)
        log.start_offset = log.end_offset
        log.records.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of the contents."""
        return StoreCopy(copy.deepcopy(self._topics), copy.deepcopy(self._latest_by_key))

    def restore(self, contents: StoreCopy) -> None:
        """Go back to a copy, from whose offsets on others are assigned again; begin a new era."""
        self._topics = copy.deepcopy(contents.topics)
        self._latest_by_key = copy.deepcopy(contents.latest_by_key)
        if self.era is not None:
            self.era += 1

    async def drill(self, contents: StoreCopy, away_s: float) -> None:
        """Be away for some time, and come back from a copy."""
        self.fault = "reset"
        self._abort_connections()
        await asyncio.sleep(away_s)
        self.restore(contents)
        self._abort_connections()
        self.fault = ""

    def _abort_connections(self) -> None:
        for channel in self.channels:
            channel.abort()

    def _headers(self) -> Headers:
        return [] if self.era is None else [(b"Store-Era", str(self.era).encode())]

    async def answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one call."""
        url = urlsplit(head.target)
        call = url.path.removeprefix(_PREFIX)
        self.calls[call] = self.calls.get(call, 0) + 1
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if await self._apply_fault(query.get("topic"), writer):
            return
        match call:
            case "append":
                offset = self._append_call(query["topic"], body)
                if self.fault == "lost":
                    writer.abort()
                    return
                end_offset = self._topic(query["topic"]).end_offset
                await writer.send_response(
                    200, self._headers(), _json({"offset": offset, "endOffset": end_offset})
                )
            case "read":
                await self._read(query, writer)
            case "newest":
                await writer.send_response(200, self._headers(), self._latest_page(query["topic"]))
            case _:
                await writer.send_response(404, self._headers(), b"")

    async def _apply_fault(self, topic: str | None, writer: ResponseWriter) -> bool:
        """Apply the fault of a call; return whether the call is not carried out."""
        if self.fault == "reset":
            writer.abort()
        elif self.fault == "silent":
            await asyncio.Event().wait()
        elif self.fault == "busy" or topic in self.down_topics:
            await writer.send_response(503, self._headers(), b"")
        else:
            return False
        return True

    async def _read(self, query: dict[str, str], writer: ResponseWriter) -> None:
        topic = self._topic(query["topic"])
        offset = int(query["from"])
        if not topic.start_offset <= offset <= topic.end_offset:
            await self._send_gone(topic, writer)
            return
        left_s = int(query.get("waitMs", "0")) / 1000
        while topic.end_offset <= offset and left_s > 0:
            await asyncio.sleep(_POLL_STEP_S)
            left_s -= _POLL_STEP_S
            topic = self._topic(query["topic"])
        if not topic.start_offset <= offset <= topic.end_offset:
            await self._send_gone(topic, writer)
            return
        numbers = (topic.end_offset, topic.start_offset)
        data = b"".join(number.to_bytes(_OFFSET_BYTES, "big") for number in numbers)
        for record in topic.records[offset - topic.start_offset :]:
            data += len(record).to_bytes(_LENGTH_BYTES, "big") + record
        await writer.send_response(200, self._headers(), data)

    async def _send_gone(self, topic: _Topic, writer: ResponseWriter) -> None:
        body = _json({"firstOffset": topic.start_offset})
        await writer.send_response(410, self._headers(), body)

    def _append_call(self, topic: str, body: bytes) -> int:
        offset = -1
        while body:
            length = int.from_bytes(body[:_LENGTH_BYTES], "big")
            record = body[_LENGTH_BYTES : _LENGTH_BYTES + length]
            offset = self._append(topic, self._with_peer_port(topic, record))
            body = body[_LENGTH_BYTES + length :]
        return offset

    def _with_peer_port(self, topic: str, record: bytes) -> bytes:
        key, value = record[: 1 + record[0]], record[1 + record[0] :]
        if topic != ROUTER_TOPIC or not value or not self.peer_ports:
            return record
        plain = json.loads(value)
        plain["port"] = self.peer_ports.get(plain["port"], plain["port"])
        return key + _json(plain)

    def _append(self, topic: str, record: bytes) -> int:
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        log = self._topic(topic)
        log.records.append(record)
        latest_by_key = self._latest_by_key.setdefault(topic, {})
        if value:
            latest_by_key[key] = (value, log.end_offset - 1)
        else:
            latest_by_key.pop(key, None)
        return log.end_offset - 1

    def _latest_page(self, topic: str) -> bytes:
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in self._latest_by_key.get(topic, {}).items()
        ]
        return _json({"items": items, "hasMore": False, "endOffset": self._topic(topic).end_offset})

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()

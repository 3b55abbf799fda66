"""Stand-in of the users' platform's store: keyed topics, long polls, faults."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import define, field

from cicadaledge.edge import RequestHead, ResponseWriter
from cicadaledge.standins._http_service import HttpService
from cicadaledge.standins._odd_entries import ODD_ENTRIES

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_POLL_STEP_S = 0.01
_PREFIX = "/cicadaledge/log-"
_OPERATOR_TOPIC = "keyed.op"
_SERVER_TOPIC = "keyed.servers"
_ROUTER_TOPIC = "keyed.routers"
_CRASH_TOPIC = "keyed.crashes"


@define
class _Topic:
    first: int = 0
    records: list[bytes] = field(factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class PlatformStore(HttpService):
    """Keeps topics of one partition each.

    Attributes:
        fault: "" or "busy" (503), "silent" (no answer), "reset", "lost" (appends are done and
            not answered).
        calls: Calls by name, refused ones too.
        peer_ports: Ports that are written in place of those that routers announce for peers.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fault = ""
        self.calls: dict[str, int] = {}
        self.peer_ports: dict[int, int] = {}
        self._topics: dict[str, _Topic] = {}
        self._newest: dict[str, dict[str, tuple[bytes, int]]] = {}

    def put_configuration(self, plain: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        self.put(_OPERATOR_TOPIC, "config", plain)

    def put_evacuation(self, zone: str, *, evacuated: bool) -> None:
        """Evacuate a zone, or take it back."""
        self.put(_OPERATOR_TOPIC, f"evacuate/{zone}", {} if evacuated else None)

    def put_server(self, name: str, entry: dict[str, Any] | None) -> None:
        """Write a server's entry, or remove it."""
        self.put(_SERVER_TOPIC, name, entry)

    def put(self, topic: str, key: str, value: Any) -> int:
        """Write a record as its owner does; None removes the key. Return its offset."""
        data = b"" if value is None else value if isinstance(value, bytes) else _json(value)
        name = key.encode()
        return self._append(topic, bytes([len(name)]) + name + data)

    def put_odd(self, pick: int, server: str) -> None:
        """Write an entry that cannot be read into each topic, among the servers under a live name."""
        odd = ODD_ENTRIES[pick % len(ODD_ENTRIES)]
        self.put(_SERVER_TOPIC, server, odd)
        for topic in (_SERVER_TOPIC, _ROUTER_TOPIC, _CRASH_TOPIC):
            self.put(topic, "odd", odd)
        self.put(_OPERATOR_TOPIC, "config", odd)

    def delete_all_history(self) -> None:
        """Delete the records of all topics; the newest of each key are kept."""
        for topic in (_OPERATOR_TOPIC, _SERVER_TOPIC, _ROUTER_TOPIC):
            self.delete_history(topic)

    def delete_history(self, topic: str) -> None:
        """Delete the records; the newest of each key are kept."""
        kept = self._topic(topic)
        kept.first = kept.end
        kept.records.clear()

    async def answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one call."""
        url = urlsplit(head.target)
        call = url.path.removeprefix(_PREFIX)
        self.calls[call] = self.calls.get(call, 0) + 1
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if await self._fail(writer):
            return
        match call:
            case "append":
                offset = self._append_call(query["topic"], body)
                if self.fault == "lost":
                    writer.abort()
                    return
                end = self._topic(query["topic"]).end
                await writer.send_response(200, [], _json({"offset": offset, "endOffset": end}))
            case "read":
                await self._read(query, writer)
            case "newest":
                await writer.send_response(200, [], self._newest_page(query["topic"]))
            case _:
                await writer.send_response(404, [], b"")

    async def _fail(self, writer: ResponseWriter) -> bool:
        if self.fault == "busy":
            await writer.send_response(503, [], b"")
        elif self.fault == "reset":
            writer.abort()
        elif self.fault == "silent":
            await asyncio.Event().wait()
        return self.fault in ("busy", "reset", "silent")

    async def _read(self, query: dict[str, str], writer: ResponseWriter) -> None:
        topic = self._topic(query["topic"])
        offset = int(query["from"])
        if offset < topic.first:
            await writer.send_response(410, [], _json({"firstOffset": topic.first}))
            return
        left_s = int(query.get("waitMs", "0")) / 1000
        while topic.end <= offset and left_s > 0:
            await asyncio.sleep(_POLL_STEP_S)
            left_s -= _POLL_STEP_S
        if offset < topic.first:
            await writer.send_response(410, [], _json({"firstOffset": topic.first}))
            return
        numbers = (topic.end, topic.first)
        data = b"".join(number.to_bytes(_OFFSET_BYTES, "big") for number in numbers)
        for record in topic.records[offset - topic.first :]:
            data += len(record).to_bytes(_LENGTH_BYTES, "big") + record
        await writer.send_response(200, [], data)

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
        if topic != _ROUTER_TOPIC or not value or not self.peer_ports:
            return record
        plain = json.loads(value)
        plain["port"] = self.peer_ports.get(plain["port"], plain["port"])
        return key + _json(plain)

    def _append(self, topic: str, record: bytes) -> int:
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        kept = self._topic(topic)
        kept.records.append(record)
        newest = self._newest.setdefault(topic, {})
        if value:
            newest[key] = (value, kept.end - 1)
        else:
            newest.pop(key, None)
        return kept.end - 1

    def _newest_page(self, topic: str) -> bytes:
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in self._newest.get(topic, {}).items()
        ]
        return _json({"items": items, "hasMore": False, "endOffset": self._topic(topic).end})

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()

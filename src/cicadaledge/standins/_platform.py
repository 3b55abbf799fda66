"""Stand-in of the platform: log streams and the VM list."""

from __future__ import annotations

import base64
import threading
import time
from collections import defaultdict, deque
from typing import Any

from attrs import define, field, frozen

from cicadaledge.standins._server import (
    Call,
    DropConnectionError,
    FaultSwitches,
    Reply,
    StandInServer,
    json_reply,
)

_PAGE_RECORDS = 2000


@frozen
class PlatformSettings:
    """Settings of a platform stand-in.

    Args:
        appends_per_s: Limit of the rate of appends by all clients together.
        retention_ms: Retention time of records; 0 keeps them forever.
    """

    host: str
    port: int
    appends_per_s: int = 300
    retention_ms: int = 0


@define
class _LogStream:
    start_offset: int = 0
    records: deque[tuple[float, bytes]] = field(factory=deque)

    @property
    def end_offset(self) -> int:
        return self.start_offset + len(self.records)


class PlatformStandIn:
    """Stores append-only log streams in memory."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._server = StandInServer(settings.host, settings.port, self._handle)
        self._lock = threading.Condition()
        self._streams: dict[str, _LogStream] = defaultdict(_LogStream)
        self._faults = FaultSwitches()
        self._append_times: deque[float] = deque()
        self._append_counts: dict[str, int] = defaultdict(int)
        self._vms: list[dict[str, Any]] = []
        self._retention_ms = settings.retention_ms

    def run(self) -> None:
        """Serve until SIGTERM."""
        self._server.run()

    def _handle(self, call: Call) -> Reply:
        if call.path.startswith("/standin/"):
            return self._control(call)
        self._apply_faults()
        if call.path == "/vms":
            return json_reply(self._vms)
        stream = call.path.removeprefix("/streams/")
        if call.method == "POST":
            return self._append(stream, call.body)
        return self._read(stream, int(call.query["from"]), int(call.query.get("wait_ms", "0")))

    def _apply_faults(self) -> None:
        time.sleep(self._faults.get("slow_ms") / 1000)
        if self._faults.get("outage"):
            raise DropConnectionError

    def _append(self, name: str, data: bytes) -> Reply:
        with self._lock:
            now = time.monotonic()
            while self._append_times and self._append_times[0] < now - 1:
                self._append_times.popleft()
            if len(self._append_times) >= self._settings.appends_per_s:
                return json_reply({"error": "rate"}, 429)
            self._append_times.append(now)
            self._append_counts[name] += 1
            stream = self._streams[name]
            offset = stream.end_offset
            stream.records.append((now, data))
            self._lock.notify_all()
            if self._faults.consume("lose_appends"):
                raise DropConnectionError
        return json_reply({"offset": offset})

    def _read(self, name: str, start: int, wait_ms: int) -> Reply:
        deadline = time.monotonic() + wait_ms / 1000
        with self._lock:
            stream = self._streams[name]
            while stream.end_offset <= start and time.monotonic() < deadline:
                self._lock.wait(max(0.0, deadline - time.monotonic()))
            self._trim(stream)
            skip = max(0, start - stream.start_offset)
            records = list(stream.records)[skip : skip + _PAGE_RECORDS]
            first_offset = stream.start_offset + skip
            page = [
                {"offset": first_offset + index, "data": base64.b64encode(data).decode()}
                for index, (_, data) in enumerate(records)
            ]
            answer = {"first": stream.start_offset, "end": stream.end_offset, "records": page}
        if self._faults.get("outage"):
            raise DropConnectionError
        return json_reply(answer)

    def _trim(self, stream: _LogStream) -> None:
        if not self._retention_ms:
            return
        limit = time.monotonic() - self._retention_ms / 1000
        while stream.records and stream.records[0][0] < limit:
            stream.records.popleft()
            stream.start_offset += 1

    def _control(self, call: Call) -> Reply:
        with self._lock:
            if call.path == "/standin/vms":
                self._vms = call.json()
            elif call.path == "/standin/faults":
                changes = call.json()
                self._retention_ms = int(changes.pop("retention_ms", self._retention_ms))
                self._faults.update(changes)
            elif call.path == "/standin/trim":
                stream = self._streams[str(call.json()["stream"])]
                stream.start_offset = stream.end_offset
                stream.records.clear()
            return json_reply(
                {
                    "faults": self._faults.update({}),
                    "appends": self._append_counts,
                    "ends": {name: stream.end_offset for name, stream in self._streams.items()},
                }
            )

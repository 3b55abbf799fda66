"""Stand-in of a backend server on the users' platform, with or without a model engine."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from attrs import define, frozen

from cicadaledge.clock import clock_ms
from cicadaledge.edge import Channel, Headers, RequestHead, ResponseWriter
from cicadaledge.standins._http_service import HttpService

_HANG_S = 3600.0
# An endless answer is cut off at this size. It is far above every limit that routers have, but a
# test can still hold it in memory.
_ENDLESS_LIMIT_BYTES = 96 * 1_048_576
_ENDLESS_WRITE_BYTES = 65_536
_RESTART_DELAY_S = 0.4
_FULL = 503


@define
class Run:
    """A request that the server ran.

    Args:
        at_ms: Time of arrival.
        answer: Body of the complete answer.
        cancelled: Whether the run was cancelled, as its connection closed or the server stopped.
        sent_bytes: Bytes sent of an endless answer.
        announced_leaving: Whether the answer announced the server's shutdown.
        ended_ms: Time at which the server stopped working on it.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_ms: float = 0.0
    seal: str = ""
    answer: bytes = b""
    finished: bool = False
    cancelled: bool = False
    sent_bytes: int = 0
    announced_leaving: bool = False
    ended_ms: float | None = None


@frozen
class Refusal:
    """A request that the server refused.

    Args:
        pause_s: Pause that the refusal asked for.
    """

    request_id: str
    at_ms: float
    pause_s: float


@define
class BackendFaults:
    """Faults that the next requests meet.

    Args:
        full: Refuse requests as not executed.
        full_once: Refuse each request in this way when it arrives for the first time.
        late_copies: Send this many copies of each refusal again, before the answer to the next
            request on its connection.
        error: Answer with status 500.
        refused_with: Run the request, then refuse it with this status as if it had not run.
        reset: Reset the connection after running the request.
        stray: Send the answer of another request first.
        silent: Never answer.
        break_after: Reset the stream after this number of events, in the middle of the next one.
        unframed_bytes: Send this many bytes of the events with neither length nor chunks, then
            close; all of them if negative.
        stream_bytes: End streams after this many bytes of their events as if they were complete.
        stream_end: Send these bytes after the last event of a stream.
        with_length: Send streams with a length instead of chunks.
        raw: Send these bytes instead of an answer.
        endless: Send these bytes after `raw` repeatedly, as long as the router reads them.
        trailing: Send these bytes after the answer.
        leaving: Announce the server's shutdown in each answer.
        pause_s: Ask for a pause of this length in each refusal.
        headers: Add these headers to each answer.
    """

    full: bool = False
    full_once: bool = False
    late_copies: int = 0
    error: bool = False
    refused_with: int | None = None
    reset: bool = False
    stray: bool = False
    silent: bool = False
    break_after: int | None = None
    unframed_bytes: int | None = None
    stream_bytes: int | None = None
    stream_end: bytes = b""
    with_length: bool = False
    raw: bytes | None = None
    endless: bytes = b""
    trailing: bytes = b""
    leaving: bool = False
    pause_s: float | None = None
    headers: tuple[tuple[bytes, bytes], ...] = ()


class PlatformBackend(HttpService):
    """Runs requests and records each of them.

    Args:
        instance: Id of the server.
        service: Service that it belongs to.
        zone: Availability zone.
        events: Number of events per stream.
        gap_s: Time before each event of a stream, and duration of a plain request.
        line_end: Line end in events.
        version: Version of its software.

    Attributes:
        announced_slots: Number of slots in its heartbeats.
        crash_marker: A target that contains this crashes the server; None for no target.
        crash_parts: The server crashes when it begins to answer a prompt with one of these parts.
        resent: Ids of requests that arrived again on a connection that had carried them.
        ended_ms: Times of its crashes.
        on_crash: Called on each crash.
        on_restart: Called when it listens again as a new incarnation.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        zone: str,
        *,
        events: int = 4,
        gap_s: float = 0.0,
        line_end: bytes = b"\n",
        version: str | int = "v1",
    ) -> None:
        super().__init__()
        self.instance = instance
        self.service = service
        self.zone = zone
        self.events = events
        self.gap_s = gap_s
        self.line_end = line_end
        self.version = version
        self.faults = BackendFaults()
        self.runs: list[Run] = []
        self.refused = 0
        self.refusals: list[Refusal] = []
        self.born_ms = 1_000
        self.resent: list[str] = []
        self.announced_slots = 8
        self.crash_marker: str | None = None
        self.crash_parts: frozenset[str] = frozenset()
        self.ended_ms: list[float] = []
        self.on_crash: Callable[[PlatformBackend], None] = _do_nothing
        self.on_restart: Callable[[PlatformBackend], None] = _do_nothing
        self._sequence = 0
        self._late_responses: dict[Channel, bytes] = {}
        self._carried: dict[Channel, set[str]] = {}
        self._restart_task: asyncio.Task[None] | None = None

    def heartbeat(self, state: str = "ready", cold_ms: int = 0) -> dict[str, Any]:
        """Return the next entry of the server for the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.announced_slots,
            "state": state,
            "coldRemainingMs": cold_ms,
            "seqNo": self._sequence,
            "born": self.born_ms,
        }

    @property
    def is_down(self) -> bool:
        """Whether it has crashed and does not listen again yet."""
        return self._restart_task is not None and not self._restart_task.done()

    def crash(self) -> None:
        """Crash, and restart after `_RESTART_DELAY_S` as a new incarnation at the same address."""
        if not self.is_down:
            self.ended_ms.append(clock_ms())
            self.on_crash(self)
            self._restart_task = asyncio.create_task(self._stop_and_restart())

    async def stop(self) -> None:
        """Stop without a restart."""
        if self._restart_task is not None:
            self._restart_task.cancel()
            await asyncio.wait([self._restart_task])
        await super().stop()

    async def _stop_and_restart(self) -> None:
        await super().stop()
        await asyncio.sleep(_RESTART_DELAY_S)
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self._sequence = 0
        await self.start(self.port)
        self.on_restart(self)

    async def answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Run one request, or refuse it."""
        writer.send_raw(self._late_responses.pop(writer.channel, b""))
        headers: dict[str, str] = {}
        for name, value in head.headers:
            headers.setdefault(name.decode().lower(), value.decode("latin-1"))
        request_id = headers.get("attempt-id", "")
        self._record_arrival(request_id, writer.channel)
        response_headers = [
            (b"Attempt-Id", request_id.encode()),
            *self._signal_headers(),
        ]
        expected = headers.get("expect-instance", self.instance)
        if expected != self.instance:
            self.refused += 1
            await writer.send_response(
                421, [*response_headers, (b"Instance-Id", self.instance.encode())], b""
            )
            return
        if self._is_full_for(request_id):
            await self._refuse(request_id, response_headers, writer)
            return
        run = Run(request_id, head.method, head.target, headers, body)
        run.at_ms = clock_ms()
        run.announced_leaving = self.faults.leaving
        self.runs.append(run)
        run.seal = f"{self.instance}.{len(self.runs)}"
        try:
            await self._run(run, writer)
        except asyncio.CancelledError:
            run.cancelled = True
            raise
        finally:
            run.ended_ms = clock_ms()

    def _record_arrival(self, request_id: str, channel: Channel) -> None:
        carried = self._carried.setdefault(channel, set())
        if request_id in carried:
            self.resent.append(request_id)
        carried.add(request_id)

    def _is_full_for(self, request_id: str) -> bool:
        if self.faults.full or not self.faults.full_once:
            return self.faults.full
        return all(refusal.request_id != request_id for refusal in self.refusals)

    async def _refuse(self, request_id: str, headers: Headers, writer: ResponseWriter) -> None:
        self.refused += 1
        if self.faults.pause_s is not None:
            headers = [*headers, (b"Retry-After", f"{self.faults.pause_s:g}".encode())]
        headers = [*headers, (b"Not-Executed", b"1")]
        self.refusals.append(Refusal(request_id, clock_ms(), self.faults.pause_s or 0.0))
        await writer.send_response(_FULL, headers, b"full")
        if self.faults.late_copies:
            lines = b"".join(b"%s: %s\r\n" % header for header in headers)
            copy = b"HTTP/1.1 %d Full\r\n%bContent-Length: 4\r\n\r\nfull" % (_FULL, lines)
            self._late_responses[writer.channel] = copy * self.faults.late_copies

    async def _run(self, run: Run, writer: ResponseWriter) -> None:
        faults = self.faults
        if self.crash_marker is not None and self.crash_marker in run.target:
            self.crash()
            await asyncio.sleep(_HANG_S)
        if faults.silent:
            await asyncio.sleep(_HANG_S)
        if faults.refused_with is not None:
            run.finished = True
            await writer.send_response(faults.refused_with, self._headers(run), b"refused")
            return
        if faults.raw is not None:
            writer.send_raw(faults.raw)
            await self._send_endless_body(run, writer)
            writer.close()
            return
        if faults.stray:
            writer.send_raw(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: x\r\n"
                b"Content-Length: 5\r\n\r\nother"
            )
        if "token-usage" in run.headers:
            await self._send_stream(run, writer)
        else:
            await self._send_plain_response(run, writer)
        if faults.trailing:
            writer.send_raw(faults.trailing)

    async def _send_endless_body(self, run: Run, writer: ResponseWriter) -> None:
        if not self.faults.endless:
            return
        data = self.faults.endless * (_ENDLESS_WRITE_BYTES // len(self.faults.endless) + 1)
        channel = writer.channel
        while run.sent_bytes < _ENDLESS_LIMIT_BYTES and not channel.is_lost:
            writer.send_raw(data)
            run.sent_bytes += len(data)
            await channel.drain()
            await asyncio.sleep(0)

    async def _send_plain_response(self, run: Run, writer: ResponseWriter) -> None:
        await asyncio.sleep(self.gap_s)
        if self.faults.reset:
            writer.abort()
            return
        run.finished = True
        status = 500 if self.faults.error else 200
        run.answer = f"{self.instance} {run.target}".encode()
        await writer.send_response(status, self._headers(run), run.answer)

    async def _send_stream(self, run: Run, writer: ResponseWriter) -> None:
        first = int(run.headers.get("last-event-id", "0")) + 1
        run.answer = b"".join(self.event(run, number) for number in range(1, self.events + 1))
        run.answer += self.faults.stream_end
        if self.faults.unframed_bytes is not None:
            self._send_unframed_stream(run, writer, first)
            return
        if self.faults.with_length:
            events = self._stream_rest(run, first)
            await writer.send_response(200, self._headers(run), events)
            return
        if self.faults.stream_bytes is not None:
            writer.start(200, self._headers(run))
            await writer.send_chunk(self._stream_rest(run, first))
            writer.end()
            return
        writer.start(200, self._headers(run))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            if number == first and self.crash_parts & prompt_parts(run):
                self.crash()
                await asyncio.sleep(_HANG_S)
            if self.faults.break_after is not None and number > self.faults.break_after:
                await writer.send_chunk(self.event(run, number)[: len(b"id: %d\nda" % number)])
                writer.abort()
                return
            await writer.send_chunk(self.event(run, number))
        if self.faults.stream_end:
            await writer.send_chunk(self.faults.stream_end)
        run.finished = True
        writer.end()

    def _stream_rest(self, run: Run, first: int) -> bytes:
        """Return the events from *first* on, as far as the faults let them be sent."""
        run.finished = self.faults.stream_bytes is None
        events = b"".join(self.event(run, number) for number in range(first, self.events + 1))
        return (events + self.faults.stream_end)[: self.faults.stream_bytes]

    def _send_unframed_stream(self, run: Run, writer: ResponseWriter, first: int) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += b"".join(b"%s: %s\r\n" % header for header in self._headers(run))
        events = b"".join(self.event(run, number) for number in range(first, self.events + 1))
        count = self.faults.unframed_bytes
        whole = count is None or count < 0
        writer.send_raw(head + b"\r\n" + (events if whole else events[:count]))
        run.finished = whole
        writer.close()

    def event(self, run: Run, number: int) -> bytes:
        """Return one event of a stream."""
        lines = (b"id: %d" % number, b"data: piece %d" % number, b"", b"")
        return self.line_end.join(lines)

    def _headers(self, run: Run) -> Headers:
        return [
            (b"Attempt-Id", run.request_id.encode()),
            (b"Response-Seal", run.seal.encode()),
            (b"Server-Load", b"1,0,8"),
            *self._signal_headers(),
        ]

    def _signal_headers(self) -> Headers:
        """Return the headers by which the server reports its state in each answer."""
        leaving = [(b"Server-Leaving", b"1")] if self.faults.leaving else []
        return [*leaving, *self.faults.headers]


def prompt_parts(run: Run) -> set[str]:
    """Return the ids of the parts of a run's prompt."""
    listed = run.headers.get("prompt-prefix", "")
    return {item.partition(":")[0] for item in listed.split(",") if item}


def _do_nothing(backend: PlatformBackend) -> None:
    """Do nothing."""

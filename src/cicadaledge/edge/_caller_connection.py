"""A caller's connection: reads requests one at a time and has each answered.

Uses h11 instead of cheroot, because a disconnect must be noticed while a request waits or runs, and
an incomplete response must never look complete.
"""

from __future__ import annotations

import asyncio

import h11

from cicadaledge.clock import clock_ms
from cicadaledge.codes import Code
from cicadaledge.edge._caller_service import CallerService, HeadCheck
from cicadaledge.edge._channel import Channel
from cicadaledge.edge._request_reader import Received, RequestError, RequestReader
from cicadaledge.edge._response_writer import ResponseWriter
from cicadaledge.ingress import IngressSettings, Intake
from cicadaledge.logs import PartLog

# Added to the idle timeout, as a request that is sent just before it expires needs time to arrive.
_IDLE_MARGIN_MS = 1_000.0
# A new connection does not count as idle for this long. Callers send their first request as soon as
# they are connected, or try another router.
_FIRST_REQUEST_MS = 1_000.0
# A connection is closed this long after the refusal of a malformed request. Unread bytes turn the
# close into a reset, which discards the refusal if the caller has not read it by then.
_LINGER_S = 1.0
# Stand-in servers have no budget of their own; this is more memory than any machine has.
_UNLIMITED = IngressSettings(memory_mb=1_000_000_000)
_log = PartLog("caller")


class CallerConnection:
    """Serves one connection until either side closes it.

    Args:
        channel: The connected channel.
        service: Answers the requests.
        intake: Memory for requests that arrive in parts; unlimited by default.
        check_head: Tells which bodies need not be kept, because the request is refused anyway.

    Attributes:
        idle_since_ms: Since when no request is being read or handled.
    """

    def __init__(
        self,
        channel: Channel,
        service: CallerService,
        intake: Intake | None = None,
        check_head: HeadCheck | None = None,
    ) -> None:
        self.channel = channel
        self.idle_since_ms = clock_ms()
        self._idle = True
        self._is_new = True
        self._service = service
        intake = intake or Intake(_UNLIMITED, clock_ms)
        self._reader = RequestReader(channel, service, intake, check_head)

    def is_idle(self, now_ms: float) -> bool:
        """Return whether no request is being read or handled and none is expected immediately."""
        if self.channel.closing or not self._idle or self.channel.has_unread:
            return False
        return not self._is_new or now_ms - self.idle_since_ms > _FIRST_REQUEST_MS

    @property
    def is_silent(self) -> bool:
        """Whether nothing was received since the connection was accepted."""
        return self._is_new and self._idle and not self.channel.has_unread

    @property
    def reading_since_ms(self) -> float | None:
        """Since when a request is being read, or None."""
        return self._reader.reading_since_ms

    def give_way(self) -> None:
        """End the connection, whose request has not been read completely, in favour of others."""
        self._reader.give_way()

    async def run(self) -> None:
        """Answer requests until the connection is closed."""
        task = asyncio.current_task()
        assert task is not None
        self.channel.on_lost = lambda: self._cancel(task)
        try:
            while await self._serve_one():
                pass
            self.channel.close()
        except asyncio.CancelledError:
            if not self.channel.is_lost:
                self.channel.abort()
        finally:
            self.channel.on_lost = None

    @staticmethod
    def _cancel(task: asyncio.Task[None]) -> None:
        task.cancel()

    async def _serve_one(self) -> bool:
        """Answer one request; return whether the connection can carry another."""
        self.channel.allow_half_open = True
        try:
            return await self._read_and_answer()
        finally:
            self._reader.end_request()

    async def _read_and_answer(self) -> bool:
        try:
            received = await self._read_request()
        except RequestError as error:
            await self._refuse_malformed(error)
            return False
        if received is None:
            return False
        # Gives the event loop a turn to notice that the caller closed its side after the request.
        await asyncio.sleep(0)
        head, body, early_answer = received
        if self.channel.peer_closed:
            self._service.record_disconnect(head)
            await self._refuse(Code.QUEUE_TIMEOUT, "the caller has left before", 503)
            return False
        self.channel.allow_half_open = False  # from here on, a disconnect cancels the request
        writer = self._writer()
        if early_answer is not None:
            await early_answer(writer)
        else:
            await self._service.answer(head, body, writer)
        if self.channel.is_lost or self._reader.protocol.our_state is not h11.DONE:
            return False
        self._reader.start_cycle()
        return True

    async def _read_request(self) -> Received | None:
        limits = self._service.limits
        self._idle = True
        self.idle_since_ms = clock_ms()
        reader = self._reader
        if not reader.ahead:
            # Nothing else refers to received bytes, as they would stay in memory while others wait.
            reader.ahead = await self._await_request_start(limits.idle_timeout_ms + _IDLE_MARGIN_MS)
        if not reader.ahead:
            return None
        self._idle = self._is_new = False
        return await reader.read(limits)

    async def _await_request_start(self, idle_timeout_ms: float) -> bytes:
        """Return the first bytes of a request; none if the connection closes or stays idle."""
        try:
            return await self.channel.read(idle_timeout_ms)
        except TimeoutError:
            idle_ms = clock_ms() - self.idle_since_ms
            late_ms = idle_ms - idle_timeout_ms
            _log.info(
                "Caller connection was idle longer than the idle timeout; closing it.",
                idle_ms=round(idle_ms),
                late_ms=round(late_ms),
            )
            return b""

    async def _refuse_malformed(self, error: RequestError) -> None:
        our_state = self._reader.protocol.our_state
        if self.channel.is_lost or our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.channel.abort()
            return
        await self._refuse(error.code, str(error), error.status)
        if error.lingers:
            await asyncio.sleep(_LINGER_S)
        elif self.channel.unsent_bytes:
            self.channel.abort()

    async def _refuse(self, code: Code, detail: str, status: int) -> None:
        headers, body = self._service.refuse(code, detail, status)
        closing = [*headers, (b"Connection", b"close")]
        await self._writer().send_response(status, closing, body)

    def _writer(self) -> ResponseWriter:
        return ResponseWriter(self.channel, self._reader.protocol, self._service.ends_connection)

"""Reads requests that arrive in several parts within the memory budget."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from cicadaledge.ingress._body_reader import BodyReader
from cicadaledge.ingress._budget import Holding, IngressBudget
from cicadaledge.ingress._settings import BUFFER_GROWTH, HEAD_COPIES, IngressSettings
from cicadaledge.ingress._turns import CostlyTurns
from cicadaledge.logs import PartLog

# A header field takes this much memory besides its bytes: three byte strings and two tuples.
_FIELD_BYTES = 400
# Bodies ask for memory in steps of this size, so that few of their reads ask for any.
_STEP_BYTES = 65_536
# Reading this many chunks takes about a quarter of a millisecond; then others get a turn.
_CHUNKS_PER_TURN = 256
# Requests without memory ask again after about this time; hundreds of them may wait.
_ASK_AGAIN_S = 0.1
# A head that arrives in one piece is parsed at once if it has at most this many bytes or lines. Each line takes some microseconds; usual heads have about a dozen.
_CHEAP_HEAD_BYTES = 2_048
_CHEAP_HEAD_LINES = 200
_log = PartLog("ingress")


class EvictedError(Exception):
    """The request gave way to others, as it arrived too slowly."""


class NoMemoryError(Exception):
    """There is no memory for the request."""


class Intake:
    """Reads bodies of all callers within one memory budget.

    Args:
        settings: Size of the budget, and who gives way.
        clock_ms: Returns the time.

    Attributes:
        refused: Number of requests refused for want of memory.
    """

    def __init__(self, settings: IngressSettings, clock_ms: Callable[[], float]) -> None:
        self.settings = settings
        self.budget = IngressBudget(settings)
        self.turns = CostlyTurns()
        self.refused = 0
        self._clock_ms = clock_ms
        self._reported = (0, 0)

    def open(self, on_evict: Callable[[], None]) -> Holding:
        """Return a holding for a request of which a part has arrived."""
        return self.budget.open(on_evict, self._clock_ms())

    def close(self, holding: Holding | None) -> None:
        """Give the memory of a request back."""
        if holding is not None:
            self.budget.close(holding)

    def is_costly(self, data: bytes) -> bool:
        """Return whether a head that arrives in one piece takes long to parse, and much memory."""
        return len(data) > _CHEAP_HEAD_BYTES and data.count(b"\n") > _CHEAP_HEAD_LINES

    async def hold_bytes(self, holding: Holding, size_bytes: int) -> None:
        """Record the first bytes of a head, and wait for memory for them."""
        holding.record_received(size_bytes, self._clock_ms())
        await self._hold(holding, holding.size_bytes + size_bytes)

    async def hold_head(self, holding: Holding, data: bytes) -> None:
        """Record a part of a head that has arrived, and wait for memory and a turn to parse it."""
        holding.record_received(len(data), self._clock_ms())
        size_bytes = holding.size_bytes + len(data)
        if self.is_costly(data):
            fields = data.count(b"\n")
            await self._hold(holding, size_bytes + len(data) + fields * _FIELD_BYTES)
            await self.turns.wait()
            if holding.is_evicted:
                raise EvictedError
        else:
            await self._hold(holding, size_bytes)

    async def read_body(
        self,
        reader: BodyReader,
        holding: Holding,
        head_size: tuple[int, int],
        read: Callable[[], Awaitable[bytes]],
    ) -> bytes:
        """Read the rest of a body; return the bytes that follow it.

        Args:
            head_size: Number of bytes and of fields of the head.
            read: Returns the next bytes of the connection.

        Raises:
            BodyError: The body is not valid, or too large.
            EvictedError: The request gave way to others.
            NoMemoryError: There was no memory for the request.
        """
        head_bytes = head_size[0] * HEAD_COPIES + head_size[1] * _FIELD_BYTES if reader.keeps else 0
        allowed_bytes = -1
        data = b""
        while True:
            needed_bytes = reader.held_bytes + (len(data) if reader.keeps else 0)
            if needed_bytes > allowed_bytes:
                allowed_bytes = needed_bytes if needed_bytes < 1_024 else needed_bytes + _STEP_BYTES
                if reader.left_bytes is not None:
                    allowed_bytes = min(allowed_bytes, reader.held_bytes + reader.left_bytes)
                    allowed_bytes = max(allowed_bytes, needed_bytes)
                await self._hold(holding, head_bytes + int(allowed_bytes * BUFFER_GROWTH))
            rest = reader.feed(data, _CHUNKS_PER_TURN)
            if rest is not None:
                holding.is_complete = True
                return rest
            if reader.has_more:
                await self.turns.wait()
                data = b""
            else:
                data = await read()
                holding.record_received(len(data), self._clock_ms())
            if holding.is_evicted:
                raise EvictedError

    async def _hold(self, holding: Holding, size_bytes: int) -> None:
        """Change the size of a holding, waiting for room if necessary."""
        asked_ms = now_ms = self._clock_ms()
        while not self.budget.try_resize(holding, size_bytes, now_ms, now_ms - asked_ms):
            if holding.is_evicted:
                raise EvictedError
            if now_ms - asked_ms > self.settings.max_wait_ms:
                self.refused += 1
                raise NoMemoryError
            holding.is_waiting = True
            await asyncio.sleep(_ASK_AGAIN_S * (0.5 + random.random()))
            now_ms = self._clock_ms()
        if holding.is_waiting:
            holding.is_waiting = False
            holding.progress_ms = now_ms

    def report(self) -> tuple[int, int]:
        """Log what was refused since the last report; return the number evicted and refused."""
        evicted, refused = self.budget.evicted, self.refused
        new = evicted - self._reported[0], refused - self._reported[1]
        self._reported = evicted, refused
        if any(new):
            _log.warning(
                "Memory for requests that arrive ran short; slow or large ones gave way.",
                evicted=new[0],
                refused=new[1],
                used_bytes=self.budget.used_bytes,
                limit_bytes=self.settings.memory_bytes,
            )
        return new

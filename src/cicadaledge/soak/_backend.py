"""Backend server of the soak, whose version of the software may be bad."""

from __future__ import annotations

import asyncio
import enum
import random
import time

from cicadaledge.edge import ResponseWriter
from cicadaledge.standins import PlatformBackend, Run

_EVENTS = 6  # Each stream has this many events.
_EVENT_GAP_S = 0.03
# A slow answer takes this much longer, which is four times as long as a stream takes otherwise.
_SLOW_S = 0.6


class BadAnswer(enum.StrEnum):
    """What a bad version does to some of its answers."""

    FAILED = "failed"
    SLOW = "slow"


class SoakBackend(PlatformBackend):
    """A backend server whose stream events contain the id of their request.

    Attributes:
        bad_answer: What its version does to some answers; None for a good version.
        bad_share: Fraction of the answers that are bad.
        bad_runs: Runs whose answers were bad.
    """

    bad_answer: BadAnswer | None = None
    bad_share = 1.0

    def __init__(self, name: str, service: str, zone: str, version: str | int) -> None:
        super().__init__(name, service, zone, events=_EVENTS, gap_s=_EVENT_GAP_S, version=version)
        self.bad_runs: list[Run] = []
        self._random = random.Random(name)

    async def start_now(self) -> None:
        """Start as an incarnation that is born now."""
        self.born_ms = time.time_ns() // 1_000_000
        await self.start()

    def event(self, run: Run, number: int) -> bytes:
        """Return one event of a stream."""
        return f"id: {number}\ndata: {run.request_id} {number}\n\n".encode()

    async def _run(self, run: Run, writer: ResponseWriter) -> None:
        if self.bad_answer is not None and self._random.random() < self.bad_share:
            self.bad_runs.append(run)
            if self.bad_answer is BadAnswer.FAILED:
                run.finished = True
                await writer.send_response(500, self._headers(run), b"failed")
                return
            await asyncio.sleep(_SLOW_S)
        await super()._run(run, writer)

"""Turns for work that holds the event loop for long; answers crowds of heads with many fields."""

from __future__ import annotations

import asyncio
from collections import deque


class CostlyTurns:
    """Lets one costly piece of work run in each iteration of the event loop, first come first."""

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait until this piece of work may run."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._grant)

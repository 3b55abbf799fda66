"""Ends answers whose callers have stopped reading.

Answers callers that read slowly or not at all, many of them at once. While a caller does not read, its
answer keeps an engine's slot, and the server cuts the answer off after some seconds. A caller that
reads at all is not ended here.
"""

from __future__ import annotations

import asyncio

from attrs import define, field, frozen

from cicadaledge.clock import clock_ms
from cicadaledge.edge._caller_connection import CallerConnection
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._settings import SlowReaderSettings
from cicadaledge.logs import PartLog

_CHECKS_PER_LIMIT = 8
_log = PartLog("slow readers")


@frozen
class _Progress:
    """What was left to be read by a caller, and since when it has been that much."""

    left_bytes: int
    since_ms: float


@define
class SlowReaders:
    """Watches the callers for whose reading answers wait."""

    _settings: SlowReaderSettings
    _callers: CallerConnections
    _metrics: EdgeMetrics
    _progress: dict[CallerConnection, _Progress] = field(factory=dict, init=False)

    async def keep_checked(self) -> None:
        """Check all callers at an interval, forever."""
        while True:
            self.check(clock_ms())
            await asyncio.sleep(self._settings.stalled_ms / _CHECKS_PER_LIMIT / 1000)

    def check(self, now_ms: float) -> None:
        """Disconnect callers that have read nothing for too long."""
        progress: dict[CallerConnection, _Progress] = {}
        for connection in self._callers:
            channel = connection.channel
            if not channel.waits_for_peer:
                continue
            left_bytes = channel.unacknowledged_bytes()
            known = self._progress.get(connection)
            if known is None or left_bytes != known.left_bytes:
                known = _Progress(left_bytes, now_ms)
            if now_ms - known.since_ms < self._settings.stalled_ms:
                progress[connection] = known
                continue
            self._metrics.count_stalled_reader()
            _log.info(
                "Caller has stopped reading its answer; the connection is aborted.",
                stalled_ms=round(now_ms - known.since_ms),
                unread_bytes=left_bytes,
                waiting_callers=len(progress),
            )
            channel.abort()
        self._progress = progress
        self._metrics.set_gauge("slow_readers", len(progress))

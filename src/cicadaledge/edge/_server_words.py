"""What servers say of themselves in their answers, beside their entries in the store."""

from __future__ import annotations

import math
import random
import time

from cicadaledge.edge._dialect import ResponseSignals
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.logs import PartLog
from cicadaledge.routing import ServerDirectory, ServerEntry

_SPREAD_PART = 0.2  # of a pause, over which routers come back one after the other
_SPREAD_MS = 500.0  # the longest such time: a server that rested should not idle
_LINE_MS = 1_000.0  # between lines on headers that cannot be read
_log = PartLog("servers")


class ServerSignalHandler:
    """Takes over what answers tell of their servers.

    Args:
        directory: Where it decides who may get requests.
    """

    def __init__(self, directory: ServerDirectory, metrics: EdgeMetrics) -> None:
        self._directory = directory
        self._metrics = metrics
        self._chance = random.Random()
        self._line_ms = -math.inf

    def apply(self, server: ServerEntry, signs: ResponseSignals, now_ms: float) -> None:
        """Take over the signs of one answer of a server."""
        if signs.invalid_headers:
            self._note_unreadable(server, signs, now_ms)
        if signs.wrong_server:
            return
        if signs.leaving and self._directory.mark_leaving(server):
            self._metrics.count_server_report("leaving")
            _log.info("Server says that it leaves.", server=server.server, born_ms=server.born_ms)
        if signs.pause_ms:
            self._note_pause(server, signs.pause_ms, now_ms)

    def _note_pause(self, server: ServerEntry, pause_ms: float, now_ms: float) -> None:
        was_paused = self._directory.paused_until_ms(server.server) > now_ms
        spread_ms = self._chance.uniform(0.0, min(pause_ms * _SPREAD_PART, _SPREAD_MS))
        self._directory.mark_paused(server, now_ms + pause_ms + spread_ms, time.time() * 1000)
        if not was_paused:
            self._metrics.count_server_report("pause")
            _log.info(
                "Server asks for a pause.",
                server=server.server,
                born_ms=server.born_ms,
                pause_ms=round(pause_ms),
            )

    def _note_unreadable(self, server: ServerEntry, signs: ResponseSignals, now_ms: float) -> None:
        self._metrics.count_server_report("unreadable")
        if now_ms - self._line_ms >= _LINE_MS:
            self._line_ms = now_ms
            _log.warning(
                "Headers of an answer say nothing.",
                server=server.server,
                headers=list(signs.invalid_headers),
            )

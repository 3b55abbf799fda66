"""Applies what servers announce in their responses to the server directory."""

from __future__ import annotations

import math
import random
import time

from cicadaledge.edge._header_codec import ResponseSignals
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.logs import PartLog
from cicadaledge.routing import ServerDirectory, ServerEntry

# A random delay after a pause keeps the routers from resuming all at once. It is at most this
# fraction of the pause.
_JITTER_RATIO = 0.2
# The random delay is at most this long. A longer one would leave the server idle after its pause.
_MAX_JITTER_MS = 500.0
_MIN_WARNING_INTERVAL_MS = 1_000.0  # Invalid headers are logged no more often than this.
_log = PartLog("servers")


class ServerSignalHandler:
    """Applies the signals in responses to the directory that decides who gets requests.

    Args:
        directory: Directory of the servers.
    """

    def __init__(self, directory: ServerDirectory, metrics: EdgeMetrics) -> None:
        self._directory = directory
        self._metrics = metrics
        self._random = random.Random()
        self._last_warning_ms = -math.inf

    def apply(self, server: ServerEntry, signals: ResponseSignals, now_ms: float) -> None:
        """Apply the signals of one response of a server."""
        if signals.invalid_headers:
            self._report_invalid_headers(server, signals, now_ms)
        if signals.wrong_server:
            return
        if signals.leaving and self._directory.mark_leaving(server):
            self._metrics.count_server_report("leaving")
            _log.info(
                "Server announced that it is shutting down; this router sends it no new requests.",
                server=server.server,
                born_ms=server.born_ms,
            )
        if signals.pause_ms:
            self._apply_pause(server, signals.pause_ms, now_ms)

    def _apply_pause(self, server: ServerEntry, pause_ms: float, now_ms: float) -> None:
        was_paused = self._directory.paused_until_ms(server.server) > now_ms
        jitter_ms = self._random.uniform(0.0, min(pause_ms * _JITTER_RATIO, _MAX_JITTER_MS))
        self._directory.mark_paused(server, now_ms + pause_ms + jitter_ms, time.time() * 1000)
        if not was_paused:
            self._metrics.count_server_report("pause")
            _log.info(
                "Server asked for a pause; this router sends it no requests until the pause ends.",
                server=server.server,
                born_ms=server.born_ms,
                pause_ms=round(pause_ms),
            )

    def _report_invalid_headers(
        self, server: ServerEntry, signals: ResponseSignals, now_ms: float
    ) -> None:
        self._metrics.count_server_report("unreadable")
        if now_ms - self._last_warning_ms >= _MIN_WARNING_INTERVAL_MS:
            self._last_warning_ms = now_ms
            _log.warning(
                "Ignoring headers with invalid values in the response of a server.",
                server=server.server,
                headers=list(signals.invalid_headers),
            )

"""Keeps how long work takes on each server, as the servers report it with their answers.

Answers the load of servers on shared machines, whose speeds differ and change within a second. Each
router gets an answer of a given server too rarely to follow that, so routers pass their newest
reports on with their load views.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Protocol

from attrs import define, field, frozen
from attrs.validators import gt

from cicadaledge.wire import SpeedReport

_PERCENT = 100.0
# The result for a server is kept for this time, as each placement asks for that of many servers.
_CACHE_MS = 20.0
# Levels are brought up to date at this interval, in which a mean changes by a sixteenth at most.
_REFRESH_INTERVAL_MS = 500.0
# A level, in octaves, changes only by this much: each change moves prompts to engines that have not
# cached them. Spells of other work shift a mean over several of them by up to half an octave; with
# levels of half octaves every prompt moved once in 34 s, on each router at another time.
_MIN_LEVEL_CHANGE = 0.6
# A mean is updated for at most this time at once: nothing is known of a longer pause.
_MAX_STEP_MS = 500.0


@frozen
class SpeedReportSettings:
    """How reported speeds are used.

    Args:
        max_age_ms: Reports are used, and passed on, for this time, which is half of the time for
            which other work usually occupies a shared machine.
        mean_ms: Time constant of the mean, in which about ten such changes occur.
        prior_ms: Weight, as time, of the assumption that a server runs at the usual speed.
        max_factor: Largest factor that is believed, and the reciprocal of the smallest: more than
            that of a slow machine on which other work runs as well.
        newest_weight: Weight of the newest reports against the mean: part of them describe what is
            over when the request's work is done.
    """

    max_age_ms: float = field(default=300.0, validator=gt(0))
    mean_ms: float = field(default=8_000.0, validator=gt(0))
    prior_ms: float = field(default=500.0, validator=gt(0))
    max_factor: float = field(default=5.0, validator=gt(1))
    newest_weight: float = field(default=0.5, validator=gt(0))


class ReportsOfOthers(Protocol):
    """The reports that other routers have received."""

    def speed_report(self, server: str, now_ms: float) -> SpeedReport:
        """Return the sum of the others' newest reports of a server."""


@define
class _Server:
    """What is known about one server.

    Args:
        reported: The newest factor that the server reported to this router.
        level: Level of the mean in octaves, at the last change.
        weight_ms: Time over which the mean was formed.
        sum_ms: Mean factor times that time.
    """

    weight_ms: float
    sum_ms: float
    reported: float = 1.0
    reported_ms: float = -math.inf
    updated_ms: float = -math.inf
    computed_ms: float = -math.inf
    factor: float = 1.0
    level: int = 0


class SpeedReports:
    """Computes how long work takes on a server from what it reported to any router.

    Args:
        others: The other routers' reports.
    """

    def __init__(self, settings: SpeedReportSettings, others: ReportsOfOthers) -> None:
        self._settings = settings
        self._others = others
        self._servers: dict[str, _Server] = {}
        self._refreshed_ms: dict[str, float] = {}
        self._level_generation = 0

    def record(self, server: str, time_factor: float, now_ms: float) -> None:
        """Record a server's report.

        Args:
            time_factor: How long its work takes, as a multiple of the usual time.
        """
        known = self._server(server)
        known.reported = self._clamp(time_factor)
        known.reported_ms = now_ms
        known.computed_ms = -math.inf

    def factor(self, server: str, now_ms: float) -> float:
        """Return how long work that begins now is expected to take, over the usual time.

        Without reports it is 1. It goes back to the mean once there are no new ones.
        """
        known = self._servers.get(server)
        if known is None:
            if not self._others.speed_report(server, now_ms).reports:
                return 1.0
            known = self._server(server)
        if now_ms - known.computed_ms >= _CACHE_MS:
            known.computed_ms = now_ms
            known.factor = self._compute(server, known, now_ms)
        return known.factor

    def level(self, server: str) -> int:
        """Return a server's level: how long work takes there on average, in octaves."""
        known = self._servers.get(server)
        return 0 if known is None else known.level

    def level_generation(self, service: str, servers: Iterable[str], now_ms: float) -> int:
        """Return a number that grows whenever a level has changed.

        Args:
            servers: The servers of the service, whose levels are brought up to date.
        """
        if now_ms - self._refreshed_ms.get(service, -math.inf) >= _REFRESH_INTERVAL_MS:
            self._refreshed_ms[service] = now_ms
            for server in servers:
                self.factor(server, now_ms)
        return self._level_generation

    def own_reports(self, now_ms: float) -> list[SpeedReport]:
        """Return the newest reports that this router received, for its peers."""
        return [
            SpeedReport(name, 1, round(known.reported * _PERCENT))
            for name, known in self._servers.items()
            if now_ms - known.reported_ms <= self._settings.max_age_ms
        ]

    def retain_servers(self, kept: set[str]) -> None:
        """Drop what is known about servers that are not in *kept*."""
        for server in self._servers.keys() - kept:
            del self._servers[server]

    def _server(self, server: str) -> _Server:
        prior_ms = self._settings.prior_ms
        return self._servers.setdefault(server, _Server(prior_ms, prior_ms))

    def _compute(self, server: str, known: _Server, now_ms: float) -> float:
        settings = self._settings
        others = self._others.speed_report(server, now_ms)
        count, total = others.reports, others.percent_sum / _PERCENT
        if now_ms - known.reported_ms <= settings.max_age_ms:
            count, total = count + 1, total + known.reported
        if not count:
            return known.sum_ms / known.weight_ms
        newest = self._clamp(total / count)
        passed_ms = min(now_ms - known.updated_ms, _MAX_STEP_MS)
        known.updated_ms = now_ms
        kept = math.exp(-passed_ms / settings.mean_ms)
        known.weight_ms = known.weight_ms * kept + passed_ms
        known.sum_ms = known.sum_ms * kept + passed_ms * newest
        mean = known.sum_ms / known.weight_ms
        exact_level = math.log2(mean)
        if abs(exact_level - known.level) >= _MIN_LEVEL_CHANGE:
            known.level = round(exact_level)
            self._level_generation += 1
        return mean + (newest - mean) * settings.newest_weight

    def _clamp(self, factor: float) -> float:
        return min(max(factor, 1.0 / self._settings.max_factor), self._settings.max_factor)

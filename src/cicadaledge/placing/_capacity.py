"""Estimates how many tokens a second the engines of the fleet can begin to answer.

Answers an overload in which engines queue more requests than they can run, and the loss of engines:
what they begin follows both, whatever has been sent to them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from statistics import fmean

from cicadaledge.placing._health import ServerHealth
from cicadaledge.placing._load_tracker import LoadTracker
from cicadaledge.placing._settings import PlacingSettings
from cicadaledge.routing import ServerDirectory, Service

# The estimate is computed again after this time, as often as the shares that depend on it.
_UPDATE_INTERVAL_MS = 100.0


class EngineCapacity:
    """The rate that may be admitted to all engines.

    Args:
        settings: Limits on the work of an engine.
        directory: The servers.
        load: Their load, and the rate of answers that they begin.
        health: Servers that are ejected.
        unused: Returns the servers of a service whose version gets no requests now.
    """

    def __init__(
        self,
        settings: PlacingSettings,
        directory: ServerDirectory,
        load: LoadTracker,
        health: ServerHealth,
        unused: Callable[[str], frozenset[str]] = lambda service: frozenset(),
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._load = load
        self._health = health
        self._unused = unused
        self._free = 0.0
        self._begun_per_s = 0.0
        self._latest_per_s = 0.0
        self._updated_ms = -math.inf

    @property
    def latest_per_s(self) -> int:
        """Rate in tokens per second that was returned last; 0 for no limit."""
        return round(self._latest_per_s)

    @property
    def used_fraction(self) -> float | None:
        """Mean fraction of the engines' slots or backlog in use at the last update, if any."""
        return None if math.isinf(self._updated_ms) else 1.0 - self._free

    def admissible_per_s(
        self, services: Iterable[Service], configured_per_s: float, now_ms: float
    ) -> float:
        """Return the rate in tokens per second; 0 for no limit.

        Args:
            services: All services.
            configured_per_s: Configured capacity; 0 for no limit. Engines begin more where shared
                prompt parts are cached.
        """
        if configured_per_s <= 0:
            return 0.0
        if now_ms - self._updated_ms >= _UPDATE_INTERVAL_MS:
            self._free = self._free_fraction(services, now_ms)
            self._begun_per_s = self._load.begun_per_s(now_ms)
            self._updated_ms = now_ms
        self._latest_per_s = max(configured_per_s, self._begun_per_s * (1.0 + self._free))
        return self._latest_per_s

    def _free_fraction(self, services: Iterable[Service], now_ms: float) -> float:
        """Return the mean fraction of the engines' slots or backlog that is free, the lesser one.

        A cold engine takes few requests, however many of its slots are free.
        """
        doubtful = self._health.ejected(now_ms) | self._directory.unconfirmed()
        max_unread_tokens = self._settings.max_unread_tokens(self._load.max_view_age_ms)
        free = []
        for service in services:
            if service.engine is None:
                continue
            slots = max(1, service.engine.slots)
            excluded = doubtful | self._unused(service.name)
            for name in self._directory.usable_by_name(service.name).keys() - excluded:
                totals = self._load.totals(name, now_ms)
                used = max(totals.running / slots, totals.unread_tokens / max_unread_tokens)
                is_cold = self._directory.cold_until_ms(name) > now_ms
                free.append(0.0 if is_cold else max(0.0, 1.0 - used))
        return fmean(free) if free else 0.0

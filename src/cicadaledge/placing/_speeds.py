"""Learns how fast engines are from the first tokens that the whole fleet has seen.

Answers two loads: engines that differ from the model's speed, and single engines that have turned
slow and would go on to be chosen, as one router of many sees them too seldom to notice.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from statistics import median

from attrs import field, frozen
from attrs.validators import gt

from cicadaledge.placing._load import LoadTracker
from cicadaledge.placing._totals import FirstTokenWaits

_PERIOD_MS = 200.0  # four or more summings within the time in which evidence is renewed
_KEPT_MS = 5_000.0  # sums of a service that is no longer asked for


@frozen
class SpeedSettings:
    """How much evidence it takes.

    Args:
        prior_ms: Predicted time that counts as exact beside what was seen of one engine: some
            first tokens, so that one that comes late proves nothing.
        fleet_prior_ms: The same for all engines of a service together.
        most: Bound on the factors, either way: some samples of a fault elsewhere, at a router
            for one, must not close an engine.
        slow_from: How many times as slow as the median of its peers an engine is taken for slow;
            below, shared parts that it does not keep yet explain it.
        kind_from: How many times as slow or fast as the model a service is taken for one of
            another kind; below, requests that queued unseen explain it, and refusing more for
            them serves fewer callers.
    """

    prior_ms: float = field(default=1_000.0, validator=gt(0))
    fleet_prior_ms: float = field(default=8_000.0, validator=gt(0))
    most: float = field(default=4.0, validator=gt(1))
    slow_from: float = field(default=2.0, validator=gt(1))
    kind_from: float = field(default=1.6, validator=gt(1))


@frozen
class ServiceSpeeds:
    """What was learnt of a service's engines.

    Args:
        factor: Real over predicted time to the first token, of the engines that are not slow.
        slowness: Factors of the engines that are slow, beyond that.
        summed_ms: When the evidence was summed.
    """

    factor: float
    slowness: dict[str, float]
    summed_ms: float


class EngineSpeeds:
    """Factors by which predictions are corrected.

    Args:
        settings: How much evidence it takes.
        load: Evidence of all routers, as far as they are heard.
    """

    def __init__(self, settings: SpeedSettings, load: LoadTracker) -> None:
        self._settings = settings
        self._load = load
        self._services: dict[str, ServiceSpeeds] = {}

    def service_speeds(self, service: str, servers: Iterable[str], now_ms: float) -> ServiceSpeeds:
        """Return what is known of a service.

        Args:
            servers: Its engines.
        """
        known = self._services.get(service)
        if known is not None and now_ms - known.summed_ms < _PERIOD_MS:
            return known
        for name, old in list(self._services.items()):
            if now_ms - old.summed_ms > _KEPT_MS:
                del self._services[name]
        waits = {name: self._load.first_token_waits(name, now_ms) for name in servers}
        learnt = self._services[service] = self._learn(waits, now_ms)
        return learnt

    def _learn(self, waits: dict[str, FirstTokenWaits], now_ms: float) -> ServiceSpeeds:
        settings = self._settings
        ratios = {}
        for name, one in waits.items():
            ratios[name] = self._bounded(
                (one.waited_ms + settings.prior_ms) / (one.expected_ms + settings.prior_ms)
            )
        usual = median(ratios.values()) if ratios else 1.0
        slowness = {
            name: ratio / usual
            for name, ratio in ratios.items()
            if ratio >= usual * settings.slow_from
        }
        sound = [one for name, one in waits.items() if name not in slowness]
        waited_ms = math.fsum(one.waited_ms for one in sound) + settings.fleet_prior_ms
        expected_ms = math.fsum(one.expected_ms for one in sound) + settings.fleet_prior_ms
        factor = self._bounded(waited_ms / expected_ms)
        if 1.0 / settings.kind_from < factor < settings.kind_from:
            factor = 1.0
        return ServiceSpeeds(factor, slowness, now_ms)

    def _bounded(self, ratio: float) -> float:
        return min(max(ratio, 1.0 / self._settings.most), self._settings.most)

"""Learns how fast engines are from the first-token times measured by the whole fleet.

Detects engines whose speed differs from the engine model's, and single engines that have become
slow. One router of many would keep choosing these, as it sends each engine too few requests to
notice.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from statistics import median

from attrs import field, frozen
from attrs.validators import gt

from cicadaledge.placing._load_tracker import LoadTracker
from cicadaledge.placing._server_stats import FirstTokenWaits

# Factors are computed again after this time; each measurement enters at least four successive
# results.
_REFRESH_INTERVAL_MS = 200.0
_CACHE_TTL_MS = 5_000.0  # Results of services without requests are discarded after this time.


@frozen
class SpeedSettings:
    """Thresholds for correcting predictions.

    Args:
        prior_ms: Weight of the assumption that an engine runs at the predicted speed, as predicted
            time: that of several first tokens, so that a single late one changes little.
        fleet_prior_ms: The same for all engines of a service together.
        max_factor: Largest correction factor, and the reciprocal of the smallest: a few samples of
            a fault elsewhere, such as at a router, must not exclude an engine.
        slow_ratio: An engine counts as slow from this multiple of the median time of its peers.
            Less can result from shared prompt parts that it has not cached yet.
        correction_min_ratio: A service's predictions are corrected from this multiple of the
            model's time, or its reciprocal. Less can result from requests that queued behind load
            unknown to the router, and a correction would refuse requests that can be served.
    """

    prior_ms: float = field(default=1_000.0, validator=gt(0))
    fleet_prior_ms: float = field(default=8_000.0, validator=gt(0))
    max_factor: float = field(default=4.0, validator=gt(1))
    slow_ratio: float = field(default=2.0, validator=gt(1))
    correction_min_ratio: float = field(default=1.6, validator=gt(1))


@frozen
class ServiceSpeeds:
    """Correction factors for a service's engines.

    Args:
        factor: Measured over predicted time to the first token, of the engines that are not slow.
        slowness: For each slow engine, its further factor.
        computed_ms: When the factors were computed.
    """

    factor: float
    slowness: dict[str, float]
    computed_ms: float


class EngineSpeeds:
    """Computes the factors by which predictions are corrected.

    Args:
        settings: Thresholds.
        load: Measurements of this router and of those whose views are current.
    """

    def __init__(self, settings: SpeedSettings, load: LoadTracker) -> None:
        self._settings = settings
        self._load = load
        self._services: dict[str, ServiceSpeeds] = {}

    def service_speeds(self, service: str, servers: Iterable[str], now_ms: float) -> ServiceSpeeds:
        """Return the correction factors for a service.

        Args:
            servers: All engines of the service.
        """
        cached = self._services.get(service)
        if cached is not None and now_ms - cached.computed_ms < _REFRESH_INTERVAL_MS:
            return cached
        for name, expired in list(self._services.items()):
            if now_ms - expired.computed_ms > _CACHE_TTL_MS:
                del self._services[name]
        waits = {name: self._load.first_token_waits(name, now_ms) for name in servers}
        speeds = self._services[service] = self._compute(waits, now_ms)
        return speeds

    def _compute(self, waits: dict[str, FirstTokenWaits], now_ms: float) -> ServiceSpeeds:
        settings = self._settings
        ratios = {}
        for name, engine_waits in waits.items():
            ratios[name] = self._clamp(
                (engine_waits.waited_ms + settings.prior_ms)
                / (engine_waits.expected_ms + settings.prior_ms)
            )
        median_ratio = median(ratios.values()) if ratios else 1.0
        slowness = {
            name: ratio / median_ratio
            for name, ratio in ratios.items()
            if ratio >= median_ratio * settings.slow_ratio
        }
        normal = [engine_waits for name, engine_waits in waits.items() if name not in slowness]
        waited_ms = (
            math.fsum(engine_waits.waited_ms for engine_waits in normal) + settings.fleet_prior_ms
        )
        expected_ms = (
            math.fsum(engine_waits.expected_ms for engine_waits in normal) + settings.fleet_prior_ms
        )
        factor = self._clamp(waited_ms / expected_ms)
        if 1.0 / settings.correction_min_ratio < factor < settings.correction_min_ratio:
            factor = 1.0
        return ServiceSpeeds(factor, slowness, now_ms)

    def _clamp(self, ratio: float) -> float:
        return min(max(ratio, 1.0 / self._settings.max_factor), self._settings.max_factor)

"""Detects failing backend servers from the outcomes that all routers have observed.

In a large fleet each router sends a server too few requests to notice by itself that many fail.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median

from attrs import frozen

from cicadaledge.placing._load_tracker import LoadTracker
from cicadaledge.placing._server_stats import ServerOutcomes

# A service is evaluated again after this time, less than a tenth of that for which outcomes count.
_REFRESH_INTERVAL_MS = 200.0
# With fewer outcomes, a high failure rate may be chance: a healthy server fails one request in some
# hundred.
_MIN_OUTCOMES = 6.0
# A server is failing only above this rate, which is far above that of a healthy service.
_FAILURE_RATE_THRESHOLD = 0.35
# A server is failing only above this multiple of the median failure rate of its service, so that
# none is singled out where all fail alike.
_MEDIAN_FACTOR = 2.0
# At most this fraction of a service's servers counts as failing, since the others must bear their
# load.
_MAX_EXCLUDED_FRACTION = 0.34
# Once a server no longer counts as failing, only a few routers use it for this time, which is as
# long as outcomes count. Then all routers use it again.
_PROBE_PERIOD_MS = 3_000.0
# About this many routers probe a server, since a single one may have no request to probe with.
_PROBING_ROUTERS = 3.0


@frozen
class _Evaluation:
    """Result of the evaluation of one service.

    Args:
        excluded: Servers to which this router sends nothing.
        probed_until_ms: For each server that was failing, until when only a few routers probe it.
        evaluated_ms: Time of the evaluation.
    """

    excluded: set[str]
    probed_until_ms: dict[str, float]
    evaluated_ms: float


class FailingServers:
    """Finds servers to exclude, and lets a few routers probe them before all use them again.

    Args:
        load: Outcomes at this router and at those whose views are current.
    """

    def __init__(self, load: LoadTracker) -> None:
        self._load = load
        self._services: dict[str, _Evaluation] = {}

    def excluded_servers(self, service: str, servers: Iterable[str], now_ms: float) -> set[str]:
        """Return the servers to which this router should send nothing.

        Args:
            servers: All servers of the service.
        """
        evaluation = self._services.get(service)
        if evaluation is None or now_ms - evaluation.evaluated_ms >= _REFRESH_INTERVAL_MS:
            evaluation = self._evaluate(service, list(servers), now_ms)
        return evaluation.excluded

    def _evaluate(self, service: str, servers: list[str], now_ms: float) -> _Evaluation:
        failure_rates = {name: _failure_rate(self._load.outcomes(name, now_ms)) for name in servers}
        typical_rate = median(failure_rates.values()) if failure_rates else 0.0
        threshold = max(_FAILURE_RATE_THRESHOLD, typical_rate * _MEDIAN_FACTOR)
        worst_first = sorted(servers, key=lambda name: failure_rates[name], reverse=True)
        max_excluded = int(len(servers) * _MAX_EXCLUDED_FRACTION)
        failing = {name for name in worst_first[:max_excluded] if failure_rates[name] > threshold}
        previous = self._services.get(service)
        probed = previous.probed_until_ms if previous else {}
        probed = {name: until for name, until in probed.items() if until > now_ms}
        probed |= dict.fromkeys(failing, now_ms + _PROBE_PERIOD_MS)
        excluded = failing | {
            name for name in probed if not self._load.is_selected_for(name, _PROBING_ROUTERS)
        }
        evaluation = self._services[service] = _Evaluation(excluded, probed, now_ms)
        return evaluation


def _failure_rate(outcomes: ServerOutcomes) -> float:
    """Return the fraction of the requests that failed; 0 while too few have ended."""
    return outcomes.failed / outcomes.ended if outcomes.ended >= _MIN_OUTCOMES else 0.0

"""Which servers fail by what the whole fleet has seen of them.

Answers a server that fails many of its requests in a fleet so large that each router meets it too
seldom to notice.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median

from attrs import frozen

from cicadaledge.placing._load import LoadTracker
from cicadaledge.placing._totals import ServerOutcomes

_PERIOD_MS = 200.0  # a tenth of the time in which the evidence is renewed
_LEAST_ENDS = 6.0  # fewer are chance: a sound server fails one in some hundred
_FAILING_PART = 0.35  # far above the part of failures that a sound service has by itself
_FAILING_FACTOR = 2.0  # a service that fails everywhere has no failing servers
_MOST_PART = 0.34  # of a service's servers; the others have to bear what these do not get
_PROBE_MS = 3_000.0  # as long as evidence lasts; then all routers use the server again
_PROBING_ROUTERS = 3.0  # one may have no request for it


@frozen
class _Service:
    """What was found of one service.

    Args:
        left_out: Servers that this router leaves out.
        probed_until_ms: Servers that were failing, and until when a few routers try them.
    """

    left_out: set[str]
    probed_until_ms: dict[str, float]
    summed_ms: float


class FailingServers:
    """Servers that should get nothing, or only a few routers' requests.

    Args:
        load: Evidence of all routers, as far as they are heard.
    """

    def __init__(self, load: LoadTracker) -> None:
        self._load = load
        self._services: dict[str, _Service] = {}

    def excluded_servers(self, service: str, servers: Iterable[str], now_ms: float) -> set[str]:
        """Return the servers that this router should leave out.

        Args:
            servers: All servers of the service.
        """
        known = self._services.get(service)
        if known is None or now_ms - known.summed_ms >= _PERIOD_MS:
            known = self._sum(service, list(servers), now_ms)
        return known.left_out

    def _sum(self, service: str, servers: list[str], now_ms: float) -> _Service:
        parts = {name: _failed_part(self._load.outcomes(name, now_ms)) for name in servers}
        usual = median(parts.values()) if parts else 0.0
        bound = max(_FAILING_PART, usual * _FAILING_FACTOR)
        worst_first = sorted(servers, key=lambda name: parts[name], reverse=True)
        most = int(len(servers) * _MOST_PART)
        failing = {name for name in worst_first[:most] if parts[name] > bound}
        former = self._services.get(service)
        probed = former.probed_until_ms if former else {}
        probed = {name: until for name, until in probed.items() if until > now_ms}
        probed |= dict.fromkeys(failing, now_ms + _PROBE_MS)
        left_out = failing | {
            name for name in probed if not self._load.is_selected_for(name, _PROBING_ROUTERS)
        }
        known = self._services[service] = _Service(left_out, probed, now_ms)
        return known


def _failed_part(ends: ServerOutcomes) -> float:
    """Return the part of the requests that failed; 0 while they are too few."""
    return ends.failed / ends.ended if ends.ended >= _LEAST_ENDS else 0.0

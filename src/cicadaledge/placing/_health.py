"""Passive health checks of backend servers: ejects those that fail or cannot be reached."""

from __future__ import annotations

import math

from attrs import define

# The failure rate is an exponential moving average; the last request's weight is the reciprocal of
# this. A server that fails half of its requests is ejected after about ten.
_AVERAGING_REQUESTS = 8.0
# A server is an outlier only above this rate, which is far above that of a healthy service.
_OUTLIER_FAILURE_RATE = 0.35
# A server is an outlier only above this multiple of its peers' median failure rate, so that none is
# ejected where all servers of a service fail alike.
_OUTLIER_FACTOR = 2.0
# An outlier is ejected for a little over a heartbeat interval: by then the server list shows
# whether it has crashed.
_EJECTION_MS = 1_500.0
# The first ejection of an unreachable server is short, as a single lost packet can fail a
# connection attempt. Each further failure doubles the time.
_UNREACHABLE_EJECTION_MS = 700.0
# An unreachable server is ejected for at most this time, as the server list shows by then whether
# it is gone.
_MAX_EJECTION_MS = 5_600.0


@define
class _Record:
    failure_rate: float = 0.0
    ejected_until_ms: float = 0.0
    consecutive_unreachable: int = 0
    is_probing: bool = False


class ServerHealth:
    """Ejects servers that cannot be reached, or fail far more often than their peers.

    An ejected server gets no requests for a while. A server that remains unreachable is then probed
    with one request at a time, at increasing intervals.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._last_ejection_end_ms = -math.inf

    def record_unreachable(self, server: str, now_ms: float) -> None:
        """Record that no connection to a server could be opened."""
        record = self._records.setdefault(server, _Record())
        if record.is_probing or not record.consecutive_unreachable:
            record.consecutive_unreachable += 1
        record.is_probing = False
        self._eject(record, now_ms + _unreachable_ejection_ms(record))

    def record_sent(self, server: str, now_ms: float) -> None:
        """Record a request to a server; a server that was unreachable gets no other meanwhile."""
        record = self._records.get(server)
        if record is not None and record.consecutive_unreachable:
            record.is_probing = True
            self._eject(record, now_ms + _unreachable_ejection_ms(record))

    def record_reached(self, server: str) -> None:
        """Record that a server has begun to answer."""
        record = self._records.get(server)
        if record is not None and record.consecutive_unreachable:
            record.consecutive_unreachable = 0
            record.is_probing = False
            record.ejected_until_ms = 0.0

    def record_outcome(self, server: str, failed: bool, peers: list[str], now_ms: float) -> None:
        """Record whether a request failed.

        Args:
            peers: Servers of the same service.
        """
        record = self._records.setdefault(server, _Record())
        weight = 1.0 / _AVERAGING_REQUESTS
        record.failure_rate += (float(failed) - record.failure_rate) * weight
        if failed and self._is_outlier(server, record, peers):
            self._eject(record, now_ms + _EJECTION_MS)
            record.failure_rate = _OUTLIER_FAILURE_RATE

    def is_ejected(self, server: str, now_ms: float) -> bool:
        """Return whether a server should get no requests now."""
        record = self._records.get(server)
        return record is not None and record.ejected_until_ms > now_ms

    def ejected(self, now_ms: float) -> set[str]:
        """Return the servers that should get no requests now."""
        if now_ms >= self._last_ejection_end_ms:
            return set()
        return {name for name in self._records if self.is_ejected(name, now_ms)}

    def _eject(self, record: _Record, until_ms: float) -> None:
        record.ejected_until_ms = until_ms
        self._last_ejection_end_ms = max(self._last_ejection_end_ms, until_ms)

    def _is_outlier(self, server: str, record: _Record, peers: list[str]) -> bool:
        peer_rates = [
            self._records[name].failure_rate
            for name in peers
            if name in self._records and name != server
        ]
        typical_rate = sorted(peer_rates)[len(peer_rates) // 2] if peer_rates else 0.0
        return record.failure_rate > max(_OUTLIER_FAILURE_RATE, typical_rate * _OUTLIER_FACTOR)


def _unreachable_ejection_ms(record: _Record) -> float:
    """Return for how long to eject a server after consecutive failures to reach it."""
    backoff_ms = _UNREACHABLE_EJECTION_MS * 2.0 ** (record.consecutive_unreachable - 1)
    return min(backoff_ms, _MAX_EJECTION_MS)

"""Which backend servers fail more than their peers."""

from __future__ import annotations

import math

from attrs import define

_HALF_LIFE_REQUESTS = 8.0  # a server that fails half of its requests stands out after about ten
_OUTLIER_RATE = 0.35  # far above the share of failures that a sound service has by itself
_OUTLIER_FACTOR = 2.0  # a service that fails everywhere has no outliers
_EJECT_MS = 1_500.0  # a little over a heartbeat: by then the server list tells of a crash
_UNREACHABLE_EJECT_MS = 700.0  # one lost packet must not cost a server for long
_LONGEST_EJECT_MS = 5_600.0  # by then the server list tells of a server that is gone


@define
class _Record:
    failure_rate: float = 0.0
    ejected_until_ms: float = 0.0
    unreached_in_row: int = 0
    probed: bool = False


class ServerHealth:
    """Ejects servers that cannot be reached, or fail far more often than the others."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._last_end_ms = -math.inf

    def record_unreachable(self, server: str, now_ms: float) -> None:
        """Note that no connection could be opened."""
        record = self._records.setdefault(server, _Record())
        if record.probed or not record.unreached_in_row:
            record.unreached_in_row += 1
        record.probed = False
        self._eject(record, now_ms + _unreached_eject_ms(record))

    def record_sent(self, server: str, now_ms: float) -> None:
        """Note a request to a server; one that was not reached before gets no other meanwhile."""
        record = self._records.get(server)
        if record is not None and record.unreached_in_row:
            record.probed = True
            self._eject(record, now_ms + _unreached_eject_ms(record))

    def record_reached(self, server: str) -> None:
        """Note that a server has begun to answer."""
        record = self._records.get(server)
        if record is not None and record.unreached_in_row:
            record.unreached_in_row = 0
            record.probed = False
            record.ejected_until_ms = 0.0

    def record_outcome(self, server: str, failed: bool, peers: list[str], now_ms: float) -> None:
        """Note how a request ended.

        Args:
            peers: Servers of the same service.
        """
        record = self._records.setdefault(server, _Record())
        weight = 1.0 / _HALF_LIFE_REQUESTS
        record.failure_rate += (float(failed) - record.failure_rate) * weight
        if failed and self._is_outlier(server, record, peers):
            self._eject(record, now_ms + _EJECT_MS)
            record.failure_rate = _OUTLIER_RATE

    def is_ejected(self, server: str, now_ms: float) -> bool:
        """Return whether a server should get nothing now."""
        record = self._records.get(server)
        return record is not None and record.ejected_until_ms > now_ms

    def ejected(self, now_ms: float) -> set[str]:
        """Return the servers that should get nothing now."""
        if now_ms >= self._last_end_ms:
            return set()
        return {name for name in self._records if self.is_ejected(name, now_ms)}

    def _eject(self, record: _Record, until_ms: float) -> None:
        record.ejected_until_ms = until_ms
        self._last_end_ms = max(self._last_end_ms, until_ms)

    def _is_outlier(self, server: str, record: _Record, peers: list[str]) -> bool:
        others = [
            self._records[name].failure_rate
            for name in peers
            if name in self._records and name != server
        ]
        usual = sorted(others)[len(others) // 2] if others else 0.0
        return record.failure_rate > max(_OUTLIER_RATE, usual * _OUTLIER_FACTOR)


def _unreached_eject_ms(record: _Record) -> float:
    """Return how long a server gets nothing that was not reached several times in a row."""
    doubled_ms = _UNREACHABLE_EJECT_MS * 2.0 ** (record.unreached_in_row - 1)
    return min(doubled_ms, _LONGEST_EJECT_MS)

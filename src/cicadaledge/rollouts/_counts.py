"""Counts of requests and outcomes by route and version, and their sum over the fleet.

Covers routers that restart, and a zone whose relay changes: a router's counts only grow, and the
last counts of a process that has ended are kept.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import define, field

# Durations are summed as logarithms in units of a 64th of a factor of two, so that a whole number
# keeps them to 1%.
_LOG_UNITS = 64.0
_Key = tuple[str, bool]


@define
class OutcomeCounts:
    """Outcomes of one route's requests on one side: the new version or the former ones.

    Args:
        sent: Requests placed on a server.
        answered: Answers, complete or failed.
        failed: Answers that were failures.
        judged: Answers whose duration could be compared.
        slow: How many of these were slow.
        timed: Answers whose durations are summed up.
        log_sum: Sum of the logarithms of these durations.
    """

    sent: int = 0
    answered: int = 0
    failed: int = 0
    judged: int = 0
    slow: int = 0
    timed: int = 0
    log_sum: int = 0

    def add(self, other: OutcomeCounts) -> None:
        """Add other counts to these."""
        self.sent += other.sent
        self.answered += other.answered
        self.failed += other.failed
        self.judged += other.judged
        self.slow += other.slow
        self.timed += other.timed
        self.log_sum += other.log_sum

    def record_time(self, took_ms: float) -> None:
        """Add a duration to those whose mean is known."""
        self.timed += 1
        self.log_sum += round(math.log2(max(took_ms, 1.0)) * _LOG_UNITS)

    @property
    def bad(self) -> int:
        """Answers that were failures or slow."""
        return self.failed + self.slow

    @property
    def typical_ms(self) -> float:
        """Geometric mean of the durations; 0 if none is known."""
        return 2.0 ** (self.log_sum / self.timed / _LOG_UNITS) if self.timed else 0.0


class RolloutCounts:
    """Counts of one rollout by route and side."""

    def __init__(self, cells: Mapping[_Key, OutcomeCounts] | None = None) -> None:
        self.cells: dict[_Key, OutcomeCounts] = dict(cells or {})

    def cell(self, route: str, *, is_new: bool) -> OutcomeCounts:
        """Return the counts of a route on one side, to read or to change."""
        key = (route, is_new)
        if key not in self.cells:
            self.cells[key] = OutcomeCounts()
        return self.cells[key]

    def routes(self) -> set[str]:
        """Return the routes that have counts."""
        return {route for route, _ in self.cells}

    def side(self, *, is_new: bool) -> OutcomeCounts:
        """Return the counts of one side over all routes."""
        total = OutcomeCounts()
        for (_, cell_is_new), cell in self.cells.items():
            if cell_is_new == is_new:
                total.add(cell)
        return total

    @staticmethod
    def sum_of(parts: Iterable[RolloutCounts]) -> RolloutCounts:
        """Return the sum of several counts."""
        total = RolloutCounts()
        for part in parts:
            for (route, is_new), cell in part.cells.items():
                total.cell(route, is_new=is_new).add(cell)
        return total


@define
class _MemberRow:
    incarnation: int
    counts: RolloutCounts


@define
class RolloutTally:
    """Sums up the counts of one rollout over the fleet.

    A relay adds up its zone from its members' counts, and the fleet from all zones' sums. A member
    uses the sum that its relay sends.

    Attributes:
        own: Counts of this router.
        heard_ms: When this router last heard from its relay or, as a relay, from any router.
        latest: The fleet's counts at the last decision.
    """

    own: RolloutCounts = field(factory=RolloutCounts)
    heard_ms: float = -math.inf
    latest: RolloutCounts = field(factory=RolloutCounts)
    _members: dict[str, _MemberRow] = field(factory=dict)
    _ended: RolloutCounts = field(factory=RolloutCounts)
    _zones: dict[str, RolloutCounts] = field(factory=dict)
    _fleet: RolloutCounts = field(factory=RolloutCounts)

    def record_member(
        self, router: str, incarnation: int, counts: RolloutCounts, now_ms: float
    ) -> None:
        """Replace the counts of a router; those of its former process are kept as well."""
        former = self._members.get(router)
        if former is not None and incarnation < former.incarnation:
            return
        if former is not None and incarnation > former.incarnation:
            self._ended = RolloutCounts.sum_of([self._ended, former.counts])
        self._members[router] = _MemberRow(incarnation, counts)
        self.heard_ms = now_ms

    def record_zone(self, zone: str, counts: RolloutCounts, now_ms: float) -> None:
        """Replace the sum of another zone."""
        self._zones[zone] = counts
        self.heard_ms = now_ms

    def record_fleet(self, counts: RolloutCounts, now_ms: float) -> None:
        """Replace the sum of the fleet, as reported by the relay."""
        self._fleet = counts
        self.heard_ms = now_ms

    def zone_sum(self) -> RolloutCounts:
        """Return the sum of this router's zone, as far as its members have reported."""
        rows = [row.counts for row in self._members.values()]
        return RolloutCounts.sum_of([self.own, self._ended, *rows])

    def fleet_sum(self, *, is_relay: bool) -> RolloutCounts:
        """Return the counts of the fleet."""
        if is_relay:
            return RolloutCounts.sum_of([self.zone_sum(), *self._zones.values()])
        return self._fleet if self._fleet.cells else self.own

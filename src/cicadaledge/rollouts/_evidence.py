"""Evidence that a version is bad, gathered from the fleet's counts.

Covers versions that are bad at once, later or on one route only. For each route, and for all routes
together, a cumulative sum of log likelihood ratios compares the new version's answers with the
former versions' rate; it forgets good answers, so that a version that becomes bad late is noticed as
soon as one that is bad from the start.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

from cicadaledge.rollouts._counts import OutcomeCounts, RolloutCounts

# Some 20 sums run for a rollout. Each exceeds this limit by chance once in e^11, or 60,000, answers
# at most; a version that fails half of its requests exceeds it after about 12 answers.
_ALARM = 11.0
# Bad answers must occur over this time, as a single incident looks the same while it lasts: a spell
# in which a shared machine is slow takes 600 ms.
_MIN_SPAN_MS = {"failed": 400.0, "slow": 1_200.0}
# The requirement states 50 bad answers as the limit. From this number on, a rate that is clearly
# higher than the former versions' is enough.
_MANY_BAD = 35
_MANY_FACTOR = 2.0
_MANY_EXTRA = 0.02
_ALL_ROUTES = ""


@frozen
class _Rates:
    """Rates of bad answers that are told apart.

    Args:
        least: Lowest rate that is assumed of a good version.
        most: Highest such rate, so that a failing former server cannot hide a bad version.
        extra: Least difference of a bad version's rate.
        prior: Answers of former versions that are assumed in addition.
    """

    least: float
    most: float
    extra: float
    prior: float

    def good(self, bad: int, count: int) -> float:
        """Return the rate assumed of a good version, from the former versions' answers."""
        return min(self.most, max(self.least, 1.5 * (bad + 0.5) / (count + self.prior)))

    def bad(self, good: float) -> float:
        """Return the rate assumed of a bad version."""
        return min(0.9, max(3.0 * good, good + self.extra))


# A healthy service fails one request in some hundred. Durations vary more than that: on shared
# machines up to 15% of them are several times the usual.
_RATES = {"failed": _Rates(0.02, 0.1, 0.13, 50.0), "slow": _Rates(0.05, 0.3, 0.25, 10.0)}


@define
class _Sum:
    value: float = 0.0
    start_ms: float = 0.0
    last_bad_ms: float = 0.0
    counted: int = 0
    counted_bad: int = 0


@define
class VersionEvidence:
    """Cumulative sums of one rollout.

    Attributes:
        reason: Why the version is bad; empty while it is not known to be.
    """

    reason: str = ""
    _sums: dict[tuple[str, str], _Sum] = field(factory=dict)

    @property
    def is_bad(self) -> bool:
        """Whether the version is bad; this does not change any more."""
        return bool(self.reason)

    @property
    def strength(self) -> float:
        """Strength of the evidence, a log likelihood ratio; 0 speaks for a good version."""
        return max((one.value for one in self._sums.values()), default=0.0)

    def update(self, counts: RolloutCounts, now_ms: float) -> None:
        """Add what the fleet's counts contain in addition to the last ones."""
        for route in sorted(counts.routes()):
            former = counts.cell(route, is_new=False)
            self._update_route(route, counts.cell(route, is_new=True), former, now_ms)
        new, former = counts.side(is_new=True), counts.side(is_new=False)
        self._update_route(_ALL_ROUTES, new, former, now_ms)
        self._check_total(new, former)

    def _update_route(
        self, route: str, new: OutcomeCounts, former: OutcomeCounts, now_ms: float
    ) -> None:
        self._advance(
            ("failed", route), new.answered, new.failed, former.answered, former.failed, now_ms
        )
        self._advance(("slow", route), new.judged, new.slow, former.judged, former.slow, now_ms)

    def _advance(
        self,
        key: tuple[str, str],
        count: int,
        bad: int,
        former_count: int,
        former_bad: int,
        now_ms: float,
    ) -> None:
        kind, route = key
        one = self._sums.setdefault(key, _Sum())
        # Counts shrink when a relay has lost those of a router that has ended.
        new_bad = max(0, bad - one.counted_bad)
        new_good = max(0, count - one.counted - new_bad)
        one.counted, one.counted_bad = max(count, one.counted), max(bad, one.counted_bad)
        if not new_bad and not new_good:
            return
        rates = _RATES[kind]
        good_rate = rates.good(former_bad, former_count)
        bad_rate = rates.bad(good_rate)
        was_clear = one.value <= 0.0
        one.value += new_bad * math.log(bad_rate / good_rate)
        one.value += new_good * math.log((1.0 - bad_rate) / (1.0 - good_rate))
        one.value = max(0.0, one.value)
        if new_bad:
            one.last_bad_ms = now_ms
            if was_clear:
                one.start_ms = now_ms
        spans = one.last_bad_ms - one.start_ms >= _MIN_SPAN_MS[kind]
        if one.value >= _ALARM and spans and not self.reason:
            where = f"on route {route}" if route else "on all routes"
            self.reason = f"too many {kind} answers {where}: {bad} of {count}"

    def _check_total(self, new: OutcomeCounts, former: OutcomeCounts) -> None:
        kinds = {
            "failures": (new.failed, former.failed),
            "slow": (new.slow, former.slow),
            "failures or slow": (new.bad, former.bad),
        }
        for kind, (bad, former_bad) in kinds.items():
            if self.reason or bad < _MANY_BAD:
                continue
            former_rate = (former_bad + 1.0) / (former.answered + 20.0)
            if bad > new.answered * (former_rate * _MANY_FACTOR + _MANY_EXTRA):
                self.reason = f"{bad} of {new.answered} answers are {kind}"

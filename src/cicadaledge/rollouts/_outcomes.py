"""Turns the outcomes of attempts into counts: which answers were failures, and which were slow.

Covers causes that are no fault of a version: servers that have just started, crashes, which lose many
requests at once, and longer work.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve, frozen

from cicadaledge.rollouts._counts import OutcomeCounts
from cicadaledge.rollouts._rollout import Rollout
from cicadaledge.routing import ServerEntry

# An answer is slow if it takes this multiple of the former versions' typical time and this time in
# addition, in which an event loop may be late.
_SLOW_FACTOR = 2.5
_SLOW_EXTRA_MS = 10.0
# With fewer answers of the former versions, their typical time is not known.
_MIN_TIMED = 8
# The typical times from before an order count as this many answers.
_SEED_ANSWERS = 32
# From this number of answers on, older ones from before an order are given less weight.
_MAX_FORMER_TIMES = 256
# A server that has just started is slow for some seconds, also if it does not say so.
_WARM_UP_MS = 3_000.0
# A crash loses all requests on a server at once, and counts as one failure in this time.
_CRASH_MS = 1_000.0


@frozen
class AnswerOutcome:
    """Outcome of an attempt that a server may have run.

    Args:
        is_lost: Whether the connection broke before the answer was complete.
        is_silent: Whether there was no answer within the caller's time.
        took_ms: Time that a complete answer took, for a length of work that is the same for all of
            its route; None if it is not known.
    """

    service: str
    route: str
    server: ServerEntry
    started_ms: float
    failed: bool = False
    is_lost: bool = False
    is_silent: bool = False
    took_ms: float | None = None


class OutcomeRecorder:
    """Counts the outcomes at one router.

    Args:
        warm_from_ms: Returns the time from which a server is warm by its own account and the
            time at which it was first seen.
    """

    def __init__(self, warm_from_ms: Callable[[str], tuple[float, float]]) -> None:
        self._warm_from_ms = warm_from_ms
        self._former_times: dict[tuple[str, str], OutcomeCounts] = {}
        self._lost_ms: dict[str, float] = {}

    def seed(self, rollout: Rollout) -> None:
        """Use the typical times from before an order for its rollout."""
        for (service, route), times in self._former_times.items():
            if service == rollout.order.service and times.timed:
                cell = rollout.tally.own.cell(route, is_new=False)
                cell.timed = min(times.timed, _SEED_ANSWERS)
                cell.log_sum = times.log_sum * cell.timed // times.timed

    def record(self, outcome: AnswerOutcome, rollout: Rollout | None, now_ms: float) -> bool:
        """Count an outcome; return whether it was a bad answer of the new version."""
        is_warm = self._is_warm(outcome)
        if rollout is None:
            if outcome.took_ms is not None and is_warm:
                self._record_former_time(outcome, outcome.took_ms)
            return False
        is_new = outcome.server.version == rollout.order.to
        cell = rollout.tally.own.cell(outcome.route, is_new=is_new)
        if outcome.is_silent:
            if not is_warm:
                return False
            cell.judged += 1
            cell.slow += 1
            return is_new
        if outcome.is_lost and self._is_known_crash(outcome.server.server, now_ms):
            return False
        cell.answered += 1
        cell.failed += outcome.failed
        is_slow = False
        if outcome.took_ms is not None and is_warm:
            is_slow = self._judge(rollout, outcome.route, cell, outcome.took_ms)
            if not is_new:
                cell.record_time(outcome.took_ms)
        return is_new and (outcome.failed or is_slow)

    @staticmethod
    def _judge(rollout: Rollout, route: str, cell: OutcomeCounts, took_ms: float) -> bool:
        """Count whether an answer was slow, if the former versions' typical time is known."""
        fleet = rollout.tally.latest.cell(route, is_new=False)
        own = rollout.tally.own.cell(route, is_new=False)
        times = fleet if fleet.timed >= _MIN_TIMED else own
        if times.timed < _MIN_TIMED:
            return False
        is_slow = took_ms > times.typical_ms * _SLOW_FACTOR + _SLOW_EXTRA_MS
        cell.judged += 1
        cell.slow += is_slow
        return is_slow

    def _record_former_time(self, outcome: AnswerOutcome, took_ms: float) -> None:
        key = (outcome.service, outcome.route)
        times = self._former_times.setdefault(key, OutcomeCounts())
        if times.timed >= _MAX_FORMER_TIMES:
            times = evolve(times, timed=times.timed // 2, log_sum=times.log_sum // 2)
            self._former_times[key] = times
        times.record_time(took_ms)

    def _is_known_crash(self, server: str, now_ms: float) -> bool:
        """Return whether a lost request belongs to a crash that has been counted."""
        if now_ms - self._lost_ms.get(server, -_CRASH_MS) < _CRASH_MS:
            return True
        self._lost_ms[server] = now_ms
        return False

    def _is_warm(self, outcome: AnswerOutcome) -> bool:
        announced_ms, first_seen_ms = self._warm_from_ms(outcome.server.server)
        return outcome.started_ms >= max(announced_ms, first_seen_ms + _WARM_UP_MS)

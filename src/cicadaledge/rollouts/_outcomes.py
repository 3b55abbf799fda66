"""Turns the outcomes of attempts into counts: which answers were failures, and which were slow.

Covers causes that are no fault of a version: servers that have just started, crashes, which lose many
requests at once, and longer work.
"""

from __future__ import annotations

from attrs import evolve, frozen

from cicadaledge.rollouts._counts import OutcomeCounts
from cicadaledge.rollouts._rollout import Rollout
from cicadaledge.routing import ServerDirectory, ServerEntry

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
# A request that was lost with its connection counts as a failed answer once its server has written
# this many heartbeats since. A server that crashes writes at most one, which was on its way, and
# loses all its requests at once, which says little of its version.
_LIVE_HEARTBEATS = 2
# Heartbeats come every 1.2 s. A server that has written none for this time has ended.
_LOST_LIFE_MS = 6_000.0


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


@frozen
class _LostRequest:
    """A request whose server may have crashed.

    Args:
        sequence: Sequence of the server's newest heartbeat then.
    """

    outcome: AnswerOutcome
    at_ms: float
    sequence: int


class OutcomeRecorder:
    """Counts the outcomes at one router.

    Args:
        directory: The servers.
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._former_times: dict[tuple[str, str], OutcomeCounts] = {}
        self._lost: list[_LostRequest] = []

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
        if outcome.is_lost:
            sequence = self._directory.newest_sequence(outcome.server)
            self._lost.append(_LostRequest(outcome, now_ms, sequence))
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

    def settle_lost(self, rollout: Rollout, now_ms: float) -> None:
        """Count the lost requests whose servers are alive; forget those of servers that ended."""
        waiting = []
        for lost in self._lost:
            server = lost.outcome.server
            if lost.outcome.service != rollout.order.service:
                waiting.append(lost)
                continue
            newest = self._directory.newest_sequence(server)
            if newest >= lost.sequence + _LIVE_HEARTBEATS:
                is_new = server.version == rollout.order.to
                cell = rollout.tally.own.cell(lost.outcome.route, is_new=is_new)
                cell.answered += 1
                cell.failed += 1
            elif now_ms - lost.at_ms < _LOST_LIFE_MS:
                waiting.append(lost)
        self._lost = waiting

    def _is_warm(self, outcome: AnswerOutcome) -> bool:
        name = outcome.server.server
        first_seen_ms = self._directory.first_seen_ms(name)
        warm_from_ms = max(self._directory.cold_until_ms(name), first_seen_ms + _WARM_UP_MS)
        return outcome.started_ms >= warm_from_ms

"""State of the rollout of one service, from its order to its final status.

Covers routers that learn of the order late, lose their counts or miss a status, and a second router
that decides at the same time: states only move forward, and a final one is written again if the
store has lost it.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field

from cicadaledge.rollouts._counts import RolloutCounts, RolloutTally
from cicadaledge.rollouts._evidence import VersionEvidence
from cicadaledge.rollouts._plan import RolloutPlan, RolloutProgress, Stage
from cicadaledge.rollouts._records import RolloutOrder, RolloutState, RolloutStatus
from cicadaledge.rollouts._settings import RolloutSettings
from cicadaledge.rollouts._versions import VersionGroups
from cicadaledge.routing import Version

# The rate of requests is measured over this time, which contains several exchanges of counts.
_RATE_WINDOW_MS = 2_000.0
# Over a shorter time, a few requests look like a high rate.
_MIN_RATE_MS = 500.0
# The fraction changes with each decision. It is logged when it has changed by this factor, and at
# this interval.
_LOGGED_FACTOR = 2.0
_LOG_INTERVAL_MS = 1_000.0
# Decisions are made every 100 ms. An older one was made before a pause of the process.
_DECISION_LIFE_MS = 1_000.0
# The clocks of two VMs differ by at most twice `maxSkewMs`. Two routers' statuses of one order differ
# by no more in the time of the order.
_MAX_CLOCK_DIFFERENCE_MS = 16_000
# A router that has restarted waits this long to hear the age of the order from another one. Then
# it follows the time in the status, or counts from the time at which it read the order.
_AGE_WAIT_MS = 3_000.0


@define
class Rollout:
    """One order and what is known of its progress.

    Attributes:
        former: Versions in use before the order; empty if unknown.
        status: Most advanced status that has been read or written, or None.
        stored: Status that the store is known to hold, or None.
        is_withdrawn: Whether the order's record has been deleted.
        tally: Counts of the fleet.
        evidence: Evidence that the version is bad.
        fraction: Fraction of the requests that may go to the new version now.
        route_fractions: The same for routes that differ.
        stage: Stage of the plan.
        longest_ms: Longest time that a request of the service may take.
        decided_ms: When the fraction was last decided.
        missing_ms: When the order was first missing from the operator's records, or None.
        finished_ms: When the final status was read or written, or the deadline if that was earlier;
            None before.
    """

    order: RolloutOrder
    settings: RolloutSettings
    seen_ms: float
    is_observed: bool
    wall_seen_ms: int = 0
    former: frozenset[Version] = frozenset()
    status: RolloutStatus | None = None
    stored: RolloutStatus | None = None
    is_withdrawn: bool = False
    tally: RolloutTally = field(factory=RolloutTally)
    evidence: VersionEvidence = field(factory=VersionEvidence)
    fraction: float = 0.0
    route_fractions: dict[str, float] = field(factory=dict)
    stage: Stage = Stage.WAITING
    longest_ms: float = 0.0
    decided_ms: float = 0.0
    missing_ms: float | None = None
    finished_ms: float | None = None
    _started_ms: float | None = None
    _logged: tuple[Stage, RolloutState, float, float] = (
        Stage.WAITING,
        RolloutState.RUNNING,
        0.0,
        0.0,
    )
    _rates: dict[str, deque[tuple[float, int]]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        if self.is_observed:
            self._started_ms = self.seen_ms

    @property
    def state(self) -> RolloutState:
        """State that this router acts on."""
        if self.status is not None and self.status.is_final:
            return self.status.state
        return RolloutState.ROLLED_BACK if self.is_condemned else RolloutState.RUNNING

    @property
    def is_condemned(self) -> bool:
        """Whether this router knows that the new version must get nothing more."""
        return self.is_withdrawn or self.evidence.is_bad

    @property
    def is_over(self) -> bool:
        """Whether nothing can change its state any more, so that nothing needs to be counted."""
        return self.is_withdrawn or (self.status is not None and self.status.is_final)

    @property
    def _is_ended(self) -> bool:
        return self.state is not RolloutState.RUNNING

    def fraction_of(self, route: str) -> float:
        """Return the fraction of a route's requests that may go to the new version now."""
        return self.route_fractions.get(route, self.fraction) if self.fraction > 0 else 0.0

    def has_news(self, now_ms: float) -> bool:
        """Return whether the fraction has changed so much since the last call that it is logged."""
        stage, state, fraction, at_ms = self._logged
        is_other = (stage, state) != (self.stage, self.state)
        low, high = sorted((fraction, self.fraction))
        is_far = high > low * _LOGGED_FACTOR and now_ms - at_ms >= _LOG_INTERVAL_MS
        if is_other or is_far:
            self._logged = self.stage, self.state, self.fraction, now_ms
        return is_other or is_far

    def expire_fraction(self, now_ms: float) -> None:
        """Allow nothing for the new version if the decision is old, as after a pause of the VM."""
        if self.state is RolloutState.RUNNING and now_ms - self.decided_ms > _DECISION_LIFE_MS:
            self.fraction = 0.0

    def age_ms(self, now_ms: float) -> float | None:
        """Return the time since the order, or None while it is unknown."""
        return None if self._started_ms is None else now_ms - self._started_ms

    def learn_age(self, age_ms: float, now_ms: float) -> None:
        """Take over the age that another router has reported, if it is larger."""
        started_ms = now_ms - age_ms
        if self._started_ms is None or started_ms < self._started_ms:
            self._started_ms = started_ms

    def settle_age(self, now_ms: float, wall_ms: int) -> None:
        """Estimate the age if no other router has reported it."""
        if self._started_ms is not None or now_ms - self.seen_ms < _AGE_WAIT_MS:
            return
        self._started_ms = self.seen_ms
        if self.status is not None and self.status.since_ms:
            self.learn_age(max(0.0, float(wall_ms - self.status.since_ms)), now_ms)

    def apply_status(self, status: RolloutStatus, now_ms: float) -> bool:
        """Take over a status read from the store; return whether the state has changed."""
        if status.to != self.order.to:
            return False
        self.stored = status
        if self._is_of_later_order(status):
            self._start_again(now_ms)
        if status.former and not self.is_observed and not self.former:
            self.former = frozenset(status.former)
        if not status.supersedes(self.status):
            return False
        self.status = status
        if status.is_final:
            self.finished_ms = now_ms - self._late_ms(status, now_ms)
        return True

    def _late_ms(self, status: RolloutStatus, now_ms: float) -> float:
        """Return how long ago a rollout ended at least, as after a restart; 0 if unknown."""
        if not status.since_ms:
            return 0.0
        wall_ms = self.wall_seen_ms + now_ms - self.seen_ms
        return max(0.0, wall_ms - status.since_ms - self.order.duration_ms)

    def _is_of_later_order(self, status: RolloutStatus) -> bool:
        """Return whether a status belongs to the same order given again after this one ended."""
        known = self.status
        if known is None or not known.is_final or status.is_final or not known.since_ms:
            return False
        return status.since_ms - known.since_ms > _MAX_CLOCK_DIFFERENCE_MS

    def _start_again(self, now_ms: float) -> None:
        self.status = None
        self.finished_ms = None
        self.tally = RolloutTally()
        self.evidence = VersionEvidence()
        self.fraction = 0.0
        self.seen_ms = now_ms
        self.is_observed = False
        self._started_ms = None
        self._rates = {}

    def record_written(self, status: RolloutStatus, now_ms: float) -> None:
        """Record that this router has written a status."""
        self.stored = status
        if status.supersedes(self.status):
            self.status = status
        if status.is_final and self.finished_ms is None:
            self.finished_ms = now_ms

    def update(
        self,
        counts: RolloutCounts,
        groups: VersionGroups,
        former_running: int,
        now_ms: float,
        *,
        is_informed: bool,
    ) -> RolloutState:
        """Update the fraction; return the state that the rollout should have.

        Args:
            counts: Counts of the fleet.
            former_running: Requests that the fleet runs on former servers.
            is_informed: Whether the counts and loads of the fleet are current.
        """
        age_ms = self.age_ms(now_ms)
        self.tally.latest = counts
        self.decided_ms = now_ms
        self.route_fractions = {}
        if not self._is_ended:
            self.evidence.update(counts, now_ms)
        if self._is_ended or age_ms is None or not is_informed:
            self.fraction = float(self.state is RolloutState.COMPLETED)
            return self.state
        new, former = counts.side(is_new=True), counts.side(is_new=False)
        progress = RolloutProgress(
            age_ms,
            self._requests_per_s("", new.sent + former.sent, now_ms),
            new.sent + former.sent,
            new.sent,
            new.answered,
            groups.new_slots,
            groups.former_slots,
            former_running,
            new.bad,
            former.bad / max(1, former.answered),
            self.evidence.strength,
            is_counted=self.is_observed,
        )
        plan = RolloutPlan(self.order.duration_ms, self.settings, self.longest_ms)
        self.stage = plan.stage(progress)
        self.fraction = plan.fraction(progress)
        for route in counts.routes():
            sent = sum(counts.cell(route, is_new=is_new).sent for is_new in (True, False))
            rate = self._requests_per_s(route, sent, now_ms)
            self.route_fractions[route] = plan.route_fraction(self.fraction, rate, progress)
        return plan.outcome(progress)

    def status_of(self, state: RolloutState, wall_ms: int, now_ms: float) -> RolloutStatus:
        """Return the status to write for a state."""
        age_ms = self.age_ms(now_ms)
        since_ms = self.wall_seen_ms if age_ms is None else wall_ms - round(age_ms)
        if self.status is not None and self.status.since_ms:
            since_ms = self.status.since_ms
        former = tuple(sorted(self.former, key=str))
        return RolloutStatus(self.order.service, self.order.to, state, since_ms, former)

    def due_status(self, wanted: RolloutState, wall_ms: int, now_ms: float) -> RolloutStatus | None:
        """Return the status that the store should hold but does not, or None."""
        status = self.status_of(wanted, wall_ms, now_ms)
        if self.status is not None and not status.supersedes(self.status):
            status = self.status
        if self.stored is not None and self.stored.to == status.to:
            return status if status.supersedes(self.stored) else None
        return status

    def _requests_per_s(self, route: str, sent: int, now_ms: float) -> float:
        """Return the recent rate of a route's requests; "" stands for all routes."""
        rates = self._rates.setdefault(route, deque())
        rates.append((now_ms, sent))
        while len(rates) > 2 and now_ms - rates[1][0] >= _RATE_WINDOW_MS:
            rates.popleft()
        first_ms, first_sent = rates[0]
        elapsed_ms = max(now_ms - first_ms, _MIN_RATE_MS)
        return max(0, sent - first_sent) * 1000 / elapsed_ms

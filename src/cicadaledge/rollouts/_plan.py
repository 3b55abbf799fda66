"""When a rollout sends which fraction of the requests to the new version, and when it ends.

Covers services with one request a second as well as a thousand, and versions that become bad only
after a while. All requests go to the new version as late as the deadline allows, because whatever a
version receives before it turns bad counts towards the limit on exposure.
"""

from __future__ import annotations

import enum
import math

from attrs import frozen

from cicadaledge.rollouts._records import RolloutState
from cicadaledge.rollouts._settings import RolloutSettings

# Fractions of `expose_share` that the new version gets after this many answers. A version that
# fails all requests is recognised after six answers; until then as few as possible are sent.
_CANARY_STEPS = ((0, 0.1), (10, 0.2), (30, 0.4))
# This many answers are wanted in the first part of the rollout, which show a rate of bad answers of
# a tenth. A service with few requests sends a larger fraction to the new version for that.
_WANTED_ANSWERS = 60
_WANTED_BY = 0.3
_MAX_CANARY = 0.5
# Parts of the limits on exposure that the canary uses. The rest is for requests that are sent
# before a change of the counts is known, and for the steps to all requests.
_CANARY_SHARE_PART = 0.5
_CANARY_SLACK_PART = 0.6
# Until it has answered that often, a version gets this many requests and one more each second. One
# that never answers, or whose answers are lost, is noticed late and must not get more meanwhile.
_UNANSWERED = 12
_ANSWERED = 10
# A change of the counts takes effect everywhere after this time: two exchanges between routers and
# one decision.
_LAG_S = 2.0
# The new version serves all requests for this time before its rollout is completed, if the deadline
# allows it: slow answers must last for 1.2 s to count, and are known everywhere 2 s later.
_OBSERVED_FULL_MS = 3_500.0
# From this strength of the evidence on, a version is suspect. Shortly before the rollout ends, more is
# needed: the weaker limit is exceeded by chance once in some hundred answers.
_SUSPECT_STRENGTH = 5.0
_LATE_SUSPECT_STRENGTH = 8.0
# With so few answers, the evidence hardly reaches that strength. Then this many bad answers, this
# part of all and this multiple of the former versions' rate are enough; a healthy version gives four
# bad answers out of ten to thirteen once in some hundred rollouts at most.
_FEW_ANSWERS = 60
_FEW_BAD = 4
_FEW_BAD_RATE = 0.3
_FEW_BAD_FACTOR = 3.0
# A suspect version gets this fraction, or one request a second if that is more.
_SUSPECT_FRACTION = 0.02
_SUSPECT_PER_S = 1.0
# This many answers are wanted on each route, so that a version that is bad on one route only is
# noticed. Boosting a rarely used route may add this part of all requests of the service.
_WANTED_ROUTE_ANSWERS = 30
_MAX_BOOST_SHARE = 0.005
_RAMP_FRACTIONS = (0.1, 0.25, 0.5)
# Without this many answers, nothing is known of a version, and the canary goes on.
_MIN_ANSWERS = 10
# Parts of the rollout's duration that its phases may take, for short ones.
_START_PART, _MARGIN_PART, _DRAIN_PART, _RAMP_PART = 0.1, 0.15, 0.2, 0.2
# In long rollouts, the phase in which requests end on the former servers takes up to this part.
_LONG_DRAIN_PART = 0.1


class Stage(enum.StrEnum):
    """Stage of a running rollout."""

    WAITING = "waiting"
    CANARY = "canary"
    RAMP = "ramp"
    FULL = "full"


@frozen
class RolloutProgress:
    """What the fleet knows of a rollout.

    Args:
        age_ms: Time since the order.
        requests_per_s: Requests to the service.
        sent: Requests sent to any version since the order.
        sent_new: How many of them were sent to the new version.
        answered_new: Answers of the new version.
        new_slots: Requests that the ready servers of the new version can run.
        former_slots: The same for the former versions.
        former_running: Requests that run on servers of the former versions.
        bad_new: How many of them were bad.
        former_bad_rate: Fraction of the former versions' answers that were bad.
        strength: Strength of the evidence that the new version is bad.
        is_bad: Whether it is known to be bad.
        is_counted: Whether the requests have been counted since the order; not if this router has
            started later.
    """

    age_ms: float
    requests_per_s: float = 0.0
    sent: int = 0
    sent_new: int = 0
    answered_new: int = 0
    new_slots: int = 0
    former_slots: int = 0
    former_running: int = 0
    bad_new: int = 0
    former_bad_rate: float = 0.0
    strength: float = 0.0
    is_bad: bool = False
    is_counted: bool = True


class RolloutPlan:
    """Phases of one rollout.

    Args:
        duration_ms: Time from the order to its deadline.
        longest_ms: Longest time that a request of the service may take.
    """

    def __init__(
        self, duration_ms: float, settings: RolloutSettings, longest_ms: float = 0.0
    ) -> None:
        self._duration_ms = duration_ms
        self._settings = settings
        drain_ms = max(settings.drain_ms, min(longest_ms, duration_ms * _LONG_DRAIN_PART))
        margin_ms = min(settings.store_margin_ms, duration_ms * _MARGIN_PART)
        self.start_ms = min(settings.start_ms, duration_ms * _START_PART)
        self.complete_ms = duration_ms - margin_ms
        self.full_ms = self.complete_ms - min(drain_ms, duration_ms * _DRAIN_PART)
        self.ramp_ms = self.full_ms - min(settings.ramp_ms, duration_ms * _RAMP_PART)

    def stage(self, progress: RolloutProgress) -> Stage:
        """Return the stage; the later ones also need evidence."""
        if progress.age_ms < self.start_ms or not progress.new_slots:
            return Stage.WAITING
        if progress.age_ms < self.ramp_ms or not self._has_evidence(progress):
            return Stage.CANARY
        return Stage.RAMP if progress.age_ms < self.full_ms else Stage.FULL

    def is_suspect(self, progress: RolloutProgress) -> bool:
        """Return whether the new version may be bad."""
        if progress.age_ms < self.full_ms:
            return progress.strength >= _SUSPECT_STRENGTH
        is_late = progress.age_ms >= (self.full_ms + self.complete_ms) / 2
        least = max(_FEW_BAD_RATE, progress.former_bad_rate * _FEW_BAD_FACTOR)
        few = progress.answered_new <= _FEW_ANSWERS and progress.bad_new >= _FEW_BAD
        is_mostly_bad = few and progress.bad_new >= least * progress.answered_new
        limit = _LATE_SUSPECT_STRENGTH if is_late else _SUSPECT_STRENGTH
        return is_mostly_bad or progress.strength >= limit

    def fraction(self, progress: RolloutProgress) -> float:
        """Return the fraction of the requests that go to the new version."""
        if progress.is_bad:
            return 0.0
        match self.stage(progress):
            case Stage.WAITING:
                return 0.0
            case Stage.CANARY:
                fraction = self._canary(progress)
            case Stage.RAMP:
                fraction = self._ramp(progress)
            case Stage.FULL:
                fraction = 1.0
        if self.is_suspect(progress):
            rate = max(progress.requests_per_s, 1.0)
            fraction = min(fraction, max(_SUSPECT_FRACTION, _SUSPECT_PER_S / rate))
        return fraction

    def route_fraction(
        self, fraction: float, route_per_s: float, progress: RolloutProgress
    ) -> float:
        """Return the fraction of one route's requests, which is larger for a rarely used route.

        Args:
            fraction: The fraction of all requests.
            route_per_s: Requests of the route.
        """
        if self.is_suspect(progress) or not 0.0 < fraction < 1.0 or route_per_s <= 0.0:
            return fraction
        wanted_s = self._duration_ms / 1000 * _WANTED_BY
        boosted = min(
            _MAX_CANARY,
            _WANTED_ROUTE_ANSWERS / (route_per_s * wanted_s),
            _MAX_BOOST_SHARE * progress.requests_per_s / route_per_s,
        )
        return max(fraction, boosted)

    def outcome(self, progress: RolloutProgress) -> RolloutState:
        """Return the state that the rollout should have now."""
        if progress.is_bad:
            return RolloutState.ROLLED_BACK
        is_due = progress.age_ms >= self.complete_ms
        if not progress.new_slots or self.is_suspect(progress):
            return RolloutState.ROLLED_BACK if is_due else RolloutState.RUNNING
        if is_due:
            is_silent = progress.sent_new >= _MIN_ANSWERS and not progress.answered_new
            return RolloutState.ROLLED_BACK if is_silent else RolloutState.COMPLETED
        is_moved = (
            self.stage(progress) is Stage.FULL
            and progress.age_ms >= self.full_ms + _OBSERVED_FULL_MS
            and not progress.former_running
        )
        return RolloutState.COMPLETED if is_moved else RolloutState.RUNNING

    def _has_evidence(self, progress: RolloutProgress) -> bool:
        """Return whether the answers, or the lack of requests, allow more than the canary."""
        bound = self._settings.expose_share * progress.sent + self._settings.expose_slack
        is_small = progress.is_counted and progress.sent <= bound
        return is_small or progress.answered_new >= _MIN_ANSWERS

    def _canary(self, progress: RolloutProgress) -> float:
        settings = self._settings
        step = max(part for least, part in _CANARY_STEPS if progress.answered_new >= least)
        rate = max(progress.requests_per_s, 1.0)
        wanted_s = self._duration_ms / 1000 * _WANTED_BY
        fraction = max(step * settings.expose_share, _WANTED_ANSWERS / (rate * wanted_s))
        if progress.age_ms >= self.ramp_ms:  # evidence is needed soon
            fraction = max(fraction, settings.expose_share)
        left = (
            _CANARY_SHARE_PART * settings.expose_share * progress.sent
            + _CANARY_SLACK_PART * settings.expose_slack
            - progress.sent_new
        )
        if progress.answered_new < _ANSWERED:
            first = _UNANSWERED + (progress.age_ms - self.start_ms) / 1000
            left = min(left, first - progress.sent_new)
        return max(0.0, min(fraction, _MAX_CANARY, left / (rate * _LAG_S)))

    def _ramp(self, progress: RolloutProgress) -> float:
        """Return a step of the ramp, limited to what the new servers can take."""
        part = (progress.age_ms - self.ramp_ms) / (self.full_ms - self.ramp_ms)
        fraction = _RAMP_FRACTIONS[min(int(part * len(_RAMP_FRACTIONS)), 2)]
        fraction = max(fraction, self._canary(progress))
        if progress.former_slots:
            fraction = min(fraction, progress.new_slots / progress.former_slots)
        return fraction

    @staticmethod
    def canary_servers(fraction: float, former_servers: int, regions: int) -> int:
        """Return how many new servers share the fraction.

        They get about as many requests each as the former ones, so that a version that is bad under
        load shows it; there are two at least, and one for each region.
        """
        return max(2, regions, math.ceil(fraction * former_servers))

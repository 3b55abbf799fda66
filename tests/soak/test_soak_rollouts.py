"""The soak reports what a rollout breaks, and what faults excuse."""

import pytest

from cicadaledge.rollouts import RolloutState
from cicadaledge.routing import RouteKind
from cicadaledge.soak import Observations, RolloutChecker, RolloutRecord, SentRequest, SoakBounds
from cicadaledge.standins import Run

RUNNING, COMPLETED, ROLLED_BACK = RolloutState
ORDERED_MS = 100_000.0


class Round:
    """One rollout of the service "desk", and the requests that reached it."""

    def __init__(self, states, bad_from_ms=None):
        self.observations = Observations(SoakBounds(), {})
        self.record = RolloutRecord("desk", ORDERED_MS, ["desk-new-0"], "desk-stray", bad_from_ms)
        self.record.states = [(ORDERED_MS + 1_000 * s, state) for s, state in states]
        self.run("desk-0", 0.0, count=100)

    def run(self, server, age_s, count=1):
        for _ in range(count):
            name, at_ms = f"r{len(self.observations.sent)}", ORDERED_MS + 1_000 * age_s
            self.observations.sent[name] = SentRequest(
                name, RouteKind.UNSAFE, False, "router", "/book/1", b"", "", at_ms
            )
            run = Run(name, "POST", "/book/1", {}, b"", at_ms=at_ms, ended_ms=at_ms)
            self.observations.runs.append((server, run))
        return run

    def disturb(self, from_s, until_s):
        span = (ORDERED_MS + 1_000 * from_s, ORDERED_MS + 1_000 * until_s)
        self.observations.record_router_disturbance(["router"], *span)

    def broken(self):
        return RolloutChecker(self.record, self.observations).violations()


GOOD_STATES = [(0.1, RUNNING), (27.0, COMPLETED)]
BAD_STATES = [(0.1, RUNNING), (4.0, ROLLED_BACK)]


def test_a_rollout_that_ends_as_it_must_breaks_nothing():
    assert Round(GOOD_STATES).broken() == []
    bad = Round(BAD_STATES, ORDERED_MS)
    bad.run("desk-new-0", 2.0, count=60)
    assert bad.broken() == []


@pytest.mark.parametrize(
    ("states", "bad_from_ms"),
    [
        (BAD_STATES, None),
        (GOOD_STATES, ORDERED_MS),
        ([(0.1, RUNNING)], ORDERED_MS),
        ([*BAD_STATES, (5.0, COMPLETED), (6.0, ROLLED_BACK)], ORDERED_MS),
    ],
)
def test_a_wrong_final_state_is_reported(states, bad_from_ms):
    assert len(Round(states, bad_from_ms).broken()) == 1


def test_only_faults_shortly_before_the_deadline_excuse_a_missing_status():
    # The duration counts anew from the last time without a status.
    for missing_s, until_s, broken in ((0.1, 10.0, 1), (0.1, 25.0, 0), (5.0, 20.0, 1)):
        late = Round([(missing_s, RUNNING)])
        late.record.missing_ms = ORDERED_MS + 1_000 * missing_s
        late.disturb(0.0, until_s)
        assert len(late.broken()) == broken, until_s


def test_exposure_and_late_requests_are_reported_unless_the_router_was_disturbed():
    exposed = Round(BAD_STATES, ORDERED_MS)
    exposed.run("desk-new-0", 2.0, count=100)
    assert len(exposed.broken()) == 1
    late = Round(BAD_STATES, ORDERED_MS)
    late.record.bad_runs = [late.run("desk-new-0", 2.0) for _ in range(50)]
    late.run("desk-new-0", 8.0)
    assert len(late.broken()) == 1
    for one in (exposed, late):
        one.disturb(0.0, 1.0)
        assert one.broken() == []


def test_requests_on_a_version_that_was_not_ordered_and_lost_ones_are_reported():
    stray = Round(GOOD_STATES)
    stray.run("desk-stray", 20.0)
    assert len(stray.broken()) == 1
    lost = Round(GOOD_STATES)
    lost.record.cut_runs = [lost.run("desk-0", 26.9)]
    assert len(lost.broken()) == 1

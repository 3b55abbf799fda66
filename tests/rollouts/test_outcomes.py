"""Which outcomes count as bad answers."""

import pytest
from attrs import evolve
from rollout_fleet import SETTINGS, entry

from cicadaledge.rollouts import AnswerOutcome, OutcomeRecorder, Rollout, RolloutOrder
from cicadaledge.routing import ServerDirectory

ORDER = RolloutOrder("desk", "v2", 30_000.0)
NEW = AnswerOutcome("desk", "look", entry("n0", "v2"), 10_000.0)
FORMER = AnswerOutcome("desk", "look", entry("f0"), 10_000.0)


def recorder(cold_until_ms=0.0, first_seen_ms=0.0):
    directory = ServerDirectory()
    for outcome in (NEW, FORMER):
        directory.apply(outcome.server, first_seen_ms)
        directory.mark_cold(outcome.server.server, cold_until_ms)
    return OutcomeRecorder(directory)


@pytest.fixture
def rollout():
    return Rollout(ORDER, SETTINGS, 0.0, True)


def record(recorder, rollout, *outcomes, now_ms=11_000.0):
    return [recorder.record(outcome, rollout, now_ms) for outcome in outcomes]


def new_cell(rollout):
    return rollout.tally.own.cell("look", is_new=True)


def test_an_answer_is_slow_compared_with_the_former_versions_on_its_route(rollout):
    one = recorder()
    record(one, rollout, *[evolve(FORMER, took_ms=40.0)] * 20)
    slow, usual = evolve(NEW, took_ms=150.0), evolve(NEW, took_ms=80.0)
    other_route = evolve(slow, route="book")
    assert record(one, rollout, slow, usual, other_route) == [True, False, False]
    assert (new_cell(rollout).judged, new_cell(rollout).slow) == (2, 1)


def test_a_heartbeat_during_a_slow_answer_does_not_excuse_it(rollout):
    # Answers that take longer than the interval between two heartbeats would never be called slow.
    one = recorder()
    rollout.tally.own.cell("look", is_new=False).timed = 20
    one._directory.apply(evolve(NEW.server, sequence=2), 10_500.0)
    assert record(one, rollout, evolve(NEW, took_ms=900.0)) == [True]


@pytest.mark.parametrize("start", [{"cold_until_ms": 10_500.0}, {"first_seen_ms": 8_000.0}])
def test_a_server_that_has_just_started_is_not_called_slow(rollout, start):
    one = recorder(**start)
    rollout.tally.own.cell("look", is_new=False).timed = 20
    assert record(one, rollout, evolve(NEW, took_ms=900.0)) == [False]
    assert record(one, rollout, evolve(NEW, is_silent=True)) == [False]
    assert record(one, rollout, evolve(NEW, failed=True)) == [True]


@pytest.mark.parametrize(
    ("heartbeat", "failed"),
    [({"sequence": 3}, 30), ({"sequence": 2}, 0), ({"sequence": 9, "born_ms": 2}, 0)],
)
def test_lost_requests_count_only_if_their_server_has_not_crashed(rollout, heartbeat, failed):
    # A crash loses the requests of many routers at once, and would look like a bad version.
    one = recorder()
    record(one, rollout, *[evolve(NEW, failed=True, is_lost=True)] * 30)
    one.settle_lost(rollout, 12_000.0)
    assert new_cell(rollout).failed == 0
    one._directory.apply(evolve(NEW.server, **heartbeat), 13_000.0)
    one.settle_lost(rollout, 13_000.0)
    assert new_cell(rollout).failed == failed
    one.settle_lost(rollout, 18_000.0)  # silent for too long to be alive
    one._directory.apply(evolve(NEW.server, sequence=20), 19_000.0)
    one.settle_lost(rollout, 19_000.0)
    assert new_cell(rollout).failed == failed


def test_times_from_before_the_order_are_the_first_measure(rollout):
    one = recorder()
    record(one, None, *[evolve(FORMER, took_ms=40.0)] * 600)
    one.seed(rollout)
    assert rollout.tally.own.cell("look", is_new=False).timed == 32
    assert record(one, rollout, evolve(NEW, took_ms=150.0)) == [True]
    assert rollout.tally.own.cell("look", is_new=False).typical_ms == pytest.approx(40.0, rel=0.02)

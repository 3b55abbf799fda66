"""Which outcomes count as bad answers."""

import pytest
from attrs import evolve
from rollout_fleet import SETTINGS, entry

from cicadaledge.rollouts import AnswerOutcome, OutcomeRecorder, Rollout, RolloutOrder

ORDER = RolloutOrder("desk", "v2", 30_000.0)
NEW = AnswerOutcome("desk", "look", entry("n0", "v2"), 10_000.0)
FORMER = AnswerOutcome("desk", "look", entry("f0"), 10_000.0)


def recorder(cold_until_ms=0.0, first_seen_ms=0.0):
    return OutcomeRecorder(lambda server: (cold_until_ms, first_seen_ms))


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


@pytest.mark.parametrize("start", [{"cold_until_ms": 10_500.0}, {"first_seen_ms": 8_000.0}])
def test_a_server_that_has_just_started_is_not_called_slow(rollout, start):
    one = recorder(**start)
    rollout.tally.own.cell("look", is_new=False).timed = 20
    assert record(one, rollout, evolve(NEW, took_ms=900.0)) == [False]
    assert record(one, rollout, evolve(NEW, is_silent=True)) == [False]
    assert record(one, rollout, evolve(NEW, failed=True)) == [True]


def test_the_requests_that_a_crash_loses_count_as_one_failure(rollout):
    one = recorder()
    record(one, rollout, *[evolve(NEW, failed=True, is_lost=True)] * 30)
    assert new_cell(rollout).failed == 1
    record(one, rollout, evolve(NEW, failed=True, is_lost=True), now_ms=13_000.0)
    assert new_cell(rollout).failed == 2


def test_times_from_before_the_order_are_the_first_measure(rollout):
    one = recorder()
    record(one, None, *[evolve(FORMER, took_ms=40.0)] * 600)
    one.seed(rollout)
    assert rollout.tally.own.cell("look", is_new=False).timed == 32
    assert record(one, rollout, evolve(NEW, took_ms=150.0)) == [True]
    assert rollout.tally.own.cell("look", is_new=False).typical_ms == pytest.approx(40.0, rel=0.02)

"""Fractions, stages and outcomes of a rollout's plan."""

import pytest
from attrs import evolve

from cicadaledge.rollouts import (
    RolloutPlan,
    RolloutProgress,
    RolloutSettings,
    RolloutState,
    Stage,
)

SETTINGS = RolloutSettings(is_enabled=True)
PLAN = RolloutPlan(60_000.0, SETTINGS, longest_ms=12_000.0)
GOOD = RolloutProgress(
    20_000.0, 200.0, 4_000, 150, answered_new=150, new_slots=36, former_slots=36, former_running=9
)


def test_nothing_is_sent_until_all_routers_know_the_order_and_a_server_is_ready():
    assert PLAN.fraction(evolve(GOOD, age_ms=500.0)) == 0.0
    assert PLAN.fraction(evolve(GOOD, new_slots=0)) == 0.0


def test_the_canary_grows_with_the_answers_and_never_uses_up_the_exposure():
    fractions = [
        PLAN.fraction(evolve(GOOD, sent_new=count, answered_new=count)) for count in (0, 20, 90)
    ]
    assert fractions == sorted(set(fractions))
    assert fractions[-1] <= SETTINGS.expose_share / 2
    assert PLAN.fraction(evolve(GOOD, sent_new=250)) == 0.0


@pytest.mark.parametrize("rate", [0.0, 1.0, 30.0, 700.0])
def test_what_is_sent_before_the_counts_are_known_stays_within_the_slack(rate):
    progress = RolloutProgress(5_000.0, rate, new_slots=36, former_slots=36)
    assert PLAN.fraction(progress) * rate * 2.0 <= SETTINGS.expose_slack


def test_a_rarely_used_route_gets_a_larger_fraction():
    fraction = PLAN.fraction(GOOD)
    assert PLAN.route_fraction(fraction, 2.0, GOOD) > 3 * fraction
    assert PLAN.route_fraction(fraction, 100.0, GOOD) == fraction
    assert PLAN.route_fraction(0.0, 2.0, GOOD) == 0.0


def test_all_requests_move_before_the_deadline_only_with_evidence():
    late = evolve(GOOD, age_ms=PLAN.full_ms, sent=10_000)
    assert PLAN.fraction(late) == 1.0
    assert PLAN.stage(evolve(late, answered_new=3)) is Stage.CANARY
    assert PLAN.fraction(evolve(late, answered_new=3)) <= SETTINGS.expose_share


def test_after_a_restart_few_counted_requests_are_not_taken_for_few_requests():
    # All routers have restarted and lost their counts; nothing is known of the new version.
    late = evolve(GOOD, age_ms=PLAN.full_ms, sent=10, sent_new=0, answered_new=0)
    assert PLAN.stage(late) is Stage.FULL
    assert PLAN.stage(evolve(late, is_counted=False)) is Stage.CANARY
    assert PLAN.stage(evolve(late, is_counted=False, answered_new=10)) is Stage.FULL


def test_a_suspect_version_gets_only_as_much_as_is_needed_to_decide():
    suspect = evolve(GOOD, age_ms=PLAN.full_ms, strength=9.0)
    assert PLAN.fraction(suspect) == pytest.approx(0.02)
    assert PLAN.fraction(evolve(suspect, is_bad=True)) == 0.0


def test_the_ramp_does_not_overload_a_smaller_number_of_new_servers():
    ramp = evolve(GOOD, age_ms=PLAN.full_ms - 100.0)
    assert PLAN.fraction(ramp) == 0.5
    assert PLAN.fraction(evolve(ramp, new_slots=6)) < 0.2


def test_a_rollout_is_completed_once_the_former_servers_are_idle_or_the_deadline_is_near():
    full = evolve(GOOD, age_ms=PLAN.full_ms + 4_000.0)
    assert PLAN.outcome(full) is RolloutState.RUNNING
    assert PLAN.outcome(evolve(full, former_running=0)) is RolloutState.COMPLETED
    assert PLAN.outcome(evolve(full, age_ms=PLAN.complete_ms)) is RolloutState.COMPLETED


@pytest.mark.parametrize("change", [{"strength": 9.0}, {"new_slots": 0}])
def test_a_doubtful_version_is_rolled_back_when_the_deadline_is_near(change):
    doubtful = evolve(GOOD, **change)
    assert PLAN.outcome(doubtful) is RolloutState.RUNNING
    due = evolve(doubtful, age_ms=PLAN.complete_ms)
    assert PLAN.outcome(due) is RolloutState.ROLLED_BACK


@pytest.mark.parametrize("duration_s", [2.0, 10.0, 30.0, 600.0])
def test_the_phases_follow_each_other_and_leave_time_for_the_store(duration_s):
    plan = RolloutPlan(duration_s * 1000, SETTINGS, longest_ms=12_000.0)
    assert 0 < plan.start_ms < plan.ramp_ms < plan.full_ms < plan.complete_ms
    assert duration_s * 1000 - plan.complete_ms >= min(3_000.0, 150.0 * duration_s) - 1.0


def test_weak_evidence_slows_the_canary_but_does_not_end_a_rollout():
    # Three slow answers in a row occur by chance once in some hundred answers.
    weak = evolve(GOOD, strength=6.0)
    assert PLAN.fraction(weak) < PLAN.fraction(GOOD)
    assert PLAN.outcome(evolve(weak, age_ms=PLAN.complete_ms)) is RolloutState.COMPLETED


def test_a_few_answers_that_are_mostly_bad_are_enough_at_the_end():
    # A service with a request every two seconds gives too few answers for strong evidence.
    few = evolve(GOOD, age_ms=PLAN.complete_ms, answered_new=14, sent_new=14, bad_new=5)
    assert PLAN.outcome(few) is RolloutState.ROLLED_BACK
    assert PLAN.outcome(evolve(few, bad_new=2)) is RolloutState.COMPLETED
    assert PLAN.outcome(evolve(few, former_bad_rate=0.2)) is RolloutState.COMPLETED


def test_a_version_that_has_not_answered_yet_gets_a_few_requests():
    silent = evolve(GOOD, age_ms=6_000.0, answered_new=0, sent_new=20)
    assert PLAN.fraction(silent) == 0.0
    assert PLAN.fraction(evolve(silent, sent_new=5)) > 0.0
    # The requests that a crash loses are never answered.
    assert PLAN.fraction(evolve(silent, age_ms=30_000.0)) > 0.0


def test_a_suspect_version_does_not_get_all_requests_when_the_last_stage_begins():
    suspect = evolve(GOOD, age_ms=PLAN.full_ms + 1.0, strength=6.6)
    assert PLAN.fraction(suspect) == pytest.approx(0.02)
    assert PLAN.fraction(evolve(suspect, age_ms=PLAN.complete_ms - 1.0)) == 1.0

"""Learned durations of answers."""

from cicadaledge.edge._answer_times import AnswerTimes


def test_nothing_is_assumed_of_a_route_without_answers():
    times = AnswerTimes()
    assert times.typical_ms("r") == 0.0
    assert times.long_ms("r") == 0.0


def test_a_single_slow_answer_does_not_make_a_route_slow():
    times = AnswerTimes()
    times.record("r", 3_000.0)
    assert times.long_ms("r") == 0.0
    for _ in range(20):
        times.record("r", 40.0)
    assert times.typical_ms("r") == 40.0
    assert times.long_ms("r") == 40.0


def test_the_latest_answers_count():
    times = AnswerTimes()
    for took_ms in [40.0] * 100 + [900.0] * 32:
        times.record("r", took_ms)
    assert times.typical_ms("r") == 900.0
    assert times.long_ms("r") == 900.0


def test_routes_that_were_removed_are_forgotten():
    times = AnswerTimes()
    for number in range(600):
        times.record(f"r{number}", 10.0)
    assert times.typical_ms("r0") == 0.0
    assert times.typical_ms("r599") == 10.0

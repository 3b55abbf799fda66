"""Evidence that a version is bad."""

from cicadaledge.rollouts import OutcomeCounts, RolloutCounts, VersionEvidence

SUSPECT = 5.0
FORMER = OutcomeCounts(sent=1_000, answered=1_000, failed=5, judged=1_000, slow=40)


def counts(new, former=FORMER, route="look"):
    return RolloutCounts({(route, True): new, (route, False): former})


def evidence_of(*steps_of_counts, step_ms=500.0):
    evidence = VersionEvidence()
    for number, step in enumerate(steps_of_counts):
        evidence.update(step, number * step_ms)
    return evidence


def failures(answered, failed):
    return counts(OutcomeCounts(answered, answered, failed))


def slow(judged, slow_answers):
    return counts(OutcomeCounts(judged, judged, 0, judged, slow_answers))


def test_a_few_failures_in_a_row_are_enough():
    assert evidence_of(*(failures(number, number) for number in range(8))).is_bad
    assert not evidence_of(*(failures(number, number) for number in range(4))).is_bad


def test_failures_at_the_former_rate_are_no_evidence():
    assert evidence_of(*(failures(100 * n, n) for n in range(60))).strength < SUSPECT


def test_a_version_that_turns_bad_late_is_noticed_as_soon():
    # Good answers from before must not outweigh the failures.
    good = [failures(1_000 * number, 0) for number in range(1, 6)]
    assert evidence_of(*good, *(failures(5_000 + n, n) for n in range(1, 9))).is_bad


def test_a_short_incident_makes_a_version_suspect_but_not_bad():
    # A shared machine is slow for 600 ms at a time.
    incident = [slow(20, 0), slow(40, 10), slow(60, 20)]
    evidence = evidence_of(*incident, step_ms=300.0)
    assert evidence.strength >= SUSPECT
    assert not evidence.is_bad
    for number in range(1, 30):
        evidence.update(slow(60 + 20 * number, 20), 900.0 + number * 300.0)
    assert evidence.strength < SUSPECT


def test_slow_answers_that_last_are_evidence():
    assert evidence_of(*(slow(10 * number, 5 * number) for number in range(6))).is_bad


def test_a_version_that_is_bad_on_one_route_is_noticed():
    def step(number):
        look = counts(OutcomeCounts(1_000 * number, 1_000 * number, 5 * number))
        rare = counts(OutcomeCounts(number, number, number), route="rare")
        return RolloutCounts({**look.cells, **rare.cells})

    evidence = evidence_of(*map(step, range(10)))
    assert "route rare" in evidence.reason


def test_a_failing_former_server_does_not_hide_a_bad_version():
    former = OutcomeCounts(600, 600, 200)
    steps = [counts(OutcomeCounts(4 * n, 4 * n, 3 * n), former) for n in range(12)]
    assert evidence_of(*steps).is_bad


def test_many_bad_answers_are_enough_without_a_clear_sequence():
    # The requirement's limit is 50 bad answers; 6% of failures never make a clear sequence.
    steps = [failures(20 * number, 6 * number // 5) for number in range(40)]
    assert evidence_of(*steps).is_bad


def test_counts_that_shrink_are_not_counted_again():
    # A relay that takes over has not heard of all routers yet.
    steps = [slow(50, 1), slow(100, 3), slow(30, 1), slow(100, 3)] * 10
    assert evidence_of(*steps).strength < SUSPECT

"""Evidence on prompt parts of requests that waited for their answer in crashes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.suspects import PartEvidence, PartTracker

WINDOW_MS = 10_000


@pytest.fixture
def tracker():
    return PartTracker(WINDOW_MS)


def record(tracker, **parts_by_crash):
    """Record crashes one second apart, each with another request."""
    for index, (crash, parts) in enumerate(parts_by_crash.items()):
        tracker.record_crash(crash, {part: [f"r{index}"] for part in parts.split()}, index * 1_000)


def test_a_part_that_was_answered_since_is_not_blamed(tracker):
    record(tracker, a="frequent fatal", b="frequent fatal", c="frequent fatal")
    assert tracker.blamed() == {frozenset(["frequent", "fatal"])}
    tracker.clear("frequent", tracker.crashes_of("frequent"))
    assert tracker.blamed() == {frozenset(["fatal"])}


def test_crashes_expire_after_the_window(tracker):
    record(tracker, a="fatal", b="fatal", c="fatal")
    tracker.expire(WINDOW_MS)
    assert not tracker.blamed()
    assert tracker.crashes_of("fatal") == {"b", "c"}
    assert set(tracker.evidence().ran) == {"b", "c"}


def test_expired_evidence_is_not_merged(tracker):
    assert not tracker.merge(PartEvidence({"a": 0.0}, {"a": {"x": ["r"]}}), WINDOW_MS)
    assert tracker.evidence() == PartEvidence()


def test_a_retracted_crash_clears_its_parts(tracker):
    record(tracker, a="fatal", b="fatal", c="fatal")
    assert tracker.retract("b") == {"fatal"}
    assert not tracker.blamed()


def test_crashes_of_a_blamed_request_are_evidence_against_its_own_parts_only(tracker):
    """Soak seed 22000: a harmless part waited in three crashes that a whole request had caused."""
    for index, crash in enumerate("abc"):
        requests = {"beside": [f"r{index}"], "own": ["fatal", f"s{index}"]}
        tracker.record_crash(crash, requests, index * 1_000)
    assert tracker.blamed() == {frozenset(["beside"])}
    tracker.explain({crash: {"fatal"} for crash in "abc"})
    assert tracker.blamed() == set()
    tracker.record_crash("d", {"own": ["another"]}, 4_000)
    assert tracker.blamed() == {frozenset(["own"])}


def test_the_evidence_stays_bounded_whatever_prompts_an_account_sends(tracker):
    for number in range(1_000):
        parts = {f"{number}-{index}": [f"r{one}" for one in range(50)] for index in range(400)}
        tracker.record_crash(f"s{number}", parts, number)
    ran = tracker.evidence().ran
    assert len(ran) == 256
    assert max(map(len, ran.values())) == 256
    assert max(len(found) for parts in ran.values() for found in parts.values()) == 8


OBSERVATIONS = st.lists(
    st.tuples(
        st.sampled_from("abcde"),
        st.sampled_from(["x", "y", "z"]),
        st.sampled_from(["r1", "r2"]),
        st.booleans(),
    )
)


@given(OBSERVATIONS, OBSERVATIONS)
def test_trackers_agree_after_merging_in_any_order(first, second):
    trackers = [PartTracker(WINDOW_MS), PartTracker(WINDOW_MS)]
    for tracker, observations in zip(trackers, (first, second), strict=True):
        for crash, part, request, is_answered in observations:
            tracker.record_crash(crash, {part: [request]}, 0)
            if is_answered:
                tracker.clear(part, [crash])
    own = [tracker.evidence() for tracker in trackers]
    trackers[0].merge(own[1], 1)
    trackers[1].merge(own[0], 1)
    assert trackers[0].evidence() == trackers[1].evidence()
    assert trackers[0].blamed() == trackers[1].blamed()
    assert not trackers[0].merge(own[1], 2)

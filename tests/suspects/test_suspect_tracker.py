"""Evidence on requests that were running in crashes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.suspects import Evidence, SuspectTracker

WINDOW_MS = 10_000


@pytest.fixture
def tracker():
    return SuspectTracker(WINDOW_MS)


def test_a_request_that_was_answered_since_is_no_suspect(tracker):
    tracker.record_crash("a/1", ["hot", "fatal"], 0)
    tracker.clear("hot", tracker.crashes_of("hot"))
    tracker.record_crash("b/1", ["hot", "fatal"], 100)
    assert tracker.is_blamed("fatal")
    assert not tracker.is_blamed("hot")
    assert tracker.is_suspect("hot")


def test_what_is_cleared_is_suspect_again_only_by_another_crash(tracker):
    tracker.record_crash("a/1", ["hot"], 0)
    tracker.clear("hot", ["a/1"])
    assert not tracker.record_crash("a/1", ["hot"], 10)
    assert not tracker.is_suspect("hot")
    tracker.record_crash("b/1", ["hot"], 20)
    assert tracker.crashes_of("hot") == {"b/1"}


def test_crashes_expire_after_the_window(tracker):
    tracker.record_crash("a/1", ["fatal"], 0)
    tracker.record_crash("b/1", ["fatal"], 4_000)
    assert tracker.expires_in_ms("fatal", 5_000) == WINDOW_MS - 5_000
    tracker.expire(WINDOW_MS)
    assert not tracker.is_blamed("fatal")
    assert tracker.is_suspect("fatal")


def test_expired_evidence_is_not_merged(tracker):
    assert not tracker.merge(Evidence({"a/1": 0.0}, {"a/1": ["fatal"]}), WINDOW_MS)
    assert tracker.size() == 0


def test_the_evidence_stays_bounded_whatever_requests_an_account_sends(tracker):
    for number in range(1_000):
        tracker.record_crash(f"s/{number}", [f"{number}-{index}" for index in range(200)], number)
    assert tracker.size() <= 256 * 64
    assert len(tracker.evidence().crashed_ms) == 256


def test_digest_prefixes_are_those_of_the_suspects(tracker):
    tracker.record_crash("a/1", ["0123456789", "abcdefghij"], 0)
    tracker.clear("abcdefghij", ["a/1"])
    assert tracker.digest_prefixes() == {"01234567"}


OBSERVATIONS = st.lists(
    st.tuples(st.sampled_from("abcde"), st.sampled_from(["x", "y", "z"]), st.booleans())
)


@given(OBSERVATIONS, OBSERVATIONS)
def test_trackers_agree_after_merging_in_any_order(first, second):
    trackers = [SuspectTracker(WINDOW_MS), SuspectTracker(WINDOW_MS)]
    for tracker, observations in zip(trackers, (first, second), strict=True):
        for crash, digest, is_answered in observations:
            tracker.record_crash(crash, [digest], 0)
            if is_answered:
                tracker.clear(digest, [crash])
    own = [tracker.evidence() for tracker in trackers]
    trackers[0].merge(own[1], 1)
    trackers[1].merge(own[0], 1)
    assert trackers[0].evidence() == trackers[1].evidence()
    assert trackers[0].blamed() == trackers[1].blamed()
    assert not trackers[0].merge(own[1], 2)

"""Evidence on requests that were running in crashes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.suspects import Evidence, SuspectTracker

WINDOW_MS = 10_000


@pytest.fixture
def book():
    return SuspectTracker(WINDOW_MS)


def test_a_request_that_was_answered_since_is_no_suspect(book):
    book.record_crash("a/1", ["hot", "fatal"], 0)
    book.clear("hot", book.crashes_of("hot"))
    book.record_crash("b/1", ["hot", "fatal"], 100)
    assert book.is_blamed("fatal")
    assert not book.is_blamed("hot")
    assert book.is_suspect("hot")


def test_what_is_cleared_is_suspect_again_only_by_another_crash(book):
    book.record_crash("a/1", ["hot"], 0)
    book.clear("hot", ["a/1"])
    assert not book.record_crash("a/1", ["hot"], 10)
    assert not book.is_suspect("hot")
    book.record_crash("b/1", ["hot"], 20)
    assert book.crashes_of("hot") == {"b/1"}


def test_crashes_are_forgotten_after_the_window(book):
    book.record_crash("a/1", ["fatal"], 0)
    book.record_crash("b/1", ["fatal"], 4_000)
    assert book.expires_in_ms("fatal", 5_000) == WINDOW_MS - 5_000
    book.expire(WINDOW_MS)
    assert not book.is_blamed("fatal")
    assert book.is_suspect("fatal")


def test_old_evidence_is_not_taken_over(book):
    assert not book.merge(Evidence({"a/1": 0.0}, {"a/1": ["fatal"]}), WINDOW_MS)
    assert book.size() == 0


def test_the_book_stays_bounded_whatever_an_account_invents(book):
    for number in range(1_000):
        book.record_crash(f"s/{number}", [f"{number}-{place}" for place in range(200)], number)
    assert book.size() <= 256 * 64
    assert len(book.evidence().crashed_ms) == 256


def test_the_outlines_are_those_of_the_suspects(book):
    book.record_crash("a/1", ["0123456789", "abcdefghij"], 0)
    book.clear("abcdefghij", ["a/1"])
    assert book.digest_prefixes() == {"01234567"}


NOTES = st.lists(
    st.tuples(st.sampled_from("abcde"), st.sampled_from(["x", "y", "z"]), st.booleans())
)


@given(NOTES, NOTES)
def test_books_agree_whatever_the_order_of_their_exchange(first, second):
    books = [SuspectTracker(WINDOW_MS), SuspectTracker(WINDOW_MS)]
    for book, notes in zip(books, (first, second), strict=True):
        for crash, digest, whole in notes:
            book.record_crash(crash, [digest], 0)
            if whole:
                book.clear(digest, [crash])
    own = [book.evidence() for book in books]
    books[0].merge(own[1], 1)
    books[1].merge(own[0], 1)
    assert books[0].evidence() == books[1].evidence()
    assert books[0].blamed() == books[1].blamed()
    assert not books[0].merge(own[1], 2)

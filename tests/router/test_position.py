"""Positions in an answer: a run must begin with the events that the caller already has."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.errors import RefusalError
from cicadaledge.router._position import Position

texts = st.lists(st.sampled_from(["a ", "b ", "cc "]), max_size=8)


def advance_all(position, words):
    """Return the words that are new to the caller."""
    return [word for word in words if position.advance(word)]


@given(texts, st.integers(0, 8), st.integers(0, 8))
def test_runs_with_the_same_answer_add_up_to_the_complete_answer(words, first_cut, second_cut):
    position = Position()
    received = advance_all(position, words[:first_cut])
    position = position.for_next_run()
    received += advance_all(position, words[:second_cut])
    position = position.for_next_run()
    received += advance_all(position, words)
    position.check_end()
    assert received == words


@given(texts, texts)
def test_a_different_answer_is_never_appended_to_what_the_caller_has(words, others):
    position = Position()
    received = advance_all(position, words)
    position = position.for_next_run()
    try:
        received += advance_all(position, others)
        position.check_end()
    except RefusalError:
        return
    assert received == others or (received == words and others[: len(words)] == words)


def test_a_shorter_answer_is_refused():
    position = Position(2, "digest")
    position.advance("a ")
    with pytest.raises(RefusalError):
        position.check_end()

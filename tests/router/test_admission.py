"""Limits on the caller threads that an account may use."""

import pytest

from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError
from cicadaledge.router._admission import Admission


def fill(admission, account):
    """Reserve threads until one is refused; return how many were reserved."""
    reserved = 0
    while True:
        try:
            admission.enter(account)
        except RefusalError as refusal:
            assert refusal.code is Code.QUEUE_FULL
            return reserved
        reserved += 1


def test_each_account_with_excess_requests_gets_half_of_the_free_threads():
    admission = Admission(32)
    assert [fill(admission, name) for name in ("a", "b", "c", "d")] == [16, 8, 4, 2]


def test_threads_are_released_when_an_answer_ends_or_is_closed():
    admission = Admission(4)
    assert fill(admission, "a") == 2
    assert list(admission.release_at_end("a", [b"x"])) == [b"x"]
    admission.enter("a")
    closed_early = admission.release_at_end("a", iter([b"x", b"y"]))
    next(closed_early)
    closed_early.close()
    admission.enter("a")
    with pytest.raises(RefusalError):
        admission.enter("a")

"""Sharing of caller threads."""

import pytest

from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError
from cicadaledge.router._admission import Admission


def fill(admission, account):
    """Take threads until refused; return how many were taken."""
    taken = 0
    while True:
        try:
            admission.enter(account)
        except RefusalError as refusal:
            assert refusal.code is Code.QUEUE_FULL
            return taken
        taken += 1


def test_each_flooding_account_gets_half_of_what_is_left():
    admission = Admission(32)
    assert [fill(admission, name) for name in ("a", "b", "c", "d")] == [16, 8, 4, 2]


def test_threads_come_back_at_the_end_of_an_answer():
    admission = Admission(4)
    assert fill(admission, "a") == 2
    assert list(admission.release_at_end("a", [b"x"])) == [b"x"]
    admission.enter("a")
    broken = admission.release_at_end("a", iter([b"x", b"y"]))
    next(broken)
    broken.close()
    admission.enter("a")
    with pytest.raises(RefusalError):
        admission.enter("a")

"""Requests sent against the shutdown and pause signals of servers are found, and no others."""

import pytest

from cicadaledge.soak import ServerRecord, ServerSignalChecker
from cicadaledge.standins import Refusal, Run

DRAIN_MS = 3_000.0


def run(request_id, at_ms, *, leaving=False):
    one = Run(request_id, "GET", "/", {}, b"", at_ms=at_ms, finished=True)
    one.announced_leaving = leaving
    return one


def find_violations(runs=(), refusals=(), *, times, excused=lambda *_: False):
    record = ServerRecord("desk-0", list(runs), list(refusals))
    return ServerSignalChecker(DRAIN_MS, times.get, excused, [record]).violations()


@pytest.mark.parametrize(
    ("sent_ms", "router", "is_broken"),
    [(3_200.0, "a", True), (3_000.0, "a", False), (9_000.0, "b", False)],
)
def test_requests_after_an_announced_shutdown_are_violations(sent_ms, router, is_broken):
    runs = [run("first", 50.0, leaving=True), run("later", sent_ms + 1.0)]
    times = {"first": ("a", 0.0, 100.0), "later": (router, sent_ms, None)}
    assert bool(find_violations(runs, times=times)) is is_broken
    assert find_violations(runs, times=times, excused=lambda *_: True) == []


def test_an_answer_that_reached_no_caller_binds_no_router():
    runs = [run("first", 50.0, leaving=True), run("later", 9_000.0)]
    times = {"first": ("a", 0.0, None), "later": ("a", 8_000.0, None)}
    assert find_violations(runs, times=times) == []


@pytest.mark.parametrize(
    ("at_ms", "router", "is_broken"),
    [
        ([700.0, 800.0, 900.0], "a", True),
        ([700.0, 800.0], "a", False),
        ([100.0, 200.0, 499.0], "a", False),
        ([1_001.0, 1_002.0, 1_003.0], "a", False),
        ([700.0, 800.0, 900.0], "b", False),
    ],
)
def test_more_than_two_requests_within_a_pause_are_a_violation(at_ms, router, is_broken):
    runs = [run(f"run-{at}", at) for at in at_ms[1:]]
    refusals = [Refusal("first", 0.0, 1.0), Refusal("again", at_ms[0], 0.0)]
    names = [one.request_id for one in runs] + ["again"]
    times = {"first": ("a", 0.0, 1.0)} | {name: (router, 0.0, None) for name in names}
    assert bool(find_violations(runs, refusals, times=times)) is is_broken

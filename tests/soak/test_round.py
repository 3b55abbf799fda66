"""Short rounds with real processes, and the seeds that once failed."""

import pytest

from cicadaledge.soak import (
    BUSY_LOOP_KINDS,
    FAULT_KINDS,
    INVALID_ENTRY_KINDS,
    SERVER_SIGNAL_KINDS,
    SoakPlan,
    SoakSize,
    draw_faults,
    run_round,
)

FIRST_PORT = 27_700  # by blocks away from that of the command


# Seeds that once failed, in the size and number of faults of that time.
FAILED = {
    1: "the soak itself held a port that a router needed",
    112: "a process that was stopped before it listened ended by the signal; so 202, 215 and 221",
    202: "as 112",
    215: "as 112",
    221: "as 112",
    603: "silent connections to the store were tried one after the other when it was back",
}
FATAL_FAILED = {  # with a request that crashes servers, in the usual size
    22000: "a second crash was counted to the first, before the server's new entry was read",
    22014: "a request was refused before other routers had told who else ran in its crashes",
    23007: "a pause that a restarted server asked for ended when its new entry was read",
    23025: "a router that was told to reload while it started was ended by the signal",
}
ENTRY_FAILED = {  # with entries that cannot be read, in the usual size
    24004: "the round ended before servers could hear that its last callers had left",
}
DRAWN = {603}  # seeds that also drew how many faults there were


def plan(seed, **changes):
    size = SoakSize(routers_per_zone=1, callers=8, first_port=FIRST_PORT)
    usual = {
        "faults": 4,
        "start_within_s": 4.0,
        "server_signals": False,
        "fatal_request": False,
        "invalid_entries": False,
    }
    return SoakPlan(seed, size=size, **{**usual, **changes})


def test_a_seed_draws_the_same_faults_each_time():
    assert draw_faults(5, 20, 8.0) == draw_faults(5, 20, 8.0)
    assert draw_faults(5, 20, 8.0) != draw_faults(6, 20, 8.0)
    drawn = {fault.kind for seed in range(60) for fault in draw_faults(seed, 7, 8.0)}
    assert drawn == set(FAULT_KINDS)


def test_faults_of_busy_loops_leave_those_of_a_seed_as_they_were():
    drawn = set()
    for seed in range(60):
        plain = draw_faults(seed, 7, 8.0)
        busy = draw_faults(seed, 7, 8.0, busy=True)
        assert [fault for fault in busy if fault.kind in FAULT_KINDS] == plain
        drawn |= {fault.kind for fault in busy} - set(FAULT_KINDS)
    assert drawn == set(BUSY_LOOP_KINDS)


def test_words_of_servers_leave_the_faults_of_a_seed_as_they_were():
    drawn = set()
    for seed in range(60):
        plain = draw_faults(seed, 7, 8.0, busy=True)
        more = draw_faults(seed, 7, 8.0, busy=True, server_signals=True)
        assert [fault for fault in more if fault.kind not in SERVER_SIGNAL_KINDS] == plain
        drawn |= {fault.kind for fault in more} & set(SERVER_SIGNAL_KINDS)
    assert drawn == set(SERVER_SIGNAL_KINDS)


def test_odd_entries_leave_the_faults_of_a_seed_as_they_were():
    for seed in range(60):
        plain = draw_faults(seed, 7, 8.0, busy=True, server_signals=True)
        more = draw_faults(seed, 7, 8.0, busy=True, server_signals=True, invalid_entries=True)
        assert [fault for fault in more if fault.kind not in INVALID_ENTRY_KINDS] == plain


@pytest.mark.timeout(90)
def test_routers_read_on_beside_odd_entries_while_one_is_killed(tmp_path):
    result = run_round(plan(0, faults=4, busy=False, invalid_entries=True), tmp_path)
    kinds = [fault.kind for fault in result.faults]
    assert kinds.count("odd-entries") >= 2 and {"kill", "revoke", "move"} <= set(kinds)
    assert result.broken == []
    assert result.statuses["200"] > 50


@pytest.mark.timeout(90)
def test_routers_heed_what_servers_say(tmp_path):
    result = run_round(plan(8, faults=0, busy=False, server_signals=True), tmp_path)
    assert {fault.kind for fault in result.faults} == set(SERVER_SIGNAL_KINDS)
    assert result.broken == []
    assert result.statuses["200"] > 50


@pytest.mark.timeout(90)
def test_a_request_that_crashes_servers_is_kept_from_them_in_storms(tmp_path):
    result = run_round(plan(5, fatal_request=True), tmp_path)
    assert result.broken == []
    assert result.statuses["200"] > 50


@pytest.mark.timeout(90)
def test_a_short_round_keeps_all_promises(tmp_path):
    result = run_round(plan(1), tmp_path)
    assert result.broken == []
    assert result.statuses["200"] > 50


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", [7214, 7245])  # both lost requests once
def test_busy_routers_lose_no_request(seed, tmp_path):
    result = run_round(plan(seed, faults=0), tmp_path)
    assert {fault.kind for fault in result.faults} == set(BUSY_LOOP_KINDS)
    assert result.broken == []
    assert result.statuses["200"] > 50


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", FAILED)
def test_seeds_that_once_failed_hold(seed, tmp_path):
    size = SoakSize(first_port=FIRST_PORT)
    faults = None if seed in DRAWN else 7
    result = run_round(
        SoakPlan(
            seed,
            faults=faults,
            size=size,
            busy=False,
            server_signals=False,
            fatal_request=False,
            invalid_entries=False,
        ),
        tmp_path,
    )
    assert result.broken == []


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", FATAL_FAILED)
def test_seeds_that_once_failed_beside_a_fatal_request_hold(seed, tmp_path):
    size = SoakSize(first_port=FIRST_PORT)
    result = run_round(SoakPlan(seed, size=size, invalid_entries=False), tmp_path)
    assert result.broken == []


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", ENTRY_FAILED)
def test_seeds_that_once_failed_beside_odd_entries_hold(seed, tmp_path):
    result = run_round(SoakPlan(seed, size=SoakSize(first_port=FIRST_PORT)), tmp_path)
    assert result.broken == []

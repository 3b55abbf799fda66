"""How a router finds prompt parts that crash servers, by its own and other routers' evidence."""

import itertools
import json

import pytest
from edge_world import configuration

from cicadaledge.edge import clock_ms
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._interrupted_run import InterruptedRun
from cicadaledge.edge._prompt_part_guard import PromptPartGuard
from cicadaledge.errors import RefusalError
from cicadaledge.platform import decode_table
from cicadaledge.routing import Call, PromptPart

TABLE = decode_table(json.dumps(configuration()).encode())
WINDOW_MS = 600_000.0
EVIDENCE_DELAY_MS = 800.0
FIRST_TRIAL_MS = 60_000.0
EARLY_TRIAL_MS = 5_000.0
_numbers = itertools.count(1)


def make_request(*shared, attempts=0):
    parts = tuple(PromptPart(part, 100) for part in (*shared, f"own-{next(_numbers)}"))
    call = Call("r1", "POST", "site.example", "/chat/", [], b"{}", clock_ms(), parts=parts)
    route, service = TABLE.match(call.host, "/chat/"), TABLE.services["pool"]
    request = ActiveRequest(call, route, service, TABLE, None, None, clock_ms() + 1_000)
    request.attempts = attempts
    return request


@pytest.fixture
def clock(monkeypatch):
    """Return a list whose only item, in milliseconds, is added to both clocks."""
    ahead_ms = [0.0]
    where = "cicadaledge.edge._prompt_part_guard."
    monkeypatch.setattr(where + "clock_ms", lambda: clock_ms() + ahead_ms[0])
    monkeypatch.setattr(where + "wall_ms", lambda: 1e12 + ahead_ms[0])
    return ahead_ms


@pytest.fixture
def make_guard(clock):
    return lambda: PromptPartGuard(WINDOW_MS, lambda name, count: True, lambda: None)


@pytest.fixture
def guard(make_guard):
    return make_guard()


def crash(guard, name, *prompts, answered_for_ms=None):
    runs = [InterruptedRun(make_request(*shared), 1, answered_for_ms) for shared in prompts]
    guard.record_crash(name, [(run, run.request.call.parts[-1].digest) for run in runs])


def crash_three(guard, clock, *prompts):
    for name in ("a/1", "b/1", "c/1"):
        crash(guard, name, *prompts)
        clock[0] += 1_000


def test_a_part_in_three_crashes_is_blamed_and_named(guard, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += EVIDENCE_DELAY_MS
    request = make_request("other", "fatal")
    assert guard.blamed_group(request) == {"fatal"}
    assert guard.blamed_group(make_request("other")) is None
    with pytest.raises(RefusalError) as refusal:
        guard.check(request)
    assert int(refusal.value.code) == 3009
    assert 0.9 * FIRST_TRIAL_MS < refusal.value.retry_after_ms <= FIRST_TRIAL_MS


def test_requests_with_some_of_the_parts_that_were_always_together_are_served(guard, clock):
    """An answer to one of them, or a crash, shows which part crashes servers."""
    crash_three(guard, clock, ["fatal", "beside"])
    assert guard.blamed_group(make_request("beside", "fatal")) == {"fatal", "beside"}
    assert guard.blamed_group(make_request("beside")) is None
    guard.record_begun_answer(make_request("beside"))
    assert guard.blamed_group(make_request("fatal")) == {"fatal"}


def test_the_last_part_of_a_prompt_is_not_blamed(guard, clock):
    for name in ("a/1", "b/1", "c/1"):
        run = InterruptedRun(make_request())
        guard.record_crash(name, [(run, name)])
        clock[0] += 1_000
    assert guard.blamed_group(run.request) is None


def test_parts_of_prompts_whose_answer_had_begun_are_not_suspected(guard, clock):
    for name in ("a/1", "b/1", "c/1"):
        crash(guard, name, ["frequent"], answered_for_ms=500.0)
        crash(guard, name, ["fatal"], answered_for_ms=20.0)
        clock[0] += 1_000
    assert guard.blamed_group(make_request("frequent")) is None
    assert guard.blamed_group(make_request("fatal")) == {"fatal"}


def test_a_part_answered_shortly_before_each_crash_is_not_suspected(guard, clock):
    for name in ("a/1", "b/1", "c/1"):
        guard.record_begun_answer(make_request("frequent"))
        clock[0] += 1_000
        crash(guard, name, ["frequent", "fatal"])
    assert set(guard.evidence().ran["c/1"]) == {"fatal"}


def test_an_answer_clears_a_part_that_is_already_blamed(guard, clock):
    crash_three(guard, clock, ["rare"])
    assert guard.blamed_group(make_request("rare")) == {"rare"}
    guard.record_begun_answer(make_request("rare"))
    assert guard.blamed_group(make_request("rare")) is None


def test_requests_wait_for_refutations_of_other_routers_before_they_are_refused(guard, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] = 2_000.0
    request = make_request("fatal")
    assert guard.awaits_evidence(request)
    clock[0] += EVIDENCE_DELAY_MS + 1
    assert not guard.awaits_evidence(request)


def test_a_router_that_answered_a_part_tells_the_others(guard, make_guard, clock):
    other = make_guard()
    crash_three(other, clock, ["rare"])
    guard.record_begun_answer(make_request("rare"))
    guard.merge(other.evidence(), is_own=False)
    assert guard.blamed_group(make_request("rare")) is None
    publish(guard, clock)
    other.merge(guard.evidence(), is_own=False)
    assert other.blamed_group(make_request("rare")) is None


def publish(guard, clock):
    """Let the time pass within which a guard publishes what it can refute."""
    guard.publish_refutations()
    clock[0] += 500
    guard.publish_refutations()


def test_a_router_that_refutes_one_of_three_crashes_tells_the_others(guard, make_guard, clock):
    """Otherwise routers that cannot refute it do not know which of two parts to blame."""
    other = make_guard()
    crash(other, "a/1", ["fatal", "rare"])
    guard.merge(other.evidence(), is_own=False)
    guard.record_begun_answer(make_request("rare"))
    for name in ("b/1", "c/1"):
        clock[0] += 5_000
        crash(other, name, ["fatal", "rare"])
    guard.merge(other.evidence(), is_own=False)
    assert other.blamed_group(make_request("fatal")) is None
    publish(guard, clock)
    other.merge(guard.evidence(), is_own=False)
    assert other.blamed_group(make_request("fatal")) == {"fatal"}


def test_a_refutation_that_another_router_has_published_is_not_published_again(
    guard, make_guard, clock
):
    other, third = make_guard(), make_guard()
    crash_three(other, clock, ["frequent"])
    for one in (guard, third):
        one.record_begun_answer(make_request("frequent"))
        one.merge(other.evidence(), is_own=False)
    publish(guard, clock)
    third.merge(guard.evidence(), is_own=False)
    third.publish_refutations()
    assert third.evidence().cleared == {}


def test_a_router_that_starts_blames_what_the_others_published(guard, make_guard, clock):
    crash_three(guard, clock, ["fatal", "frequent"], ["frequent"])
    guard.record_begun_answer(make_request("frequent"))
    publish(guard, clock)
    started = make_guard()
    started.merge(guard.evidence(), is_own=False)
    assert started.blamed_group(make_request("fatal")) == {"fatal"}
    assert started.blamed_group(make_request("frequent")) is None


def test_one_request_finds_out_later_whether_a_part_still_crashes_servers(guard, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    request = make_request("fatal")
    guard.check(request)
    assert guard.blamed_group(request) is None
    with pytest.raises(RefusalError):
        guard.check(make_request("fatal"))
    request.attempts = 1
    with pytest.raises(RefusalError):
        guard.check(request)
    guard.record_begun_answer(request)
    guard.check(make_request("fatal"))


def test_a_part_blamed_for_crashes_at_one_moment_is_tried_sooner(guard, clock):
    """An outage of all servers may explain these crashes as well."""
    for number in range(5):
        crash(guard, f"s{number}/1", ["fatal"])
    with pytest.raises(RefusalError):
        guard.check(make_request("fatal"))
    clock[0] += EARLY_TRIAL_MS
    guard.check(make_request("fatal"))
    crash(guard, "s5/1", ["fatal"])
    clock[0] += EARLY_TRIAL_MS / 2
    with pytest.raises(RefusalError):
        guard.check(make_request("fatal"))


def test_trials_become_rarer_while_the_part_crashes_servers(guard, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    guard.check(make_request("fatal"))
    crash(guard, "d/1", ["fatal"])
    clock[0] += FIRST_TRIAL_MS * 1.9
    with pytest.raises(RefusalError):
        guard.check(make_request("fatal"))
    clock[0] += FIRST_TRIAL_MS * 0.2
    guard.check(make_request("fatal"))


def test_a_second_attempt_is_never_a_trial(guard, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    with pytest.raises(RefusalError):
        guard.check(make_request("fatal", attempts=1))


def test_the_remembered_parts_stay_bounded(guard):
    for number in range(10_000):
        guard.record_begun_answer(make_request(f"part-{number}"))
    assert len(guard._answered_ms) == 4_096

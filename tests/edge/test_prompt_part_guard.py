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


class ClaimLog:
    """The claims to trials that guards have written, and the guards that read them."""

    def __init__(self):
        self.guards = []
        self.claims = []
        self._delivered = 0

    def deliver(self, cut=()):
        """Let all guards but those of *cut* read what was written since the last time."""
        for claim in self.claims[self._delivered :]:
            for guard in self.guards:
                if guard not in cut:
                    guard.record_claim(claim)
        self._delivered = len(self.claims)


@pytest.fixture
def log():
    return ClaimLog()


@pytest.fixture
def make_guard(clock, log):
    def make():
        guard = PromptPartGuard(
            WINDOW_MS, lambda name, count: True, lambda: None, log.claims.append
        )
        log.guards.append(guard)
        return guard

    return make


@pytest.fixture
def guard(make_guard):
    return make_guard()


def crash(guard, name, *prompts, answered_for_ms=None):
    runs = [InterruptedRun(make_request(*shared), 1, answered_for_ms) for shared in prompts]
    guard.record_crash(name, [(run, run.request.call.parts[-1].digest) for run in runs])


def is_let_through(guard, log, request):
    """Return whether a request is sent, after its router may have claimed a trial."""
    if guard.awaits_evidence(request):
        log.deliver()
    try:
        guard.check(request)
    except RefusalError:
        return False
    return True


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


def test_parts_are_suspect_from_their_first_crash_until_an_answer_begins(guard, clock):
    assert guard.suspect_parts(make_request("frequent", "fatal")) == ()
    crash(guard, "a/1", ["frequent", "fatal"])
    assert guard.suspect_parts(make_request("frequent", "fatal")) == ("fatal", "frequent")
    assert guard.suspect_parts(make_request("frequent", "other")) == ("frequent",)
    guard.record_begun_answer(make_request("frequent"))
    assert guard.suspect_parts(make_request("frequent", "fatal")) == ("fatal",)


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


def test_one_request_finds_out_later_whether_a_part_still_crashes_servers(guard, log, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    request = make_request("fatal")
    assert is_let_through(guard, log, request)
    assert guard.blamed_group(request) is None
    assert not is_let_through(guard, log, make_request("fatal"))
    request.attempts = 1
    with pytest.raises(RefusalError):
        guard.check(request)
    guard.record_begun_answer(request)
    guard.check(make_request("fatal"))


def test_a_part_blamed_for_crashes_at_one_moment_is_tried_sooner(guard, log, clock):
    """An outage of all servers may explain these crashes as well."""
    for number in range(5):
        crash(guard, f"s{number}/1", ["fatal"])
    clock[0] += EVIDENCE_DELAY_MS
    assert not is_let_through(guard, log, make_request("fatal"))
    clock[0] += EARLY_TRIAL_MS
    assert is_let_through(guard, log, make_request("fatal"))
    crash(guard, "s5/1", ["fatal"])
    clock[0] += EARLY_TRIAL_MS / 2
    assert not is_let_through(guard, log, make_request("fatal"))


def test_trials_become_rarer_while_the_part_crashes_servers(guard, log, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    assert is_let_through(guard, log, make_request("fatal"))
    crash(guard, "d/1", ["fatal"])
    clock[0] += FIRST_TRIAL_MS * 1.9
    assert not is_let_through(guard, log, make_request("fatal"))
    clock[0] += FIRST_TRIAL_MS * 0.2
    assert is_let_through(guard, log, make_request("fatal"))


def test_a_second_attempt_is_never_a_trial(guard, log, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    assert not is_let_through(guard, log, make_request("fatal", attempts=1))
    assert log.claims == []


# Guards against trials that routers begin without knowing of each other's.
@pytest.mark.parametrize("at_one_moment", [True, False])
def test_all_routers_together_try_a_fatal_part_three_times_at_most(
    make_guard, log, clock, at_one_moment
):
    guards = [make_guard() for _ in range(12)]
    trials = 0

    def share_evidence(name):
        crash(guards[0], name, ["fatal"])
        for other in guards[1:]:
            other.merge(guards[0].evidence(), is_own=False)

    for number in range(5):
        share_evidence(f"s{number}/1")
        clock[0] += 0 if at_one_moment else 1_000
    clock[0] += EVIDENCE_DELAY_MS
    for step in range(300):
        waiting = [(guard, make_request("fatal")) for guard in guards]
        for guard, request in waiting:
            guard.awaits_evidence(request)
        log.deliver()
        let_through = [one for one in waiting if is_let_through(one[0], log, one[1])]
        trials += len(let_through)
        if let_through:
            share_evidence(f"trial-{step}/1")
        clock[0] += 1_500
    assert 1 <= trials <= 3
    with pytest.raises(RefusalError) as refusal:
        guards[0].check(make_request("fatal"))
    assert refusal.value.retry_after_ms > FIRST_TRIAL_MS


def test_a_router_that_cannot_read_its_claim_begins_no_trial(make_guard, log, clock):
    guard, cut = make_guard(), make_guard()
    crash_three(guard, clock, ["fatal"])
    cut.merge(guard.evidence(), is_own=False)
    clock[0] += FIRST_TRIAL_MS
    request, other = make_request("fatal"), make_request("fatal")
    assert cut.awaits_evidence(request)
    assert guard.awaits_evidence(other)
    log.deliver(cut=[cut])
    for one, refused in ((cut, request), (guard, other)):
        with pytest.raises(RefusalError):
            one.check(refused)


def test_a_router_that_restarts_adds_no_trial(make_guard, log, clock):
    guard = make_guard()
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    assert guard.awaits_evidence(make_request("fatal"))
    log.deliver()
    restarted = make_guard()
    restarted.merge(guard.evidence(), is_own=True)
    for claim in log.claims:
        restarted.record_claim(claim)
    clock[0] += EVIDENCE_DELAY_MS
    assert not is_let_through(restarted, log, make_request("fatal"))
    assert len(log.claims) == 1


def test_a_claim_found_by_a_complete_read_is_not_won(guard, log, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    request = make_request("fatal")
    assert guard.awaits_evidence(request)
    log.deliver()
    guard.drop_trials()
    with pytest.raises(RefusalError):
        guard.check(request)


def test_a_trial_that_no_server_received_is_left_to_another_request(guard, log, clock):
    crash_three(guard, clock, ["fatal"])
    clock[0] += FIRST_TRIAL_MS
    request = make_request("fatal")
    assert is_let_through(guard, log, request)
    guard.release_trial(request)
    assert is_let_through(guard, log, make_request("fatal"))
    assert not is_let_through(guard, log, request)


# Guards against parts that stay refused although they crash no servers.
def test_a_harmless_part_is_used_by_all_routers_after_one_trial(make_guard, log, clock):
    guards = [make_guard() for _ in range(6)]
    crash_three(guards[0], clock, ["harmless"])
    for other in guards[1:]:
        other.merge(guards[0].evidence(), is_own=False)
    clock[0] += FIRST_TRIAL_MS
    request = make_request("harmless")
    assert is_let_through(guards[0], log, request)
    guards[0].record_begun_answer(request)
    publish(guards[0], clock)
    for other in guards[1:]:
        other.merge(guards[0].evidence(), is_own=False)
    assert all(guard.blamed_group(make_request("harmless")) is None for guard in guards)


def test_the_remembered_parts_stay_bounded(guard):
    for number in range(10_000):
        guard.record_begun_answer(make_request(f"part-{number}"))
    assert len(guard._answered_ms) == 4_096

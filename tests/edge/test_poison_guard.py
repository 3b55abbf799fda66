"""How a router combines its own and other routers' evidence of crashes."""

import json

import pytest
from edge_world import configuration, evolve

from cicadaledge.edge import clock_ms
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._fingerprint import digest_prefix, fingerprint
from cicadaledge.edge._interrupted_run import InterruptedRun
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._poison_guard import PoisonRequestGuard
from cicadaledge.errors import RefusalError
from cicadaledge.platform import decode_table
from cicadaledge.platform._encode import encode_evidence
from cicadaledge.routing import Call, PromptPart

TABLE = decode_table(json.dumps(configuration()).encode())
EVIDENCE_DELAY_MS = 400.0
WINDOW_MS = 600_000
RECORD_BYTES = 262_144


def make_work(target="/look/fatal", account=0, **changes):
    call = Call("r1", "POST", "site.example", target, [], b"{}", clock_ms(), **changes)
    route = TABLE.match(call.host, "/look/1")
    service = TABLE.services["desk"]
    account_entry = TABLE.accounts[account] if account is not None else None
    return ActiveRequest(call, route, service, TABLE, account_entry, None, clock_ms() + 1_000)


@pytest.fixture
def clock(monkeypatch):
    """Return a list whose only item, in milliseconds, is added to the clock."""
    ahead_ms = [0.0]
    for module in ("_poison_guard", "_prompt_part_guard"):
        where = f"cicadaledge.edge.{module}."
        monkeypatch.setattr(where + "clock_ms", lambda: clock_ms() + ahead_ms[0])
        monkeypatch.setattr(where + "wall_ms", lambda: 1e12 + ahead_ms[0])
    return ahead_ms


@pytest.fixture
def guard(clock):
    return PoisonRequestGuard(EdgeMetrics(), lambda name, count: True)


def crash(guard, name, *works):
    guard.record_crash(name, "refused", [InterruptedRun(work) for work in works])


def test_the_fingerprint_ignores_the_request_id_deadline_and_resume_position():
    first = make_work()
    again = make_work(deadline_ms=5.0, resume_after="7")
    again.call = evolve(again.call, request_id="r2", headers=[(b"User-Agent", b"x")])
    assert fingerprint(first) == fingerprint(again)
    assert fingerprint(first).startswith(digest_prefix(first))


@pytest.mark.parametrize(
    "other",
    [
        make_work("/look/other"),
        make_work(account=None),
        make_work(model="m"),
        make_work(prompt_tokens=5),
        make_work(parts=(PromptPart("aa", 5),)),
    ],
    ids=["target", "account", "model", "tokens", "prompt"],
)
def test_requests_that_run_differently_have_different_fingerprints(other):
    assert fingerprint(make_work()) != fingerprint(other)


def test_bodies_are_not_hashed_while_there_is_no_suspect(guard):
    work = make_work()
    guard.check(work)
    guard.record_complete_answer(work)
    assert not guard.is_blamed(work)
    assert work.fingerprint is None


def test_a_blamed_request_waits_for_evidence_of_other_routers(guard, clock):
    hot = make_work("/look/hot")
    for name in ("a/1", "b/1"):
        crash(guard, name, hot)
    assert guard.is_blamed(hot)
    assert guard.awaits_evidence(hot)
    other = PoisonRequestGuard(EdgeMetrics(), lambda name, count: True)
    for name in ("a/1", "b/1"):
        crash(other, name, make_work("/look/fatal"))
    guard.merge(other.evidence(), is_own=False)
    assert not guard.awaits_evidence(hot)
    guard.check(hot)


def test_a_blamed_request_is_refused_after_the_evidence_delay(guard, clock):
    work = make_work()
    for name in ("a/1", "b/1"):
        crash(guard, name, work)
    clock[0] = EVIDENCE_DELAY_MS + 1
    assert not guard.awaits_evidence(work)
    with pytest.raises(RefusalError) as refusal:
        guard.check(work)
    assert int(refusal.value.code) == 3008
    assert WINDOW_MS * 0.9 < refusal.value.retry_after_ms <= WINDOW_MS


def test_a_request_answered_shortly_before_a_crash_is_no_suspect(guard, clock):
    hot = make_work("/look/hot")
    guard.record_complete_answer(hot)
    clock[0] = 1_000
    crash(guard, "a/1", hot, make_work())
    assert len(guard.evidence().requests.ran["a/1"]) == 1
    clock[0] = 4_000
    crash(guard, "b/1", hot)
    assert len(guard.evidence().requests.ran["b/1"]) == 1


def test_a_complete_answer_clears_a_request_that_another_router_suspects(guard):
    hot = make_work("/look/hot")
    other = PoisonRequestGuard(EdgeMetrics(), lambda name, count: True)
    crash(other, "a/1", hot)
    guard.merge(other.evidence(), is_own=False)
    assert not guard.has_unpublished.is_set()
    guard.record_complete_answer(make_work("/look/hot"))
    assert guard.has_unpublished.is_set()
    other.merge(guard.evidence(), is_own=False)
    crash(other, "b/1", hot)
    assert not other.is_blamed(hot)


def test_a_retracted_crash_clears_the_requests_that_ran_there(guard):
    work = make_work()
    for name in ("a/1", "b/1"):
        crash(guard, name, work)
    guard.retract_crash("a/1")
    assert not guard.is_blamed(work)


def test_suspects_are_kept_apart(guard):
    one, two = make_work("/look/1"), make_work("/look/2")
    crash(guard, "a/1", one, two)
    with guard.track_running(one, "b"):
        assert guard.servers_to_avoid(two) == {"b"}
        assert guard.servers_to_avoid(one) == set()
        assert guard.servers_to_avoid(make_work("/look/3")) == set()
    assert guard.servers_to_avoid(two) == set()


def test_published_evidence_fits_into_a_record_of_the_store(guard, clock):
    """Otherwise the store would reject all further evidence of the router."""
    for number in range(100):
        shared = [
            [f"{number:04x}{index:04x}{part:04x}" for part in range(4)] for index in range(64)
        ]
        requests = [
            make_work(
                f"/look/{index}", parts=tuple(PromptPart(name, 10) for name in (*names, "own"))
            )
            for index, names in enumerate(shared)
        ]
        crash(guard, f"i-{number:010x}/1780820841163", *requests)
    evidence = guard.evidence()
    assert f"i-{99:010x}/1780820841163" in evidence.requests.crashed_ms
    assert len(encode_evidence(evidence)) <= RECORD_BYTES


def test_a_harmless_request_in_two_crashes_does_not_explain_those_of_a_prompt_part(guard, clock):
    """ciucur-host, seed 3: a part was blamed only after its seventh crash."""
    again = make_work("/look/again")
    for number, name in enumerate(("a/1", "b/1", "c/1")):
        tainted = make_work(f"/look/{number}", parts=(PromptPart("dead", 5), PromptPart("own", 5)))
        crash(guard, name, tainted, *([again] if number < 2 else []))
        clock[0] += 1_000
    other = make_work("/look/4", parts=(PromptPart("dead", 5), PromptPart("own", 5)))
    assert guard.is_blamed(again)
    assert guard.is_blamed(other)

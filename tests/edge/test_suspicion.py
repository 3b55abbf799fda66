"""What one router makes of its own and of others' evidence on crashes."""

import json

import pytest
from edge_world import configuration, evolve

from cicadaledge.edge import clock_ms
from cicadaledge.edge._fingerprint import fingerprint, outline
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._suspicion import SuspectPolicy
from cicadaledge.edge._work import ActiveRequest
from cicadaledge.errors import RefusalError
from cicadaledge.platform import decode_table
from cicadaledge.routing import Call, PromptPart

TABLE = decode_table(json.dumps(configuration()).encode())
NEWS_MS = 400.0
MINUTES_MS = 600_000


def a_work(target="/look/fatal", account=0, **changes):
    call = Call("r1", "POST", "site.example", target, [], b"{}", clock_ms(), **changes)
    route = TABLE.match(call.host, "/look/1")
    service = TABLE.services["desk"]
    holder = TABLE.accounts[account] if account is not None else None
    return ActiveRequest(call, route, service, TABLE, holder, None, clock_ms() + 1_000)


@pytest.fixture
def clock(monkeypatch):
    """Return a list whose only item is added to the clock."""
    ahead_ms = [0.0]
    monkeypatch.setattr("cicadaledge.edge._suspicion.clock_ms", lambda: clock_ms() + ahead_ms[0])
    return ahead_ms


@pytest.fixture
def suspicion(clock):
    return SuspectPolicy(EdgeMetrics())


def crash(suspicion, name, *works):
    suspicion.record_crash(name, "refused", list(works))


def test_a_request_is_known_again_whatever_its_id_and_its_place_in_a_stream():
    first = a_work()
    again = a_work(deadline_ms=5.0, resume_after="7")
    again.call = evolve(again.call, request_id="r2", headers=[(b"User-Agent", b"x")])
    assert fingerprint(first) == fingerprint(again)
    assert fingerprint(first).startswith(outline(first))


@pytest.mark.parametrize(
    "other",
    [
        a_work("/look/other"),
        a_work(account=None),
        a_work(model="m"),
        a_work(prompt_tokens=5),
        a_work(parts=(PromptPart("aa", 5),)),
    ],
    ids=["target", "account", "model", "tokens", "prompt"],
)
def test_requests_that_differ_in_what_decides_their_run_are_told_apart(other):
    assert fingerprint(a_work()) != fingerprint(other)


def test_bodies_are_not_hashed_while_nobody_is_suspect(suspicion):
    work = a_work()
    suspicion.check(work)
    suspicion.record_complete_answer(work)
    assert not suspicion.is_blamed(work)
    assert work.fingerprint is None


def test_a_blamed_request_waits_for_what_other_routers_saw(suspicion, clock):
    hot = a_work("/look/hot")
    for name in ("a/1", "b/1"):
        crash(suspicion, name, hot)
    assert suspicion.is_blamed(hot)
    assert suspicion.awaits_evidence(hot)
    other = SuspectPolicy(EdgeMetrics())
    for name in ("a/1", "b/1"):
        crash(other, name, a_work("/look/fatal"))
    suspicion.merge(other.evidence(), is_own=False)
    assert not suspicion.awaits_evidence(hot)
    suspicion.check(hot)


def test_a_blamed_request_is_refused_once_others_had_time_to_tell(suspicion, clock):
    work = a_work()
    for name in ("a/1", "b/1"):
        crash(suspicion, name, work)
    clock[0] = NEWS_MS + 1
    assert not suspicion.awaits_evidence(work)
    with pytest.raises(RefusalError) as refusal:
        suspicion.check(work)
    assert int(refusal.value.code) == 3008
    assert MINUTES_MS * 0.9 < refusal.value.retry_after_ms <= MINUTES_MS


def test_what_was_answered_shortly_before_a_crash_is_no_suspect(suspicion, clock):
    hot = a_work("/look/hot")
    suspicion.record_complete_answer(hot)
    clock[0] = 1_000
    crash(suspicion, "a/1", hot, a_work())
    assert len(suspicion.evidence().ran["a/1"]) == 1
    clock[0] = 4_000
    crash(suspicion, "b/1", hot)
    assert len(suspicion.evidence().ran["b/1"]) == 1


def test_a_whole_answer_clears_what_another_router_suspects(suspicion):
    hot = a_work("/look/hot")
    other = SuspectPolicy(EdgeMetrics())
    crash(other, "a/1", hot)
    suspicion.merge(other.evidence(), is_own=False)
    assert not suspicion.has_unpublished.is_set()
    suspicion.record_complete_answer(a_work("/look/hot"))
    assert suspicion.has_unpublished.is_set()
    other.merge(suspicion.evidence(), is_own=False)
    crash(other, "b/1", hot)
    assert not other.is_blamed(hot)


def test_a_server_that_lives_clears_all_who_ran_there(suspicion):
    work = a_work()
    for name in ("a/1", "b/1"):
        crash(suspicion, name, work)
    suspicion.retract_crash("a/1")
    assert not suspicion.is_blamed(work)


def test_suspects_are_kept_apart(suspicion):
    one, two = a_work("/look/1"), a_work("/look/2")
    crash(suspicion, "a/1", one, two)
    with suspicion.track_running(one, "b"):
        assert suspicion.servers_to_avoid(two) == {"b"}
        assert suspicion.servers_to_avoid(one) == set()
        assert suspicion.servers_to_avoid(a_work("/look/3")) == set()
    assert suspicion.servers_to_avoid(two) == set()

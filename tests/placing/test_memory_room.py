"""Room in the memory of engines while many routers place requests with views that are out of date."""

import pytest
from test_placer import SETTLED_MS, Pool, call, entry

from cicadaledge.placing import Chosen, EngineSettings
from cicadaledge.routing import Engine, PromptPart, Service
from cicadaledge.wire import LoadView, ServerUse, ViewScope

MEMORY_TOKENS = 473_994
SERVICE = Service("pool", engine=Engine(32, MEMORY_TOKENS))
INTERVAL_MS = 83.0


def fleet(routers: int, *, at_ms: float) -> list[Pool]:
    """Return routers with current views of each other, in which nobody has sent anything."""
    pools = []
    for number in range(routers):
        pool = Pool(entry("e0"), router=f"r{number}")
        pool.fleet.set_roles("relay", is_relay=False, members=routers, interval_ms=INTERVAL_MS)
        apply_view(pool, routers, [], at_ms)
        pools.append(pool)
    return pools


def apply_view(pool: Pool, routers: int, uses: list[ServerUse], now_ms: float) -> None:
    scope = int(ViewScope.ALL_BUT_RECEIVER)
    pool.fleet.apply_view("relay", LoadView(1, scope, routers - 1, False, uses, []), now_ms)


def held_tokens(calls: list) -> int:
    """Return the tokens that requests occupy in an engine, shared parts counted once."""
    parts: dict[str, PromptPart] = {part.digest: part for one in calls for part in one.parts}
    return sum(part.tokens for part in parts.values()) + sum(one.output_tokens for one in calls)


def place_bursts(pools: list[Pool], *, prefixes: int, now_ms: float) -> list:
    """Let each router place five long prompts at once; return those that were sent."""
    sent = []
    for router, pool in enumerate(pools):
        for number in range(5):
            one = call(router * 10 + number, prefix=f"p{number % prefixes}", own=6_600)
            if isinstance(pool.place(one, service=SERVICE, now_ms=now_ms), Chosen):
                sent.append(one)
    return sent


@pytest.mark.parametrize("prefixes", [1, 4])
@pytest.mark.parametrize("routers", [9, 63, 195, 385])
def test_bursts_of_all_routers_do_not_exceed_the_memory_of_a_restarted_engine(routers, prefixes):
    """Bursts within one view age held several times the memory of an engine that came back empty."""
    sent = place_bursts(fleet(routers, at_ms=1_000.0), prefixes=prefixes, now_ms=1_000.0)
    assert 0 < held_tokens(sent) <= MEMORY_TOKENS


def test_bursts_of_all_routers_do_not_exceed_the_memory_of_an_idle_engine():
    sent = place_bursts(fleet(63, at_ms=SETTLED_MS), prefixes=1, now_ms=SETTLED_MS)
    assert 0 < held_tokens(sent) <= MEMORY_TOKENS


def test_all_routers_get_their_turn_at_a_restarted_engine():
    """Routers that are not selected at first must not be kept from the engine for good."""
    pools = fleet(195, at_ms=1_000.0)
    served = set()
    for interval in range(60):
        now_ms = 1_000.0 + interval * 4 * INTERVAL_MS
        for number, pool in enumerate(pools):
            apply_view(pool, 195, [], now_ms)
            if number in served:
                continue
            choice = pool.place(call(number, own=6_600), service=SERVICE, now_ms=now_ms)
            if isinstance(choice, Chosen):
                served.add(number)
                pool.load.record_end(choice.placement)
    assert len(served) == 195


@pytest.mark.parametrize(("sent_last_s", "expected"), [(5, True), (40, False)])
def test_room_is_kept_for_what_the_others_may_send_within_the_age_of_views(sent_last_s, expected):
    """At 40 requests a second, a burst of three times as many fills the rest within one view age."""
    pool, *_ = fleet(63, at_ms=SETTLED_MS)
    use = ServerUse("e0", 18, 0, 18 * 12_000, sent_last_s)
    apply_view(pool, 63, [use], SETTLED_MS)
    choice = pool.place(call(1, own=6_600), service=SERVICE, now_ms=SETTLED_MS)
    assert isinstance(choice, Chosen) is expected


def test_a_router_alone_keeps_no_room_for_others():
    pool = Pool(entry("e0"))
    sent = place_bursts([pool], prefixes=1, now_ms=SETTLED_MS)
    assert len(sent) > 1


def test_a_request_that_no_engine_can_ever_hold_is_told_from_one_that_has_to_wait():
    assert not EngineSettings().never_fits(call(1, own=200_000), SERVICE)
    assert EngineSettings().never_fits(call(1, own=300_000), SERVICE)

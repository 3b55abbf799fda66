"""Placing on loaded engines: fair shares, shared prefixes, cold servers and regions."""

import random

import pytest

from cicadaledge.placing import (
    AccountShares,
    Chosen,
    FleetLoad,
    Limit,
    LoadTracker,
    Placement,
    Placer,
    PlacingSettings,
    Refused,
    ServerHealth,
    ShareUse,
    max_min_share,
)
from cicadaledge.routing import (
    Call,
    Engine,
    PromptPart,
    Route,
    RouteKind,
    ServerDirectory,
    ServerEntry,
    ServerState,
    Service,
    ServiceWeight,
)
from cicadaledge.wire import LoadView, ViewScope

SLOTS = 64
POOL = Service("pool", cold_per_s=11.0, engine=Engine(SLOTS, 578_286))
PLAIN_SERVICE = Service("desk")
REGIONS = {"zone-a": "north", "zone-b": "south"}
SETTLED_MS = 100_000.0
ENOUGH = ShareUse()


def entry(
    name: str, *, service: str = "pool", zone: str = "zone-a", cold_ms: float = 0.0
) -> ServerEntry:
    return ServerEntry(name, service, "host", 1, zone, ServerState.READY, 6, cold_ms, 1, 1)


def route(latency_target_ms: float = 1000.0) -> Route:
    return Route(
        "r", "h", "/r/", RouteKind.STREAM, 15_000, latency_target_ms, 1, (ServiceWeight("pool", 1),)
    )


def call(number: int, *, prefix: str = "s", shared: int = 5_000, own: int = 6_000) -> Call:
    parts = (PromptPart(prefix, shared), PromptPart(f"own-{number}", own))
    return Call(
        f"request-{number}",
        "POST",
        "h",
        "/r/1",
        [],
        b"",
        0.0,
        prompt_tokens=shared + own,
        output_tokens=64,
        parts=parts,
    )


class Pool:
    """The placer of one router, with some servers."""

    def __init__(
        self, *entries: ServerEntry, settings: PlacingSettings | None = None, router: str = "r0"
    ) -> None:
        self.fleet = FleetLoad(router)
        self.load = LoadTracker(self.fleet)
        self.directory = ServerDirectory()
        self.health = ServerHealth()
        self.shares = AccountShares(4_000, self.fleet)
        for one in entries:
            self.directory.apply(one, 0.0)
        self.placer = Placer(
            settings or PlacingSettings(),
            self.directory,
            self.load,
            self.health,
            lambda zone: REGIONS[zone],
            "north",
        )

    def place(
        self,
        request: Call,
        *,
        service: Service = POOL,
        use: ShareUse = ENOUGH,
        latency_target_ms: float = 1000.0,
        regions: frozenset[str] | None = None,
        now_ms: float = SETTLED_MS,
    ) -> Chosen | Refused:
        request.started_ms = now_ms
        choice = self.placer.choose(
            request, route(latency_target_ms), service, regions, set(), use, now_ms
        )
        if isinstance(choice, Chosen):
            self.placer.record_sent(request, choice, now_ms)
        return choice

    def fill(self, use: ShareUse, *, spread_ms: float = 100.0) -> int:
        """Place requests until one is refused; return how many were placed."""
        for number in range(1_000):
            now_ms = SETTLED_MS + number * spread_ms
            choice = self.place(
                call(number, prefix=f"s{number}", shared=200, own=300), use=use, now_ms=now_ms
            )
            if isinstance(choice, Refused):
                return number
            self.load.record_first_token(choice.placement)
        raise AssertionError("nothing was refused")


@pytest.mark.parametrize("shared", [200, 5_000], ids=["spread", "bound to one engine"])
def test_a_prompt_with_suspect_parts_goes_to_another_engine_than_prompts_with_some_of_them(shared):
    """Sound prompts followed one that crashed its engine, as they shared its last part."""

    def servers(suspect_parts: tuple[str, ...]) -> list[str]:
        found = []
        for part in range(40):
            pool = Pool(*(entry(name) for name in "abcdefgh"))
            request = call(1, prefix=f"last-{part}", shared=shared)
            request.started_ms = SETTLED_MS
            choice = pool.placer.choose(
                request, route(), POOL, None, set(), ENOUGH, SETTLED_MS, suspect_parts
            )
            assert isinstance(choice, Chosen)
            found.append(choice.server.server)
        return found

    usual, suspect = servers(()), servers(("fatal",))
    assert usual == servers(())
    assert len(set(usual)) > 4
    # An eighth of the engines are the same by chance.
    assert sum(one == other for one, other in zip(usual, suspect, strict=True)) < 12
    # The parts of many prompts are suspect after an ordinary crash; one engine could not take all.
    assert len(set(suspect)) > 4


def test_the_max_min_share_leaves_small_accounts_what_they_ask():
    assert max_min_share([10.0, 100.0, 100.0], 110.0) == pytest.approx(50.0)
    assert max_min_share([10.0, 20.0], 100.0) == float("inf")
    assert max_min_share([], 100.0) == float("inf")


@pytest.mark.parametrize("own_tokens", [500, 2_000, 6_000])
def test_the_latency_objective_does_not_decide_how_many_of_a_burst_are_placed(own_tokens):
    """Callers with the same time got three to five times as many places for a longer objective."""
    placed = set()
    for objective_ms in (100.0, 250.0, 500.0):
        pool = Pool(*(entry(name) for name in "abc"))
        burst = [call(n, prefix=f"s{n}", shared=0, own=own_tokens) for n in range(200)]
        choices = [pool.place(one, latency_target_ms=objective_ms) for one in burst]
        placed.add(sum(isinstance(one, Chosen) for one in choices))
    assert len(placed) == 1


def test_a_request_is_not_placed_where_its_caller_would_leave_before_the_first_token():
    """It would take up an engine in vain; the caller of this one has 200 ms left."""
    pool = Pool(entry("a"))
    assert isinstance(pool.place(call(1, shared=200, own=5_000)), Chosen)
    late = call(2, shared=200, own=10_000)
    late.deadline_ms = 200.0
    refused = pool.place(late)
    assert isinstance(refused, Refused)
    assert refused.limit is Limit.TIME
    assert isinstance(pool.place(call(3, shared=200, own=10_000)), Chosen)


def test_requests_that_may_go_anywhere_leave_room_for_those_bound_to_an_engine():
    """Otherwise short prompts fill each engine and long shared ones are refused at theirs."""
    pool = Pool(entry("a"))
    number = 0
    while isinstance(pool.place(call(number, prefix=f"s{number}", shared=100, own=2_000)), Chosen):
        number += 1
    assert number > 1
    assert isinstance(pool.place(call(900)), Chosen)


def test_an_engine_takes_requests_up_to_its_limit():
    assert Pool(entry("a")).fill(ENOUGH) == SLOTS


def test_an_account_far_beyond_its_share_leaves_most_of_an_engine_to_others():
    """One account asks for five times its share; requests of others must still be placed."""
    placed = Pool(entry("a")).fill(ShareUse(5.0, 5.0))
    assert placed <= SLOTS * 0.15
    pool = Pool(entry("a"))
    pool.fill(ShareUse(5.0, 5.0))
    assert isinstance(pool.place(call(5_000, prefix="other", own=500)), Chosen)


def test_an_account_beyond_its_share_gets_idle_capacity_if_no_other_gets_less():
    """Three accounts flood evenly: engines with few requests and no waiting prompts accept more."""
    placed = Pool(entry("a")).fill(ShareUse(3.0, 1.0))
    assert placed >= SLOTS // 2
    assert placed < SLOTS


def test_prompts_of_an_account_far_beyond_its_share_do_not_queue_up():
    """Prefill delays other requests, so such an account gets none that would have to wait."""
    pool = Pool(entry("a"))
    flood = ShareUse(4.0, 1.0)
    placed = [pool.place(call(number, shared=200, own=5_000), use=flood) for number in range(10)]
    assert sum(isinstance(one, Chosen) for one in placed) == 1
    plain = pool.place(call(99, shared=200, own=5_000))
    assert isinstance(plain, Chosen)


class _LargeFleet:
    """Routers of one zone, each of which gets the sum of all others at each interval."""

    def __init__(
        self, routers: int, interval_ms: float, *, cold: bool = True, receives_views: bool = True
    ) -> None:
        self.interval_ms = interval_ms
        self.receives_views = receives_views
        cold_ms = 2 * SETTLED_MS if cold else 0.0
        self.pools = [Pool(entry("a", cold_ms=cold_ms), router=f"r{n}") for n in range(routers)]
        self.relay = FleetLoad()
        self.relay.set_roles("relay", is_relay=True, members=routers)
        for pool in self.pools:
            pool.fleet.set_roles("relay", is_relay=False, members=routers, interval_ms=interval_ms)

    def exchange(self, now_ms: float) -> None:
        views = {}
        for number, pool in enumerate(self.pools):
            own = pool.load.own_uses(now_ms)
            views[f"r{number}"] = LoadView(0, int(ViewScope.SENDER), 1, False, own, [])
        empty_view = LoadView(0, int(ViewScope.SENDER), 0, False, [], [])
        # The relay sends what it received an interval ago.
        for name, others_view in self.relay.views_without_receiver(empty_view, views, now_ms):
            if self.receives_views:
                self.pools[int(name[1:])].fleet.apply_view("relay", others_view, now_ms)
        for name, view in views.items():
            self.relay.apply_view(name, view, now_ms)

    def most_sent_in_a_second(self, asking: int, *, each_ms: int = 10) -> int:
        """Give *asking* routers a request at a time; return the most that a second saw sent."""
        random_source = random.Random(1)
        sent_ms: list[float] = []
        for step in range(400):
            now_ms = SETTLED_MS + step * 10.0
            if step % int(self.interval_ms / 10) == 0:
                self.exchange(now_ms)
            if step * 10 % each_ms:
                continue
            for number in random_source.sample(range(len(self.pools)), asking):
                pool = self.pools[number]
                request = call(step * 1_000 + number, own=20, shared=20)
                choice = pool.place(request, now_ms=now_ms)
                if isinstance(choice, Chosen):
                    sent_ms.append(now_ms)
                    pool.load.record_first_token(choice.placement)
                    pool.load.record_end(choice.placement)
        return max(sum(at <= one < at + 1_000 for one in sent_ms) for at in sent_ms)


@pytest.mark.parametrize("receives_views", [True, False])
def test_a_large_fleet_stays_within_the_rate_that_a_cold_server_can_serve(receives_views):
    """77 routers have requests for it at the same time, with or without views of each other."""
    settings = PlacingSettings()
    bound = POOL.cold_per_s * settings.cold_overage + settings.cold_slack
    assert (
        3
        <= _LargeFleet(77, 100.0, receives_views=receives_views).most_sent_in_a_second(25)
        <= bound
    )


def test_a_large_fleet_limits_the_rate_of_servers_that_may_become_cold_unnoticed():
    """50 requests per second for one server, with views up to three intervals old."""
    settings = PlacingSettings()
    bound = POOL.cold_per_s * settings.cold_overage + settings.cold_slack
    fleet = _LargeFleet(77, 100.0, cold=False)
    assert 10 <= fleet.most_sent_in_a_second(1, each_ms=20) <= bound


def test_the_further_beyond_its_share_the_less_an_account_gets():
    uses = (0.5, 1.2, 1.5, 3.0, 6.0)
    placed = [Pool(entry("a")).fill(ShareUse(use, max(1.0, use))) for use in uses]
    assert placed == sorted(placed, reverse=True)
    assert placed[0] > placed[2] > placed[4]


def test_shares_follow_the_admissible_rate_and_favor_the_least_served_account():
    shares = AccountShares(4_000, FleetLoad())
    for step in range(400):
        now_ms = step * 50.0
        for account, asked, admitted in (("flood", 500, 200), ("held", 300, 50), ("small", 1, 0)):
            shares.record_asked(account, asked * 10, now_ms)
            shares.record_admitted(account, admitted * 10, now_ms)
    now_ms = 20_000.0
    # The small account asks for 200 of the tokens per second, and the others share the rest.
    share_per_s = (62_500 - 200) / 2
    flood = shares.share_use("flood", 62_500.0, now_ms)
    throttled = shares.share_use("held", 62_500.0, now_ms)
    small = shares.share_use("small", 62_500.0, now_ms)
    assert flood.share_multiple == pytest.approx(40_000 / share_per_s, rel=0.05)
    assert flood.least_served_multiple == pytest.approx(flood.share_multiple)
    assert flood.admitted_fraction == pytest.approx(share_per_s / 100_000, rel=0.05)
    assert throttled.share_multiple == pytest.approx(10_000 / share_per_s, rel=0.05)
    assert (throttled.least_served_multiple, throttled.admitted_fraction) == (1.0, 1.0)
    assert (small.share_multiple, small.admitted_fraction) == (0.0, 1.0)


def test_accounts_in_a_flood_converge_to_equal_rates():
    """One account floods, one asks for little more than its share; all requests cost the same."""
    fleet = FleetLoad()
    shares = AccountShares(4_000, fleet)
    pool = Pool(entry("a"), entry("b"))
    got = {"flood": 0, "plain": 0}
    ends: list[tuple[float, object]] = []
    capacity_per_s = 40_000.0
    for step in range(6_000):
        now_ms = SETTLED_MS + step * 5.0
        for end_ms, placement in list(ends):
            if end_ms <= now_ms:
                pool.load.record_end(placement)
                ends.remove((end_ms, placement))
        account = "plain" if step % 10 == 0 else "flood"
        request = call(step, prefix=f"s{step % 40}", shared=200, own=1_000)
        shares.record_asked(account, request.cost_tokens, now_ms)
        use = shares.share_use(account, capacity_per_s, now_ms)
        choice = pool.place(request, use=use, now_ms=now_ms)
        if isinstance(choice, Chosen):
            pool.load.record_first_token(choice.placement)
            shares.record_admitted(account, request.cost_tokens, now_ms)
            got[account] += 1
            ends.append((now_ms + 1_500.0, choice.placement))
    assert got["plain"] * 2 >= got["flood"]


def test_a_long_shared_prefix_stays_at_one_server():
    pool = Pool(*(entry(name) for name in "abcdef"))
    servers = set()
    for number in range(10):
        choice = pool.place(call(number), now_ms=SETTLED_MS + number * 5_000)
        servers.add(choice.server.server)
        pool.load.record_end(choice.placement)
    assert len(servers) == 1


def test_a_full_engine_that_caches_a_prefix_refuses_rather_than_spills():
    """Spilling evicts prefixes cached on other engines, which then have to be processed again."""
    pool = Pool(*(entry(name) for name in "abc"))
    results = [pool.place(call(n)) for n in range(40)]
    servers = {one.server.server for one in results if isinstance(one, Chosen)}
    refused = [one for one in results if isinstance(one, Refused)]
    assert len(servers) == 1
    assert refused
    assert all(one.retry_after_ms >= PlacingSettings().min_retry_ms for one in refused)


def test_short_prompts_go_to_the_engine_with_the_shortest_wait():
    pool = Pool(*(entry(name) for name in "abc"))
    for number in range(30):
        pool.place(call(number, prefix=f"s{number}", shared=100, own=700), latency_target_ms=600.0)
    running = [pool.load.totals(name, SETTLED_MS).unread_tokens for name in "abc"]
    assert max(running) < 2 * min(running)


def test_a_prompt_beyond_the_time_limit_is_placed_on_an_idle_engine():
    pool = Pool(entry("a"))
    assert isinstance(pool.place(call(1, shared=5_000, own=50_000)), Chosen)
    assert isinstance(pool.place(call(2, shared=5_000, own=50_000)), Refused)


def test_a_cold_server_gets_less_than_it_can_serve():
    pool = Pool(entry("a", cold_ms=5_000.0))
    pool.fleet.set_roles("r", is_relay=True, members=1)
    placed = 0
    for number in range(100):
        choice = pool.place(
            call(number, prefix=f"s{number}", shared=10, own=50), now_ms=number * 9.9
        )
        placed += isinstance(choice, Chosen)
    assert 1 <= placed <= POOL.cold_per_s


def test_a_warm_server_gets_no_more_than_it_could_serve_after_a_sudden_cold_start():
    pool = Pool(entry("a"))
    placed = 0
    for number in range(200):
        choice = pool.place(
            call(number, prefix=f"s{number}", shared=10, own=50), now_ms=SETTLED_MS + number
        )
        if isinstance(choice, Chosen):
            pool.load.record_end(choice.placement)
            placed += 1
    assert placed <= POOL.cold_per_s * 1.5 + 5


def test_plain_requests_stay_in_the_region_while_it_has_room():
    pool = Pool(entry("near", service="desk"), entry("far", service="desk", zone="zone-b"))
    servers = [pool.place(call(n), service=PLAIN_SERVICE).server.server for n in range(6)]
    assert set(servers) == {"near"}
    more = [pool.place(call(n), service=PLAIN_SERVICE).server.server for n in range(6, 12)]
    assert set(more) == {"far"}
    assert isinstance(pool.place(call(12), service=PLAIN_SERVICE), Refused)


def test_region_restrictions_hold_even_if_no_server_is_left():
    pool = Pool(entry("near"), entry("far", zone="zone-b"))
    for number in range(5):
        choice = pool.place(
            call(number, prefix=f"s{number}", own=100), regions=frozenset({"south"})
        )
        assert choice.server.server == "far"
    assert isinstance(pool.place(call(9), regions=frozenset({"west"})), Refused)


def test_a_server_that_fails_more_than_its_peers_is_ejected():
    pool = Pool(*(entry(name) for name in "abc"))
    names = list("abc")
    for number in range(10):
        now_ms = SETTLED_MS + number
        pool.health.record_outcome("a", True, names, now_ms)
        pool.health.record_outcome("b", False, names, now_ms)
        pool.health.record_outcome("c", False, names, now_ms)
    for number in range(20):
        choice = pool.place(call(number, prefix=f"s{number}", own=100), now_ms=SETTLED_MS + 20)
        assert choice.server.server != "a"


def test_not_all_servers_are_ejected_where_all_fail():
    health = ServerHealth()
    for number in range(40):
        for name in "abc":
            health.record_outcome(name, True, list("abc"), float(number))
    ejected = [name for name in "abc" if health.is_ejected(name, 40.0)]
    assert len(ejected) < 3


def test_placing_among_many_engines_does_not_evaluate_them_all(monkeypatch):
    """Evaluating 70 engines at each poll of a waiting request takes most of a router's time."""
    pool = Pool(*(entry(f"e{number}") for number in range(70)))
    evaluated = []
    totals = pool.load.totals

    def count(server, now_ms):
        evaluated.append(server)
        return totals(server, now_ms)

    monkeypatch.setattr(pool.load, "totals", count)
    for number in range(20):
        assert isinstance(pool.place(call(number, prefix=f"s{number}", shared=200)), Chosen)
    assert len(evaluated) <= 20 * 2 * PlacingSettings().spread_engines


def test_a_request_finds_the_one_engine_of_many_that_has_room_while_it_waits():
    pool = Pool(*(entry(f"e{number}") for number in range(70)))
    for number in range(69):
        for _ in range(SLOTS):
            pool.load.record_start(Placement(f"e{number}", 0, 0), 0.0)
    choices = [pool.place(call(1, shared=200)) for _ in range(7)]
    assert "e69" in {one.server.server for one in choices if isinstance(one, Chosen)}


def test_a_flood_is_throttled_to_the_share_and_admitted_again_when_it_ends():
    shares = AccountShares(4_000, FleetLoad())
    for step in range(200):
        now_ms = step * 50.0
        for account, asked in (("flood", 3_000), ("plain", 300)):
            shares.record_asked(account, asked, now_ms)
            shares.record_admitted(account, 250, now_ms)
    # 66,000 tokens per second are asked for and 12,000 available: the share is about 6,000.
    assert 0.1 <= shares.share_use("flood", 12_000.0, 10_000.0).admitted_fraction <= 0.15
    assert shares.share_use("plain", 12_000.0, 10_000.0).admitted_fraction == 1.0
    for step in range(50):
        shares.record_asked("flood", 100, 10_000.0 + step * 50.0)
    assert shares.share_use("flood", 12_000.0, 12_500.0).admitted_fraction == 1.0


def test_an_underserved_account_may_use_more_engines_for_a_prefix():
    """A single engine cannot serve a frequently used prefix of a small account."""
    pool = Pool(*(entry(name) for name in "abcdef"))
    underserved = ShareUse(0.2, served_fraction=0.2)
    results = [pool.place(call(n), use=underserved) for n in range(200)]
    servers = {one.server.server for one in results if isinstance(one, Chosen)}
    assert len(servers) == PlacingSettings().spill_engines


def test_an_account_below_its_share_is_not_held_to_one_full_engine():
    pool = Pool(*(entry(name) for name in "abcdef"))
    for step in range(100):
        for account, admitted in (("bound", 1_200), ("spread", 2_800)):
            pool.shares.record_asked(account, 3_000, step * 50.0)
            pool.shares.record_admitted(account, admitted, step * 50.0)
    use = pool.shares.share_use("bound", 100_000.0, 5_000.0)
    results = [pool.place(call(n), use=use) for n in range(200)]
    assert len({one.server.server for one in results if isinstance(one, Chosen)}) > 1


def test_a_server_that_may_be_gone_is_the_last_resort():
    pool = Pool(entry("a"), entry("b"))
    pool.directory.mark_unconfirmed("a")
    servers = {pool.place(call(n, prefix=f"s{n}", own=100)).server.server for n in range(10)}
    assert servers == {"b"}
    pool.directory.mark_unconfirmed("b")
    assert isinstance(pool.place(call(99, own=100)), Chosen)


def test_an_unreachable_server_gets_one_request_at_a_time_at_growing_intervals():
    """Otherwise all requests of a busy router go to unreachable servers after each ejection."""
    pool = Pool(entry("dark"), entry("light"))
    pool.health.record_unreachable("dark", SETTLED_MS)
    sent_ms = []
    failures: list[float] = []
    for step in range(1_000):
        now_ms = SETTLED_MS + step * 10.0
        if failures and failures[0] <= now_ms:
            pool.health.record_unreachable("dark", failures.pop(0))
        choice = pool.place(call(step, prefix=f"s{step}", shared=20, own=20), now_ms=now_ms)
        if isinstance(choice, Chosen):
            pool.load.record_end(choice.placement)
            if choice.server.server == "dark":
                sent_ms.append(now_ms)
                failures.append(now_ms + 500.0)
    assert 1 <= len(sent_ms) <= 4
    pauses = [later - earlier for earlier, later in zip(sent_ms, sent_ms[1:], strict=False)]
    assert pauses == sorted(pauses)
    pool.health.record_reached("dark")
    assert not pool.health.is_ejected("dark", SETTLED_MS + 10_000.0)


def test_a_flood_that_each_router_sees_little_of_is_detected_within_a_second():
    """If detected later, a flood through many routers gets far more than one through one router."""
    shares = AccountShares(4_000, FleetLoad())

    def fraction_after(begin, steps):
        for step in range(begin, begin + steps):
            shares.record_asked("flood", 100 if step < 100 else 5_000, step * 50.0)
            shares.record_admitted("flood", 500, step * 50.0)
        return shares.share_use("flood", 10_000.0, (begin + steps) * 50.0).admitted_fraction

    assert fraction_after(0, 100) == 1.0
    within_a_second = fraction_after(100, 20)
    assert within_a_second <= 1.1 * fraction_after(120, 80)


@pytest.mark.parametrize(
    ("objective_ms", "is_bound", "limit_ms"),
    [(0.0, False, 400.0), (0.0, True, 800.0), (300.0, True, 540.0), (100.0, False, 200.0)],
)
def test_an_engine_is_not_filled_for_longer_than_the_shortest_objective_allows(
    objective_ms, is_bound, limit_ms
):
    """In large fleets, whose views are older, long prompts made all short ones late."""
    settings = PlacingSettings(objective_backlog_fraction=0.9)
    assert settings.max_backlog_ms(400.0, objective_ms, is_bound=is_bound) == limit_ms

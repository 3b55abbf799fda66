"""Load shedding when all callers of one account reach one router of an idle fleet."""

import asyncio
import random

from attrs import define, field
from edge_world import request_headers, small_world

from cicadaledge.edge import LoadShedder, SheddingSettings, clock_ms
from cicadaledge.placing import RouterTotals

SETTINGS = SheddingSettings()
SAMPLE_MS = 100.0
IDLE = RouterTotals(routers=17, late_ms=17)


def add_samples(shedding, late_ms, others, *, from_ms=0.0, samples=10):
    """Add equal samples and return the times at which the state changed."""
    times = (from_ms + SAMPLE_MS * place for place in range(1, samples + 1))
    return [now_ms for now_ms in times if shedding.record_lateness(late_ms, others, now_ms)]


def test_a_late_router_among_idle_ones_sheds_until_it_is_no_longer_late():
    shedding = LoadShedder(SETTINGS)
    began_ms = add_samples(shedding, 60.0, IDLE)
    assert len(began_ms) == 1
    assert shedding.is_active
    assert add_samples(shedding, 60.0, IDLE, from_ms=1_000.0, samples=60) == []
    ended_ms = add_samples(shedding, 2.0, IDLE, from_ms=7_000.0, samples=20)
    assert len(ended_ms) == 1
    assert not shedding.is_active


def test_a_single_long_loop_iteration_does_not_start_shedding():
    shedding = LoadShedder(SETTINGS)
    assert add_samples(shedding, 1.0, IDLE) == []
    assert add_samples(shedding, 400.0, IDLE, from_ms=1_000.0, samples=3) == []


def test_no_router_sheds_when_all_are_late():
    shedding = LoadShedder(SETTINGS)
    assert add_samples(shedding, 80.0, RouterTotals(routers=8, late_ms=8 * 60)) == []


def test_a_router_without_reports_from_others_does_not_shed():
    shedding = LoadShedder(SETTINGS)
    assert add_samples(shedding, 400.0, RouterTotals()) == []


def test_at_most_a_part_of_the_fleet_sheds_at_once():
    for routers, most in ((8, 1), (17, 3), (194, 39)):
        others = RouterTotals(routers, late_ms=0, shedding=most - 1)
        assert add_samples(LoadShedder(SETTINGS), 60.0, others)
        others = RouterTotals(routers, late_ms=0, shedding=most)
        assert not add_samples(LoadShedder(SETTINGS), 60.0, others)


def test_connections_are_closed_only_after_the_balancer_has_noticed():
    shedding = LoadShedder(SETTINGS)
    began_ms = add_samples(shedding, 60.0, IDLE)[0]
    assert not shedding.should_close(0.0, began_ms + SETTINGS.notice_ms - 1.0)
    assert shedding.should_close(0.0, began_ms + SETTINGS.notice_ms)
    assert not shedding.should_close(SETTINGS.close_part, began_ms + SETTINGS.notice_ms)
    add_samples(shedding, 1.0, IDLE, from_ms=1_000.0)
    assert not shedding.should_close(0.0, began_ms + SETTINGS.notice_ms)


@define
class Router:
    """A router whose loop is late in proportion to the callers above its capacity."""

    callers: int = 0
    shedding: LoadShedder = field(factory=lambda: LoadShedder(SETTINGS))
    failed_probes: int = 0

    def late_ms(self, capacity):
        return max(0.0, (self.callers - capacity) * 4.0)


def simulate_account(*, sheds, seed, callers=200, routers=18, capacity=60, seconds=40):
    """Return the mean lateness that a request meets, in milliseconds.

    Each caller sends one request a second on a persistent connection. A new connection goes to the
    first router that did not fail two probes of the balancer in a row.
    """
    randomness = random.Random(seed)
    fleet = [Router() for _ in range(routers)]
    fleet[0].callers = callers
    waited_ms = 0.0
    for step in range(seconds * 10):
        now_ms = step * SAMPLE_MS
        for router in fleet:
            others = [one for one in fleet if one is not router]
            totals = RouterTotals(
                len(others),
                round(sum(one.shedding.late_ms for one in others)),
                sum(one.shedding.is_active for one in others),
            )
            if sheds:
                router.shedding.record_lateness(router.late_ms(capacity), totals, now_ms)
            if step % 10 == 0:
                router.failed_probes = router.failed_probes + 1 if router.shedding.is_active else 0
        for router in list(fleet):
            asked = router.callers // 10
            waited_ms += asked * router.late_ms(capacity)
            for _ in range(asked):
                if router.shedding.should_close(randomness.random(), now_ms):
                    router.callers -= 1
                    next(one for one in fleet if one.failed_probes < 2).callers += 1
    assert sum(router.callers for router in fleet) == callers
    return waited_ms / (callers * seconds)


def test_the_callers_of_an_account_are_soon_spread_over_enough_routers():
    for seed in range(5):
        kept_ms = simulate_account(sheds=False, seed=seed)
        spread_ms = simulate_account(sheds=True, seed=seed)
        assert kept_ms > 500.0
        assert spread_ms < kept_ms / 3


def test_a_shedding_router_is_not_ready_and_closes_connections_after_responses():
    async def play():
        quick = SheddingSettings(notice_ms=1.0, calm_ms=1e-9, close_part=1.0, least_ms=60_000.0)
        async with small_world(shedding=quick) as world:
            kept = await world.connect()
            assert await ask(kept) == 200
            assert kept.is_usable(1_000)
            shedding = world.routers[0]._load_shedder
            add_samples(shedding, 60.0, IDLE, from_ms=clock_ms() - 10 * SAMPLE_MS)
            assert not await world.is_ready()
            assert await ask(kept) == 200

            async def ended():
                return kept.channel.is_lost

            await world.until(ended)

    asyncio.run(play())


async def ask(connection):
    connection.send("POST", "/book/1", request_headers(), b"{}")
    head = await connection.read_head()
    await connection.read_body(65_536)
    connection.finish_exchange()
    return head.status

"""Exchange of the counts of rollouts, and writing of their status, with fakes in place of links."""

import asyncio

from edge_world import SETTINGS, evolve

from cicadaledge.edge import ControlPlaneState
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._rollout_exchange import FleetRoles, RolloutExchange
from cicadaledge.edge._rollout_guard import RolloutGuard
from cicadaledge.placing import FleetLoad, LoadTracker
from cicadaledge.rollouts import (
    RolloutOrder,
    RolloutSettings,
    RolloutState,
    RolloutStatus,
)
from cicadaledge.store import StoreError
from cicadaledge.wire import LoadView, NameTable, ViewScope, decode_message, encode_message

ROLLOUTS = RolloutSettings(is_enabled=True)
ORDER = RolloutOrder("desk", "v2", 10_000.0)


class Topic:
    """A status topic whose writes can fail."""

    def __init__(self):
        self.written = []
        self.fails = False
        self.attempts = 0

    async def write(self, status):
        self.attempts += 1
        if self.fails:
            raise StoreError("the store cannot be reached")
        self.written.append(status.state)


class Router:
    """One router's exchange, whose messages go to the others of a small fleet."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.topic = Topic()
        load = FleetLoad(name)
        load.set_roles(fleet.relays[zone], is_relay=fleet.relays[zone] == name, members=4)
        load.apply_view(fleet.relays[zone], LoadView(0, ViewScope.SENDER, 1, False, [], []), 0.0)
        load.apply_view(
            fleet.relays[zone], LoadView(0, ViewScope.ALL_BUT_RECEIVER, 3, False, [], []), 0.0
        )
        self.load = load
        settings = evolve(SETTINGS, router=name, zone=zone, rollouts=ROLLOUTS)
        guard = RolloutGuard(settings, ControlPlaneState(settings), EdgeMetrics())
        self.keeper = guard.keeper
        self.keeper.retain_orders(set(), 0.0)
        self.keeper.apply_order(ORDER, 0.0, 0)
        self.exchange = RolloutExchange(
            settings,
            guard,
            self,
            load,
            LoadTracker(load),
            self.topic,
            EdgeMetrics(),
            lambda: fleet.now_ms,
        )

    @property
    def rollout(self):
        return self.keeper.rollout("desk")

    def roles(self):
        fleet = self.fleet
        relays = fleet.relays if fleet.relays[self.zone] == self.name else {}
        members = [one.name for one in fleet.routers if one.zone == self.zone and one is not self]
        relays = relays or {self.zone: fleet.relays[self.zone]}
        return FleetRoles(self.name, 1, relays, self.zone, members)

    def send_rollout(self, peer, view):
        if self.name in self.fleet.cut or peer in self.fleet.cut:
            return
        received = decode_message(encode_message(view, NameTable()), NameTable())
        self.fleet.router(peer).exchange.receive(self.name, received)


class Fleet:
    """Two zones with two routers each; the first router of each is its relay."""

    def __init__(self):
        self.now_ms = 0.0
        self.cut = set()
        self.relays = {"zone-a": "a0", "zone-b": "b0"}
        self.routers = []
        for zone, names in (("zone-a", ("a0", "a1")), ("zone-b", ("b0", "b1"))):
            self.routers += [Router(self, name, zone) for name in names]

    def router(self, name):
        return next(one for one in self.routers if one.name == name)

    async def run(self, until_ms):
        while self.now_ms < until_ms:
            self.now_ms += 100.0
            for router in self.routers:
                for peer in self.relays.values():
                    for scope in (ViewScope.SENDER, ViewScope.ALL_BUT_RECEIVER):
                        view = LoadView(0, scope, 1, False, [], [])
                        router.load.apply_view(peer, view, self.now_ms)
                router.exchange.step(self.now_ms)
            await asyncio.sleep(0)
            await asyncio.sleep(0)


def count(router, failed=0):
    cell = router.rollout.tally.own.cell("look", is_new=True)
    cell.sent += 1 + failed
    cell.answered += 1 + failed
    cell.failed += failed


def test_all_routers_learn_the_counts_of_the_fleet():
    async def play():
        fleet = Fleet()
        for router in fleet.routers:
            count(router)
        await fleet.run(1_500.0)
        for router in fleet.routers:
            assert router.rollout.tally.latest.side(is_new=True).sent == 4

    asyncio.run(play())


def test_a_router_that_is_cut_off_does_not_count_as_informed():
    async def play():
        fleet = Fleet()
        await fleet.run(1_000.0)
        fleet.cut = {"a1"}
        await fleet.run(4_000.0)
        heard_ms = {one.name: one.rollout.tally.heard_ms for one in fleet.routers}
        assert heard_ms["a1"] <= 1_000.0
        assert min(heard_ms["a0"], heard_ms["b0"], heard_ms["b1"]) >= 3_000.0

    asyncio.run(play())


def writers(fleet):
    return [one.name for one in fleet.routers if one.topic.written]


def test_one_relay_writes_the_status_and_its_deputy_only_if_it_does_not():
    async def play():
        fleet = Fleet()
        await fleet.run(1_000.0)
        (decider,) = writers(fleet)
        assert decider in fleet.relays.values()
        assert fleet.router(decider).topic.written == [RolloutState.RUNNING]
        fleet = Fleet()
        fleet.router(decider).topic.fails = True
        await fleet.run(2_500.0)
        (deputy,) = set(fleet.relays.values()) - {decider}
        assert writers(fleet) == [deputy]

    asyncio.run(play())


def test_a_final_status_is_written_as_soon_as_the_store_is_back():
    async def play():
        fleet = Fleet()
        await fleet.run(1_000.0)
        (name,) = writers(fleet)
        decider = fleet.router(name)
        decider.topic.fails = True
        await fleet.run(11_000.0)  # no server of the new version has started by the deadline
        assert RolloutState.ROLLED_BACK not in decider.topic.written
        assert decider.topic.attempts <= 12  # a store that recovers must not be overloaded
        decider.topic.fails = False
        await fleet.run(11_500.0)
        assert decider.topic.written[-1] is RolloutState.ROLLED_BACK

    asyncio.run(play())


def test_a_second_decider_writes_nothing_that_contradicts_a_known_final_status():
    async def play():
        fleet = Fleet()
        status = RolloutStatus("desk", "v2", RolloutState.COMPLETED)
        for router in fleet.routers:
            router.keeper.apply_status(status, 0.0)
            count(router, failed=80)
        await fleet.run(12_000.0)
        assert writers(fleet) == []

    asyncio.run(play())


def test_a_router_that_has_restarted_learns_the_age_of_the_order():
    async def play():
        fleet = Fleet()
        await fleet.run(5_000.0)
        restarted = Router(fleet, "b1", "zone-b")
        restarted.keeper.rollout("desk")._started_ms = None
        fleet.routers[-1] = restarted
        await fleet.run(5_500.0)
        assert restarted.rollout.age_ms(5_500.0) >= 5_000.0

    asyncio.run(play())

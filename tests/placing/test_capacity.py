"""The rate admitted to all engines follows what they begin."""

import pytest
from attrs import evolve

from cicadaledge.placing import (
    AccountShares,
    EngineCapacity,
    FleetLoad,
    LoadTracker,
    Placement,
    PlacingSettings,
    ServerHealth,
)
from cicadaledge.routing import Engine, ServerDirectory, ServerEntry, ServerState, Service
from cicadaledge.wire import LoadView, NameTable, ViewScope, decode_message, encode_message

SLOTS = 10
POOL = Service("pool", engine=Engine(SLOTS, 500_000))
STEP_MS = 50.0
CONFIGURED_PER_S = 10_000.0
ENGINES = ("a", "b", "c", "d")


class Fleet:
    """One router and its engines; the rates of other routers are those of a view."""

    def __init__(self, cold_ms: float = 0.0) -> None:
        self.others = FleetLoad()
        self.load = LoadTracker(self.others)
        self.health = ServerHealth()
        self.shares = AccountShares(4_000, self.others)
        directory = ServerDirectory()
        for name in ENGINES:
            entry = ServerEntry(
                name, "pool", "h", 1, "zone", ServerState.READY, SLOTS, cold_ms, 1, 1
            )
            directory.apply(entry, 0.0)
        self.capacity = EngineCapacity(PlacingSettings(), directory, self.load, self.health)
        self.placements: dict[str, list[Placement]] = {}
        self.now_ms = 0.0

    def occupy(self, slots: int) -> None:
        """Place requests in some slots of each engine."""
        for name in ENGINES:
            self.placements[name] = [Placement(name, 0, 0) for _ in range(slots)]
            for placement in self.placements[name]:
                self.load.record_start(placement, self.now_ms)

    def run(self, seconds: float, *, begun: int, sent: int = 0) -> float:
        """Record some tokens in each step; return the admissible rate at the end."""
        for _ in range(int(seconds * 1000 / STEP_MS)):
            self.now_ms += STEP_MS
            self.load.record_begun(begun, self.now_ms)
            for account in ("a", "b"):
                self.shares.record_asked(account, 5_000, self.now_ms)
                self.shares.record_admitted(account, sent // 2, self.now_ms)
        return self.admissible_per_s()

    def admissible_per_s(self) -> float:
        return self.capacity.admissible_per_s((POOL,), CONFIGURED_PER_S, self.now_ms)


def test_requests_queued_at_full_engines_do_not_raise_the_shares():
    """Shares that followed what was sent exceeded what any account got, and held none back."""
    fleet = Fleet()
    fleet.occupy(SLOTS + 5)
    admissible_per_s = fleet.run(4.0, begun=1_000, sent=4_000)
    fleet.shares.share_use("a", admissible_per_s, fleet.now_ms)
    assert fleet.shares.share_per_s == pytest.approx(10_000, rel=0.05)


@pytest.mark.parametrize(("occupied", "growth"), [(SLOTS, 1.0), (SLOTS // 2, 1.5), (0, 2.0)])
def test_free_slots_admit_more_than_engines_begin(occupied, growth):
    fleet = Fleet()
    fleet.occupy(occupied)
    assert fleet.run(4.0, begun=1_000) == pytest.approx(20_000 * growth, rel=0.05)


def test_logs_can_tell_a_low_estimate_from_full_engines():
    """Lines that showed only what engines begin left open whether they had room."""
    fleet = Fleet()
    assert fleet.capacity.used_fraction is None
    fleet.occupy(SLOTS // 2)
    admissible_per_s = fleet.run(4.0, begun=1_000)
    assert fleet.capacity.used_fraction == pytest.approx(0.5)
    assert fleet.capacity.latest_per_s == round(admissible_per_s)


def test_engines_with_a_full_backlog_have_nothing_free():
    fleet = Fleet()
    max_unread_tokens = round(PlacingSettings().max_unread_tokens(0.0))
    for name in ENGINES:
        fleet.load.record_start(Placement(name, max_unread_tokens, 0), 0.0)
    assert fleet.run(4.0, begun=1_000) == pytest.approx(20_000, rel=0.05)


def test_slots_of_cold_engines_are_not_free():
    assert Fleet(cold_ms=60_000.0).run(4.0, begun=1_000) == pytest.approx(20_000, rel=0.05)


def test_slots_of_an_ejected_engine_are_not_free():
    fleet = Fleet()
    fleet.occupy(SLOTS)
    for placement in fleet.placements["a"]:
        fleet.load.record_end(placement)
    fleet.health.record_unreachable("a", 3_990.0)
    assert fleet.run(4.0, begun=1_000) == pytest.approx(20_000, rel=0.05)


def test_shares_do_not_drop_while_engines_are_full_for_a_moment():
    """A share that drops at once is halved, and engines idle when they have capacity again."""
    fleet = Fleet()
    fleet.occupy(SLOTS)
    before = fleet.run(4.0, begun=2_000, sent=2_000)
    assert fleet.run(2.0, begun=2_000, sent=400) >= 0.75 * before


def test_shares_follow_the_loss_of_engines_within_seconds():
    """Shares that fell by a tenth a second let accounts fill the engines that were left."""
    fleet = Fleet()
    fleet.occupy(SLOTS)
    before = fleet.run(4.0, begun=4_000, sent=8_000)
    assert fleet.run(3.0, begun=1_000, sent=8_000) <= 0.3 * before


def test_the_configured_capacity_is_admissible_at_least_and_zero_means_no_limit():
    fleet = Fleet()
    assert fleet.admissible_per_s() == CONFIGURED_PER_S
    assert fleet.capacity.admissible_per_s((POOL,), 0.0, 0.0) == 0.0


def test_what_engines_begin_for_other_routers_counts_once():
    own = LoadView(1, int(ViewScope.SENDER), 1, False, [], [], begun_per_s=700)
    relay = FleetLoad("relay")
    relay.set_roles("relay", is_relay=True, members=3)
    for name, begun_per_s in (("r1", 300), ("r2", 500)):
        view = evolve(own, begun_per_s=begun_per_s)
        decoded = decode_message(encode_message(view, NameTable()), NameTable())
        relay.apply_view(name, decoded, 0.0)
    assert relay.begun_per_s(0.0) == 800
    assert relay.zone_view(own, 0.0).begun_per_s == 1_500
    views = dict(relay.views_without_receiver(own, ["r1", "r2"], 0.0))
    assert (views["r1"].begun_per_s, views["r2"].begun_per_s) == (1_200, 1_000)
    relay.remove_peer("r1")
    assert relay.begun_per_s(0.0) == 500

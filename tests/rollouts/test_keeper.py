"""Orders and status: late, lost, repeated, replaced, withdrawn, or read after a restart."""

import pytest
from attrs import evolve
from rollout_fleet import SETTINGS, entry

from cicadaledge.rollouts import (
    OutcomeCounts,
    RequestSide,
    RolloutKeeper,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Stage,
)
from cicadaledge.routing import ServerDirectory

ORDER = RolloutOrder("desk", "v2", 30_000.0)
WALL_MS = 1_800_000_000_000
RUNNING, COMPLETED, ROLLED_BACK = RolloutState


class Site:
    """One router's keeper with servers of two versions."""

    def __init__(self, *, has_read_orders=True, versions=("v1", "v2")):
        self.directory = ServerDirectory()
        self.keeper = RolloutKeeper(SETTINGS, self.directory, lambda zone: "", lambda: 1e9)
        for version in versions:
            self.directory.apply(entry(f"{version}-0", version), 0.0)
        if has_read_orders:
            self.keeper.retain_orders(set(), 0.0)

    def order(self, order=ORDER, now_ms=1_000.0):
        self.keeper.apply_order(order, now_ms, WALL_MS)
        return self.keeper.rollout("desk")

    def status(self, state, to="v2", now_ms=2_000.0, **fields):
        self.keeper.apply_status(RolloutStatus("desk", to, state, **fields), now_ms)

    def decide(self, now_ms, *, is_informed=True):
        rollout = self.keeper.rollout("desk")
        return self.keeper.decide(rollout, 0, now_ms, is_relay=True, is_informed=is_informed)

    def allowed(self, now_ms=5_000.0):
        groups = self.keeper.allowed_servers("desk", "look", RequestSide(), set(), now_ms)
        usable = self.directory.usable_by_name("desk")
        return set(usable if groups is None else frozenset().union(*groups))

    def due(self, wanted, now_ms=5_000.0):
        rollout = self.keeper.rollout("desk")
        status = rollout.due_status(wanted, WALL_MS, now_ms)
        return status and status.state


def test_without_an_order_all_servers_are_ordinary_replacements():
    assert Site().allowed() == {"v1-0", "v2-0"}


def test_an_order_takes_the_new_version_out_of_use_until_its_canary():
    site = Site()
    assert site.order().former == {"v1"}
    assert site.allowed() == {"v1-0"}
    assert site.due(RUNNING) is RUNNING


def test_the_same_order_written_again_does_not_start_anew():
    site = Site()
    rollout = site.order()
    assert site.order(evolve(ORDER, duration_ms=60_000.0), 9_000.0) is rollout
    assert rollout.age_ms(9_000.0) == 8_000.0
    assert rollout.order.duration_ms == 60_000.0


@pytest.mark.parametrize("first", [COMPLETED, ROLLED_BACK])
def test_a_final_status_stays_and_rolled_back_wins(first):
    site = Site()
    rollout = site.order()
    site.status(first)
    site.status(RUNNING)
    assert rollout.state is first
    assert site.decide(5_000.0) is first
    site.status(ROLLED_BACK)
    assert rollout.state is ROLLED_BACK
    site.status(COMPLETED)
    assert rollout.state is ROLLED_BACK


def test_a_status_of_a_former_order_is_not_taken_for_that_of_a_new_one():
    site = Site(versions=("v1", "v2", "v3"))
    site.order()
    site.status(ROLLED_BACK)
    rollout = site.order(evolve(ORDER, to="v3"))
    site.status(ROLLED_BACK)
    assert rollout.state is RUNNING
    assert site.due(RUNNING) is RUNNING


@pytest.mark.parametrize(
    ("state", "former"), [(COMPLETED, {"v2"}), (ROLLED_BACK, {"v1"}), (RUNNING, {"v1"})]
)
def test_a_new_order_starts_from_what_is_in_use_then(state, former):
    site = Site(versions=("v1", "v2", "v3"))
    rollout = site.order()
    rollout.former = frozenset({"v1"})
    site.status(state)
    assert site.order(evolve(ORDER, to="v3")).former == former


def test_a_status_that_the_store_has_lost_is_written_again():
    site = Site()
    site.order()
    site.status(COMPLETED)
    assert site.due(COMPLETED) is None
    site.keeper.retain_statuses(set())
    assert site.due(COMPLETED) is COMPLETED
    # A copy that is older than the final status brings back the running one.
    site.status(RUNNING)
    assert site.due(COMPLETED) is COMPLETED


def test_a_withdrawn_order_is_rolled_back_and_may_be_given_again():
    site = Site()
    site.order()
    site.keeper.withdraw("desk", 2_000.0)
    assert site.allowed() == {"v1-0"}
    assert site.decide(2_000.0) is ROLLED_BACK
    assert site.due(ROLLED_BACK) is ROLLED_BACK
    site.status(ROLLED_BACK)
    rollout = site.order(now_ms=9_000.0)
    assert rollout.state is RUNNING
    assert rollout.age_ms(9_500.0) == 500.0


def test_an_order_that_is_missing_after_a_restore_of_the_store_is_not_withdrawn_at_once():
    # The copy may be older than the order, which the operator then writes again.
    site = Site()
    rollout = site.order()
    site.keeper.retain_orders(set(), 5_000.0)
    site.keeper.refresh_due(8_000.0)
    assert site.order(now_ms=8_000.0) is rollout
    site.keeper.refresh_due(20_000.0)
    assert rollout.state is RUNNING
    site.keeper.retain_orders(set(), 21_000.0)
    site.keeper.refresh_due(28_000.0)
    assert rollout.is_withdrawn


def test_a_decision_from_before_a_pause_of_the_process_allows_nothing():
    # While the process stood still, the version may have been rolled back.
    site = Site()
    rollout = site.order()
    site.decide(10_000.0)
    assert rollout.fraction > 0.0
    assert site.allowed(10_500.0)
    assert rollout.fraction > 0.0
    assert site.allowed(20_000.0) == {"v1-0"}
    assert rollout.fraction == 0.0


def test_a_completed_order_that_is_withdrawn_leaves_the_new_version_in_use():
    site = Site()
    site.order()
    site.status(COMPLETED)
    assert site.allowed() == {"v2-0"}
    site.keeper.withdraw("desk", 3_000.0)
    site.directory.remove("v1-0", 3_000.0)
    assert site.allowed() == {"v2-0"}


@pytest.mark.parametrize("version", ["v1", "v3"])
def test_a_replacement_long_after_a_completed_rollout_is_used(version):
    site = Site()
    site.order()
    site.status(COMPLETED)
    site.directory.apply(entry("soon", version), 5_000.0)
    assert site.allowed(5_000.0) == {"v2-0"}
    site.directory.apply(entry("later", version), 60_000.0)
    assert site.allowed(60_000.0) == {"v2-0", "later"}
    # The next order finds these versions in use.
    assert site.order(evolve(ORDER, to="v9"), 60_000.0).former == {"v2", version}


@pytest.mark.parametrize(("age_ms", "is_used"), [(10_000, False), (3_600_000, True)])
def test_a_router_that_restarts_long_after_a_completed_rollout_uses_replacements(age_ms, is_used):
    # It sees all servers for the first time, so that only the time of the order tells.
    site = Site(has_read_orders=False, versions=("v2", "v3"))
    site.status(COMPLETED, since_ms=WALL_MS - age_ms, former=("v1",))
    site.order()
    assert site.allowed() == ({"v2-0", "v3-0"} if is_used else {"v2-0"})


def test_a_restarted_router_sends_nothing_until_it_knows_the_age_of_the_order():
    site = Site(has_read_orders=False)
    rollout = site.order()
    rollout.tally.own.cell("look", is_new=False).sent = 100
    assert site.decide(2_000.0) is RUNNING
    assert rollout.fraction == 0.0
    rollout.learn_age(20_000.0, 2_000.0)
    site.decide(2_000.0)
    assert rollout.age_ms(2_500.0) == 20_500.0
    assert rollout.fraction > 0.0


def test_after_a_restart_all_requests_move_only_with_evidence():
    site = Site(has_read_orders=False)
    rollout = site.order()
    rollout.learn_age(24_000.0, 1_000.0)
    site.decide(1_100.0)
    assert rollout.stage is Stage.CANARY


def test_if_all_routers_restart_the_age_and_the_former_versions_come_from_the_status():
    site = Site(has_read_orders=False, versions=("v1", "v2", "v3"))
    site.status(RUNNING, since_ms=WALL_MS - 12_000, former=("v1",))
    rollout = site.order()
    rollout.settle_age(2_000.0, WALL_MS)
    assert rollout.age_ms(2_000.0) is None
    rollout.settle_age(4_500.0, WALL_MS)
    assert rollout.age_ms(4_500.0) == 12_000.0
    assert site.allowed() == {"v1-0"}


def test_a_router_that_has_no_views_keeps_to_the_former_version():
    site = Site()
    rollout = site.order()
    site.decide(10_000.0)
    assert rollout.fraction > 0.0
    site.decide(10_100.0, is_informed=False)
    assert rollout.fraction == 0.0
    assert site.decide(40_000.0, is_informed=False) is RUNNING


def test_what_is_known_to_be_bad_stays_so_without_a_status():
    # The store may be out of reach when the decision is due.
    site = Site()
    rollout = site.order()
    for number in range(10):
        rollout.tally.own.cells["look", True] = OutcomeCounts(number, number, number)
        site.decide(5_000.0 + 300 * number)
    rollout.tally.own.cells["look", True] = OutcomeCounts(500, 500, 9)
    assert site.decide(9_000.0) is ROLLED_BACK
    assert site.allowed(9_000.0) == {"v1-0"}


def test_engines_without_requests_do_not_count_as_free_capacity():
    site = Site()
    rollout = site.order()
    assert site.keeper.unused_servers("desk") == {"v2-0"}
    rollout.fraction = 0.05
    assert site.keeper.unused_servers("desk") == frozenset()
    site.status(COMPLETED)
    assert site.keeper.unused_servers("desk") == {"v1-0"}


def test_a_router_that_missed_a_withdrawal_follows_the_order_given_again():
    # It would otherwise write the final status of the first order again, and end the second one.
    site = Site(has_read_orders=False)
    site.status(ROLLED_BACK, since_ms=WALL_MS)
    rollout = site.order()
    site.status(RUNNING, since_ms=WALL_MS + 5_000)  # a late write of the same order
    assert rollout.state is ROLLED_BACK
    site.status(RUNNING, since_ms=WALL_MS + 60_000)
    assert rollout.state is RUNNING
    assert site.due(site.decide(5_000.0)) is None

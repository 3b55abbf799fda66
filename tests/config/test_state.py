"""Fold of the control stream: determinism, conflicting plans and snapshots."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.codes import Code
from cicadaledge.config import (
    Confirm,
    FleetState,
    Intent,
    IntentKind,
    Propose,
    Publish,
    Snapshot,
    encode_record,
    make_plan,
    replay,
)
from cicadaledge.errors import RefusalError
from cicadaledge.world import BackendServer, ClientAccount, Configuration, Pool, Zone


def make_configuration():
    return Configuration(
        zones={name: Zone(name, "north") for name in ("a", "b")},
        pools={"p": Pool("p")},
        servers={f"s-{z}": BackendServer(f"s-{z}", z, "p", "h", 1) for z in ("a", "b")},
        accounts={"ash": ClientAccount("ash"), "birch": ClientAccount("birch")},
    )


class ControlLog:
    """An append-only list of records, and the state after applying them."""

    def __init__(self):
        self.records = []
        self.state = FleetState()
        self.append(Publish(make_configuration(), "olive", 1))

    def append(self, record):
        offset = len(self.records)
        data = encode_record(record)
        self.records.append((offset, data))
        return self.state.apply(offset, data)

    def propose(self, plan_id, intent, base=None):
        base_offset = self.state.offset if base is None else base
        plan = make_plan(plan_id, "olive", intent, self.state.configuration, base_offset)
        self.append(Propose(plan, 2))
        return plan

    def confirm(self, plan, digest=None):
        return self.append(Confirm(plan.plan_id, digest or plan.digest, "oscar", 3))


def share(target, value):
    return Intent(IntentKind.SET_SHARE, target, value)


def test_nothing_changes_until_a_plan_is_confirmed():
    log = ControlLog()
    plan = log.propose("p1", share("ash", 3.0))
    assert log.state.configuration.accounts["ash"].share == 1.0
    assert log.confirm(plan) is not None
    assert log.state.configuration.accounts["ash"].share == 3.0


def test_of_two_conflicting_plans_only_the_first_is_accepted():
    log = ControlLog()
    first = log.propose("p1", Intent(IntentKind.DRAIN_ZONE, "a"))
    second = log.propose("p2", Intent(IntentKind.DRAIN_ZONE, "b"))
    assert log.confirm(first) is not None
    assert log.confirm(second) is None
    assert "has changed since" in log.state.audit[-1].reason
    assert [zone.state.value for zone in log.state.configuration.zones.values()] == ["out", "in"]


def test_plans_that_touch_different_objects_are_both_accepted():
    log = ControlLog()
    first = log.propose("p1", share("ash", 2.0))
    second = log.propose("p2", share("birch", 2.0))
    assert log.confirm(first) is not None
    assert log.confirm(second) is not None


def test_a_plan_is_confirmed_once_and_only_with_its_digest():
    log = ControlLog()
    plan = log.propose("p1", share("ash", 2.0))
    assert log.confirm(plan, digest="0" * 64) is None
    assert log.state.audit[-1].reason == "the digest is not the plan's"
    other = log.propose("p2", share("ash", 5.0))
    assert log.confirm(other) is not None
    assert log.confirm(other) is None
    assert "decided before" in log.state.audit[-1].reason


def test_a_second_publication_does_not_replace_the_first():
    log = ControlLog()
    assert log.append(Publish(Configuration(), "mallory", 5)) is None
    assert log.state.configuration.accounts
    assert not log.state.audit[-1].accepted


def test_a_plan_warns_of_lost_capacity():
    plan = ControlLog().propose("p1", Intent(IntentKind.DRAIN_ZONE, "a"))
    assert (plan.slots_before, plan.slots_after) == ({"p": 16}, {"p": 8})
    log = ControlLog()
    log.confirm(log.propose("p1", Intent(IntentKind.DRAIN_ZONE, "a")))
    plan = log.propose("p2", Intent(IntentKind.DRAIN_ZONE, "b"))
    assert "pool p keeps no slots: its requests will be refused" in plan.warnings


@pytest.mark.parametrize(
    "intent",
    [
        Intent(IntentKind.DRAIN_ZONE, "nowhere"),
        Intent(IntentKind.RESTORE_ZONE, "a"),
        Intent(IntentKind.SET_SHARE, "ash", -1.0),
        Intent(IntentKind.SET_SHARE, "nobody", 1.0),
        Intent(IntentKind.SEND_BACK, "ash"),
        Intent(IntentKind.ADMIT_SERVER, "s-new"),
        Intent(IntentKind.REMOVE_SERVER, "s-none"),
        Intent(IntentKind.SET_OLD_SLOTS, "p", 1.0),
    ],
)
def test_an_intent_that_cannot_be_carried_out_is_refused(intent):
    with pytest.raises(RefusalError) as caught:
        make_plan("p1", "olive", intent, make_configuration(), 0)
    assert caught.value.code is Code.INTENT_INVALID


histories = st.lists(
    st.tuples(
        st.sampled_from(["share", "drain", "restore", "confirm", "snapshot", "junk"]),
        st.integers(0, 3),
    ),
    max_size=25,
)


def apply_history(history):
    log, plans = ControlLog(), []
    for action, number in history:
        try:
            if action == "share":
                plans.append(log.propose(f"p{len(plans)}", share("ash", 1.0 + number)))
            elif action in ("drain", "restore"):
                intent = Intent(IntentKind(f"{action}-zone"), "ab"[number % 2])
                plans.append(log.propose(f"p{len(plans)}", intent))
            elif action == "confirm" and plans:
                log.confirm(plans[number % len(plans)])
            elif action == "snapshot":
                log.append(log.state.snapshot())
            else:
                log.records.append((len(log.records), b"{not a record"))
                log.state.apply(*log.records[-1])
        except RefusalError:
            continue
    return log


@given(histories)
def test_every_reader_has_the_same_state_and_offsets_never_decrease(history):
    log = apply_history(history)
    replayed = FleetState()
    for offset, data in log.records:
        before = replayed.offset
        replayed.apply(offset, data)
        replayed.apply(0, log.records[0][1])
        assert replayed.offset == max(before, offset)
    assert replayed == log.state
    assert FleetState.from_json(replayed.to_json()) == replayed


@given(histories, st.integers(0, 30))
def test_a_snapshot_replaces_the_records_before_it(history, trimmed):
    log = apply_history(history)
    log.append(log.state.snapshot())
    retained = log.records[min(trimmed, len(log.records) - 1) :]
    rebuilt = replay(retained[0][0], retained)
    expected = attrs.evolve(log.state)
    assert rebuilt.configuration == expected.configuration
    assert (rebuilt.offset, rebuilt.plans) == (expected.offset, expected.plans)


def test_deleted_records_without_a_snapshot_give_no_state():
    log = ControlLog()
    log.propose("p1", share("ash", 2.0))
    assert replay(1, log.records[1:]) is None
    assert isinstance(log.state.snapshot(), Snapshot)

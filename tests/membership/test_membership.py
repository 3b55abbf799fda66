"""Member list, liveness, and transfer of home rights."""

import pytest

from cicadaledge.capacity import HomeLessor
from cicadaledge.membership import Join, Leave, Liveness, Member, Members, Remove, rank
from cicadaledge.settings import Address, RouterSettings, TimingSettings
from cicadaledge.wire import Heartbeat
from cicadaledge.world import BackendServer, Configuration, Pool, Zone

TIMING = TimingSettings()
NAMES = ("r1", "r2", "r3")


def member(name, incarnation=1, port=1):
    return Member(name, incarnation, "z", "north", "h", port)


def make_members(names=NAMES):
    members = Members()
    for offset, name in enumerate(names):
        members.apply(offset, Join(member(name)))
    return members


def test_a_removal_needs_the_votes_of_a_majority_of_current_incarnations():
    members = make_members()
    assert members.apply(5, Remove("r3", 1, {"r1": 1})) != ""
    assert members.apply(6, Remove("r3", 1, {"r1": 1, "r2": 9})) != ""
    assert members.apply(7, Remove("r3", 1, {"r1": 1, "r3": 1})) != ""
    assert members.apply(8, Remove("r3", 1, {"r1": 1, "r2": 1})) == ""
    assert set(members.by_name) == {"r1", "r2"}


def test_a_member_rejoins_only_with_a_newer_incarnation_at_its_address():
    members = make_members()
    assert members.apply(5, Join(member("r1", 1))) != ""
    assert members.apply(6, Join(member("r1", 2, port=7))) != ""
    assert members.apply(7, Join(member("r1", 2))) == ""
    assert members.apply(8, Leave("r1", 1)) != ""
    assert members.apply(9, Leave("r1", 2)) == ""


def test_few_servers_change_their_home_router_when_a_router_joins():
    keys = [f"server-{i}" for i in range(300)]
    before = [rank(key, NAMES)[0] for key in keys]
    after = [rank(key, (*NAMES, "r4"))[0] for key in keys]
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {"r4"}
    assert 40 < len(moved) < 120


def make_liveness():
    liveness = Liveness("r1", TIMING)
    for peer in ("r2", "r3"):
        liveness.on_link_up(peer, 1, 0)
    return liveness


def heartbeat(echo_ms, log_age_ms=-1, offset=0, disowned=False):
    return Heartbeat(5, echo_ms, offset, log_age_ms, disowned=disowned)


def test_a_fresh_read_gives_home_rights():
    liveness, members = make_liveness(), make_members()
    liveness.fresh_as_of_ms = 1000
    assert liveness.has_home_rights(members, 1000 + TIMING.freshness_ms // 2)
    assert not liveness.has_home_rights(members, 1001 + TIMING.freshness_ms // 2)


def test_heartbeats_received_by_a_majority_give_home_rights():
    liveness, members = make_liveness(), make_members()
    liveness.on_heartbeat("r2", heartbeat(echo_ms=9000), 0, 9100)
    assert liveness.has_home_rights(members, 9000 + TIMING.freshness_ms // 2)
    assert not liveness.has_home_rights(members, 9001 + TIMING.freshness_ms // 2)


def test_a_peer_that_voted_to_remove_this_router_does_not_count():
    liveness, members = make_liveness(), make_members()
    liveness.on_heartbeat("r2", heartbeat(echo_ms=9000, disowned=True), 0, 9100)
    assert not liveness.has_home_rights(members, 9100)


def test_a_peer_with_another_incarnation_does_not_count():
    liveness, members = make_liveness(), make_members()
    liveness.on_link_up("r2", 2, 0)
    liveness.on_heartbeat("r2", heartbeat(echo_ms=9000), 0, 9100)
    assert not liveness.has_home_rights(members, 9100)


def test_a_read_by_a_peer_counts_from_the_echoed_timestamp_less_its_age():
    liveness, members = make_liveness(), make_members(("r1", "r2", "r3", "r4", "r5"))
    liveness.on_heartbeat("r2", heartbeat(echo_ms=9000, log_age_ms=600, offset=4), 4, 9100)
    assert liveness.fresh_as_of_ms == 8400
    assert liveness.has_home_rights(members, 9100)
    liveness.on_heartbeat("r2", heartbeat(echo_ms=20_000, log_age_ms=0, offset=5), 4, 20_100)
    assert liveness.fresh_as_of_ms == 8400


def test_two_majorities_of_a_router_and_its_witnesses_overlap():
    """A router never has home rights after its removal, whatever the size of the region.

    Both need a majority of the router and its witnesses, and two majorities overlap.
    """
    for size in range(2, 12):
        members = make_members([f"r{i}" for i in range(size)])
        witnesses = [witness.router for witness in members.witnesses_of("r0")]
        assert len(witnesses) == min(4, size - 1) and "r0" not in witnesses
        for hearing_count in range(len(witnesses) + 1):
            liveness = Liveness("r0", TIMING)
            for peer in witnesses[:hearing_count]:
                liveness.on_link_up(peer, 1, 0)
                liveness.on_heartbeat(peer, heartbeat(echo_ms=9000), 0, 9000)
            votes = dict.fromkeys(witnesses[hearing_count:], 1)
            keeps_rights = liveness.has_home_rights(members, 9000)
            removed = make_members([f"r{i}" for i in range(size)]).apply(99, Remove("r0", 1, votes))
            assert not (keeps_rights and removed == ""), (size, hearing_count)


def test_a_far_peer_counts_as_live_for_three_of_its_intervals():
    liveness = make_liveness()
    liveness.on_heartbeat("r2", Heartbeat(5, -1, 0, -1, interval_ms=10_000), 0, 1000)
    liveness.on_heartbeat("r3", Heartbeat(5, -1, 0, -1, interval_ms=500), 0, 1000)
    assert liveness.is_live("r2", 30_000) and not liveness.is_live("r2", 31_001)
    assert liveness.is_live("r3", 3000) and not liveness.is_live("r3", 3001)


SERVERS = [f"s{i}" for i in range(24)]


def make_lessor(name):
    settings = RouterSettings(
        name=name, zone="z", region="north", platform=Address("h", 1), fleet_key="k" * 16
    )
    return HomeLessor(settings, 0)


def make_configuration():
    return Configuration(
        zones={"z": Zone("z", "north")},
        pools={"p": Pool("p")},
        servers={name: BackendServer(name, "z", "p", "h", 1) for name in SERVERS},
    )


class HomeLessors:
    """Lessors of several routers that read the same member records at different times."""

    def __init__(self, names):
        self.members = {name: Members() for name in names}
        self.offsets = dict.fromkeys(names, -1)
        self.lessors = {name: make_lessor(name) for name in names}
        self.records = []
        self.now = 100_000

    def read(self, name, up_to=None):
        end = len(self.records) if up_to is None else up_to
        while self.offsets[name] + 1 < end:
            self.offsets[name] += 1
            record = self.records[self.offsets[name]]
            self.members[name].apply(self.offsets[name], record)
            if not isinstance(record, Join):
                self.lessors[name].delay_rights_creation(self.now)
            self.lessors[name].update(
                self.members[name], make_configuration(), self.offsets[name], self.now
            )

    def exchange(self, name):
        lessor = self.lessors[name]
        for peer, request in lessor.transfer_requests().items():
            reply = self.lessors[peer].on_transfer_request(
                name, request, self.members[peer], self.offsets[peer], self.now
            )
            if reply is not None:
                lessor.on_transfer_reply(peer, reply, self.now)
        lessor.tick(self.members[name], self.now)
        self.check()

    def settle(self):
        """Let every router read all records and request its servers."""
        for _ in range(3):
            for name in self.lessors:
                self.read(name)
                self.exchange(name)

    def check(self):
        owned = [server for lessor in self.lessors.values() for server in lessor.owned]
        assert len(owned) == len(set(owned)), "two routers hold rights for one server"


def test_rights_are_transferred_and_never_held_twice():
    lessor_group = HomeLessors(NAMES)
    lessor_group.records = [Join(member("r1"))]
    lessor_group.read("r1")
    lessor_group.exchange("r1")
    assert set(lessor_group.lessors["r1"].owned) == set(SERVERS)
    lessor_group.records.append(Join(member("r2")))
    lessor_group.read("r2")
    lessor_group.exchange("r2")
    assert lessor_group.lessors["r2"].owned == [], "r1 has not read the join yet"
    lessor_group.read("r1")
    lessor_group.exchange("r2")
    lessor_group.records.append(Join(member("r3")))
    lessor_group.read("r3")
    lessor_group.read("r1")
    lessor_group.exchange("r3")
    lessor_group.read("r2")
    lessor_group.exchange("r3")
    assert sum(len(lessor.owned) for lessor in lessor_group.lessors.values()) == len(SERVERS)
    assert all(lessor.owned for lessor in lessor_group.lessors.values())


def test_rights_of_a_leaving_member_are_transferred_at_once():
    lessor_group = HomeLessors(NAMES)
    lessor_group.records = [Join(member(name)) for name in NAMES]
    lessor_group.settle()
    assert lessor_group.lessors["r1"].owned
    lessor_group.records.append(Leave("r1", 1))
    for name in NAMES:
        lessor_group.read(name)
    for name in ("r2", "r3", "r2"):
        lessor_group.lessors[name].add_departing_member("r1")
        lessor_group.exchange(name)
    assert lessor_group.lessors["r1"].owned == []
    held = {server for lessor in lessor_group.lessors.values() for server in lessor.owned}
    assert held == set(SERVERS)


@pytest.mark.parametrize("departure", [Leave("r1", 1), Remove("r1", 1, {"r2": 1, "r3": 1})])
def test_rights_of_a_departed_member_are_created_after_the_waiting_time(departure):
    lessor_group = HomeLessors(NAMES)
    lessor_group.records = [Join(member(name)) for name in NAMES]
    lessor_group.settle()
    former_servers = set(lessor_group.lessors["r1"].owned)
    lessor_group.records.append(departure)
    lessor_group.lessors["r1"].drop_owned()
    del lessor_group.lessors["r1"]
    for name in ("r2", "r3"):
        lessor_group.read(name)
    for name in ("r2", "r3", "r2"):
        lessor_group.exchange(name)
    held = {server for lessor in lessor_group.lessors.values() for server in lessor.owned}
    assert not held & former_servers
    lessor_group.now += TIMING.freshness_ms + 1
    for name in ("r2", "r3", "r2"):
        lessor_group.exchange(name)
    held = {server for lessor in lessor_group.lessors.values() for server in lessor.owned}
    assert held == set(SERVERS)

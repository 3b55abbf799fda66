"""Member list, home rights and the passing on of rights."""

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


def test_a_removal_needs_the_word_of_a_majority_of_current_incarnations():
    members = make_members()
    assert members.apply(5, Remove("r3", 1, {"r1": 1})) != ""
    assert members.apply(6, Remove("r3", 1, {"r1": 1, "r2": 9})) != ""
    assert members.apply(7, Remove("r3", 1, {"r1": 1, "r3": 1})) != ""
    assert members.apply(8, Remove("r3", 1, {"r1": 1, "r2": 1})) == ""
    assert set(members.by_name) == {"r1", "r2"}


def test_a_name_joins_again_only_with_a_newer_incarnation_at_its_address():
    members = make_members()
    assert members.apply(5, Join(member("r1", 1))) != ""
    assert members.apply(6, Join(member("r1", 2, port=7))) != ""
    assert members.apply(7, Join(member("r1", 2))) == ""
    assert members.apply(8, Leave("r1", 1)) != ""
    assert members.apply(9, Leave("r1", 2)) == ""


def test_few_homes_move_when_a_router_joins():
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


def beat(echo_ms, log_age_ms=-1, offset=0, disowned=False):
    return Heartbeat(5, echo_ms, offset, log_age_ms, disowned=disowned)


def test_rights_rest_on_an_own_fresh_read():
    liveness, members = make_liveness(), make_members()
    liveness.fresh_as_of_ms = 1000
    assert liveness.has_home_rights(members, 1000 + TIMING.freshness_ms // 2)
    assert not liveness.has_home_rights(members, 1001 + TIMING.freshness_ms // 2)


def test_rights_rest_on_a_majority_that_hears_this_router():
    liveness, members = make_liveness(), make_members()
    liveness.on_heartbeat("r2", beat(echo_ms=9000), 0, 9100)
    assert liveness.has_home_rights(members, 9000 + TIMING.freshness_ms // 2)
    assert not liveness.has_home_rights(members, 9001 + TIMING.freshness_ms // 2)


def test_a_peer_that_has_given_its_word_against_a_router_does_not_count():
    liveness, members = make_liveness(), make_members()
    liveness.on_heartbeat("r2", beat(echo_ms=9000, disowned=True), 0, 9100)
    assert not liveness.has_home_rights(members, 9100)


def test_a_peer_with_another_incarnation_does_not_count():
    liveness, members = make_liveness(), make_members()
    liveness.on_link_up("r2", 2, 0)
    liveness.on_heartbeat("r2", beat(echo_ms=9000), 0, 9100)
    assert not liveness.has_home_rights(members, 9100)


def test_a_relayed_read_counts_from_what_the_peer_had_heard_less_its_age():
    liveness, members = make_liveness(), make_members(("r1", "r2", "r3", "r4", "r5"))
    liveness.on_heartbeat("r2", beat(echo_ms=9000, log_age_ms=600, offset=4), 4, 9100)
    assert liveness.fresh_as_of_ms == 8400
    assert liveness.has_home_rights(members, 9100)
    liveness.on_heartbeat("r2", beat(echo_ms=20_000, log_age_ms=0, offset=5), 4, 20_100)
    assert liveness.fresh_as_of_ms == 8400


def test_two_majorities_of_a_router_and_its_witnesses_meet():
    """Home rights and a removal never stand on disjoint sets, whatever the region's size."""
    for size in range(2, 12):
        members = make_members([f"r{i}" for i in range(size)])
        watching = [witness.router for witness in members.witnesses_of("r0")]
        assert len(watching) == min(4, size - 1) and "r0" not in watching
        for hearing in range(len(watching) + 1):
            liveness = Liveness("r0", TIMING)
            for peer in watching[:hearing]:
                liveness.on_link_up(peer, 1, 0)
                liveness.on_heartbeat(peer, beat(echo_ms=9000), 0, 9000)
            words = dict.fromkeys(watching[hearing:], 1)
            keeps = liveness.has_home_rights(members, 9000)
            removed = make_members([f"r{i}" for i in range(size)]).apply(99, Remove("r0", 1, words))
            assert not (keeps and removed == ""), (size, hearing)


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


class Homes:
    """Lessors of a few routers that read the same member records, each at its pace."""

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
        """Let every router read everything and ask for its servers."""
        for _ in range(3):
            for name in self.lessors:
                self.read(name)
                self.exchange(name)

    def check(self):
        owned = [server for lessor in self.lessors.values() for server in lessor.owned]
        assert len(owned) == len(set(owned)), "two routers hold rights for one server"


def test_rights_are_passed_on_and_never_held_twice():
    homes = Homes(NAMES)
    homes.records = [Join(member("r1"))]
    homes.read("r1")
    homes.exchange("r1")
    assert set(homes.lessors["r1"].owned) == set(SERVERS)
    homes.records.append(Join(member("r2")))
    homes.read("r2")
    homes.exchange("r2")
    assert homes.lessors["r2"].owned == [], "r1 has not read the join yet"
    homes.read("r1")
    homes.exchange("r2")
    homes.records.append(Join(member("r3")))
    homes.read("r3")
    homes.read("r1")
    homes.exchange("r3")
    homes.read("r2")
    homes.exchange("r3")
    assert sum(len(lessor.owned) for lessor in homes.lessors.values()) == len(SERVERS)
    assert all(lessor.owned for lessor in homes.lessors.values())


def test_rights_of_a_member_that_leaves_are_passed_on_at_once():
    homes = Homes(NAMES)
    homes.records = [Join(member(name)) for name in NAMES]
    homes.settle()
    assert homes.lessors["r1"].owned
    homes.records.append(Leave("r1", 1))
    for name in NAMES:
        homes.read(name)
    for name in ("r2", "r3", "r2"):
        homes.lessors[name].add_departing_member("r1")
        homes.exchange(name)
    assert homes.lessors["r1"].owned == []
    held = {server for lessor in homes.lessors.values() for server in lessor.owned}
    assert held == set(SERVERS)


@pytest.mark.parametrize("gone", [Leave("r1", 1), Remove("r1", 1, {"r2": 1, "r3": 1})])
def test_rights_of_a_member_that_is_gone_are_created_after_the_waiting_time(gone):
    homes = Homes(NAMES)
    homes.records = [Join(member(name)) for name in NAMES]
    homes.settle()
    lost = set(homes.lessors["r1"].owned)
    homes.records.append(gone)
    homes.lessors["r1"].drop_owned()
    del homes.lessors["r1"]
    for name in ("r2", "r3"):
        homes.read(name)
    for name in ("r2", "r3", "r2"):
        homes.exchange(name)
    held = {server for lessor in homes.lessors.values() for server in lessor.owned}
    assert not held & lost
    homes.now += TIMING.freshness_ms + 1
    for name in ("r2", "r3", "r2"):
        homes.exchange(name)
    held = {server for lessor in homes.lessors.values() for server in lessor.owned}
    assert held == set(SERVERS)

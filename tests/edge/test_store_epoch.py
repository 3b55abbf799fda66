"""Routers beside a store that is restored from a copy some seconds old (`Store-Era`)."""

import asyncio
import contextlib
import json

import pytest
from attrs import evolve
from edge_world import ENTRY, FAST, KEY, SETTINGS, small_world
from test_news import TIMES, Sink, Topic, relayed_page

from cicadaledge.edge import ControlPlaneState, clock_ms
from cicadaledge.edge._control_state import ControlSink, ServerSink
from cicadaledge.edge._wall_clock import wall_ms
from cicadaledge.platform import decode_table
from cicadaledge.store import (
    NO_EPOCH,
    ChangePage,
    FleetMember,
    HistoryLostError,
    MemberSeen,
    ServerChanged,
    ServerRemoved,
    StoreAvailability,
    StoreEpoch,
    StoreError,
    StoreRelay,
    TableChanged,
    TopicFollower,
    TrialClaimed,
    ZoneChanged,
)
from cicadaledge.store import _epoch as epoch_module

SETTLE_MS = SETTINGS.timing.epoch_settle_ms
REWRITE_MS = SETTINGS.timing.operator_rewrite_ms
OTHER = evolve(ENTRY, server="desk-1")


class EpochTopic(Topic):
    """A topic that can be restored from a copy, after which its epoch is higher.

    An offset beyond the end gets 410.
    """

    def __init__(self, records=()):
        super().__init__()
        self.records = [*records]
        self.epoch = 1
        self.complete_reads = 0
        self.waits_ms = []

    def restore(self, records):
        self.records = [*records]
        self.epoch += 1

    async def newest(self):
        self.complete_reads += 1
        changes = [ZoneChanged(*one) for one in self.records]
        return ChangePage(changes, 0, len(self.records), clock_ms(), b"", self.epoch)

    async def since(self, offset, wait_ms):
        self.waits_ms.append(wait_ms)
        await asyncio.sleep(0.005)
        if offset > len(self.records):
            raise HistoryLostError("gone")
        records = json.dumps(self.records[offset:]).encode()
        return evolve(self.decode(records, offset, clock_ms()), epoch=self.epoch)


class EpochSink(Sink):
    def __init__(self):
        super().__init__()
        self.epoch_changes = 0

    def on_epoch_changed(self, now_ms):
        self.epoch_changes += 1


class Reader:
    """A follower of a fake topic with its relay."""

    def __init__(self, topic, send=lambda peer, message: True):
        self.sink = EpochSink()
        self.availability = StoreAvailability()
        self.relay = StoreRelay(send, self.availability)
        self.follower = TopicFollower(topic, self.sink, TIMES, self.relay, self.availability)

    @property
    def epoch(self):
        return self.availability.epoch

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.follower.follow())
        try:
            yield
        finally:
            task.cancel()

    async def until_seen(self, zone, within_s=2.0):
        async with asyncio.timeout(within_s):
            while zone not in self.sink.zones:
                await asyncio.sleep(0.005)


def zones(*names):
    return [[name, True] for name in names]


def follow(topic, scenario):
    async def run():
        reader = Reader(topic)
        async with reader.running():
            await reader.until_seen("z-0")
            await scenario(reader)

    asyncio.run(run())


@pytest.mark.parametrize("written_again", [[], ["b"], ["b", "c"], ["b", "c", "d", "e"]])
def test_records_at_offsets_that_were_assigned_again_are_not_skipped(written_again):
    """A reader at an offset that exists again skipped what is stored before it now."""
    topic = EpochTopic(zones("z-0", "x", "y"))

    async def scenario(reader):
        topic.restore(zones("z-0", "new", *written_again))
        await reader.until_seen("new")
        assert reader.sink.epoch_changes == 1

    follow(topic, scenario)


def test_an_offset_beyond_the_end_is_followed_by_one_complete_read():
    """The 410 alone gave a complete read that was taken for one of a truncated history."""
    topic = EpochTopic(zones("z-0", "x", "y"))

    async def scenario(reader):
        topic.restore(zones("z-0"))
        async with asyncio.timeout(2):
            while reader.sink.epoch_changes == 0:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        assert topic.complete_reads == 2
        assert reader.follower._offset == 1

    follow(topic, scenario)


def test_two_restores_in_a_row_are_each_followed_by_a_complete_read():
    topic = EpochTopic(zones("z-0", "x"))

    async def scenario(reader):
        topic.restore(zones("z-0", "first"))
        await reader.until_seen("first")
        topic.restore(zones("z-0", "second"))
        await reader.until_seen("second")
        assert reader.sink.epoch_changes == 2

    follow(topic, scenario)


def test_a_restore_that_a_router_never_noticed_is_part_of_the_next_one():
    """A suspended router sees the epoch rise by two."""
    topic = EpochTopic(zones("z-0", "x"))

    async def scenario(reader):
        topic.restore(zones("z-0", "first"))
        topic.restore(zones("z-0", "second"))
        await reader.until_seen("second")
        assert (reader.epoch.current, reader.sink.epoch_changes) == (3, 1)

    follow(topic, scenario)


def test_a_change_seen_by_any_call_makes_a_sleeping_follower_read_at_once():
    """A topic is read every four seconds; until then its offset stayed that of the former epoch."""
    topic = EpochTopic(zones("z-0"))
    slow = evolve(TIMES, pause_ms=60_000)

    async def run():
        reader = Reader(topic)
        reader.follower._timing = slow
        async with reader.running():
            await reader.until_seen("z-0")
            topic.restore(zones("z-0", "new"))
            reader.epoch.observe(topic.epoch, clock_ms())
            await reader.until_seen("new")

    asyncio.run(run())


def test_proofs_come_soon_after_a_restore():
    """With whole long polls, keys were refused for over a second more after an outage."""
    topic = EpochTopic(zones("z-0"))

    async def run():
        reader = Reader(topic)
        reader.follower._timing = evolve(TIMES, wait_ms=1_200)
        async with reader.running():
            await reader.until_seen("z-0")
            await asyncio.sleep(0.1)
            topic.restore(zones("z-0", "new"))
            await reader.until_seen("new")
            assert max(topic.waits_ms) == 1_200
            topic.waits_ms.clear()
            await asyncio.sleep(0.1)
            assert max(topic.waits_ms) == 500

    asyncio.run(run())


def test_a_router_that_has_backed_off_reads_a_restored_store_when_its_relay_has_reached_it():
    """It was not ready until the end of its pause of two seconds, as relayed pages were void."""
    topic = EpochTopic(zones("z-0"))

    async def run():
        reader = Reader(topic)
        reader.relay.set_role([], is_relay=False)
        async with reader.running():
            await reader.until_seen("z-0")
            reads = topic.newest, topic.since

            async def fail(*args):
                raise StoreError("down")

            topic.newest = topic.since = fail
            while reader.availability.failures < 6:
                await asyncio.sleep(0.01)
            topic.restore(zones("z-0", "new"))
            topic.newest, topic.since = reads
            for _ in range(2):
                reader.relay.receive(fresh(relayed_page(2, []), 2))
            await reader.until_seen("new", within_s=0.4)

    asyncio.run(run())


def test_a_follower_that_waits_for_its_relay_reads_the_store_when_a_call_shows_the_new_epoch():
    topic = EpochTopic(zones("z-0"))

    async def run():
        reader = Reader(topic)
        reader.relay.set_role([], is_relay=False)
        async with reader.running():
            await reader.until_seen("z-0")
            reader.relay._extend_freshness("control", clock_ms() + 60_000)
            await asyncio.sleep(0.1)
            topic.restore(zones("z-0", "new"))
            reader.epoch.observe(topic.epoch, clock_ms())
            await reader.until_seen("new")

    asyncio.run(run())


def test_an_answer_of_the_former_epoch_that_comes_late_is_dropped():
    """A page read before the restore was applied at the offsets after it, and was a proof."""
    topic = EpochTopic(zones("z-0"))

    async def scenario(reader):
        answer = asyncio.Event()
        original = topic.since

        async def late(offset, wait_ms):
            topic.since = original
            await answer.wait()
            page = topic.decode(json.dumps(zones("late")).encode(), offset, clock_ms() + 1e6)
            return evolve(page, epoch=1)

        topic.since = late
        await asyncio.sleep(0.1)
        topic.restore(zones("z-0", "new"))
        reader.epoch.observe(2, clock_ms())
        answer.set()
        await reader.until_seen("new")
        assert "late" not in reader.sink.zones
        assert max(reader.sink.proofs) < clock_ms() + 1

    follow(topic, scenario)


def reader_at(offset, epoch):
    reader = Reader(EpochTopic())
    reader.epoch.observe(epoch, 0.0)
    reader.follower._offset, reader.follower._reads = offset, 1
    reader.relay.set_role([], is_relay=False)
    return reader


def fresh(page, epoch):
    return evolve(page, epoch=epoch, echo_ms=int(clock_ms()))


def test_a_relayed_page_of_an_older_epoch_is_dropped():
    """A relay that has not noticed the restore yet; its page replaced what is stored there now."""
    reader = reader_at(3, epoch=2)
    reader.relay.receive(fresh(relayed_page(3, ["a"]), 1))
    assert (reader.sink.zones, reader.sink.proofs) == ([], [])
    assert not reader.relay.is_fresh("control")
    assert reader.epoch.counts["page_dropped"] == 1


@pytest.mark.parametrize("first_offset", [1, 3, 7])
def test_a_relayed_page_of_a_newer_epoch_makes_the_receiver_read_the_topic_again(first_offset):
    """A relay's offsets go back; its pages were taken for old ones, or for the following ones."""
    reader = reader_at(3, epoch=1)
    reader.relay._extend_freshness("control", clock_ms() + 60_000)
    reader.relay.receive(fresh(relayed_page(first_offset, ["a"]), 2))
    assert reader.sink.zones == []
    assert reader.follower._offset is None
    assert not reader.relay.is_fresh("control")


def test_a_relay_of_a_former_build_whose_offsets_go_back_makes_the_receiver_read_the_store():
    """Its pages were ignored as old ones, and yet kept the receiver from reading the store."""
    reader = reader_at(9, epoch=1)
    reader.relay._extend_freshness("control", clock_ms() + 60_000)
    reader.epoch._changed_ms = clock_ms() - epoch_module._UNMARKED_PAGES_DROPPED_MS
    reader.relay.receive(fresh(relayed_page(3, ["a"]), NO_EPOCH))
    assert not reader.relay.is_fresh("control")


def test_pages_without_an_epoch_are_dropped_only_just_after_a_change():
    """A former build's page from before the restore replaced what is stored there now."""
    reader = reader_at(3, epoch=1)
    reader.epoch.observe(2, clock_ms())
    reader.follower._offset = 3
    reader.relay.receive(fresh(relayed_page(3, ["a"]), NO_EPOCH))
    assert reader.sink.zones == []
    reader.epoch._changed_ms -= epoch_module._UNMARKED_PAGES_DROPPED_MS
    reader.relay.receive(fresh(relayed_page(3, ["a"]), NO_EPOCH))
    assert reader.sink.zones == ["a"]


def test_two_routers_that_see_the_new_epoch_at_different_times_both_read_all_records():
    """The second one waits for pages of the first, which tell it of the restore."""
    topic = EpochTopic(zones("z-0", "x", "y"))

    async def run():
        second = Reader(topic)
        second.relay.set_role([], is_relay=False)
        first = Reader(topic, send=lambda peer, message: second.relay.receive(message) or True)
        first.relay.set_role(["second"], is_relay=True)
        stamp = second.relay._fresh_until_ms
        async with first.running(), second.running():
            await first.until_seen("z-0")
            await second.until_seen("z-0")
            stamp["control"] = clock_ms() + 60_000
            reads = topic.complete_reads
            topic.restore(zones("z-0", "new"))
            await first.until_seen("new")
            await second.until_seen("new")
            assert topic.complete_reads == reads + 2

    asyncio.run(run())


def test_an_answer_to_a_call_from_before_the_change_does_not_bring_back_the_former_epoch():
    epoch = StoreEpoch()
    sent_ms = clock_ms() - 1
    epoch.observe(2, sent_ms)
    epoch.observe(1, sent_ms)
    assert epoch.current == 2


def test_a_wrong_high_epoch_does_not_keep_a_router_from_reading_the_store():
    topic = EpochTopic(zones("z-0"))

    async def scenario(reader):
        reader.epoch.observe(999, clock_ms())
        topic.records += zones("new")
        await reader.until_seen("new")
        assert reader.epoch.current == 1

    follow(topic, scenario)


def restored(*, servers):
    """Return a state that knew a zone as evacuated and a server, after a read of an older copy."""
    state = ControlPlaneState(SETTINGS)
    control, server_sink = ControlSink(state), ServerSink(state)
    state.apply(ZoneChanged("zone-b", True), 0.0)
    for entry in (ENTRY, OTHER):
        state.apply(ServerChanged(entry), 0.0)
    for sink in (control, server_sink):
        sink.on_epoch_changed(1_000.0)
    control.on_complete_read([], 1_000.0)
    server_sink.on_complete_read([ServerChanged(entry) for entry in servers], 1_000.0)
    return state, control, server_sink


def usable(state):
    return sorted(entry.server for entry in state.directory.usable("desk"))


def test_an_evacuation_that_the_store_forgot_holds_until_the_operator_can_write_it_again():
    state, _, _ = restored(servers=[ENTRY, OTHER])
    state.apply_due_removals(1_000.0 + SETTLE_MS - 1)
    assert state.directory.evacuated() == {"zone-b"}
    state.apply_due_removals(1_000.0 + SETTLE_MS)
    assert state.directory.evacuated() == set()


def test_an_evacuation_that_the_operator_writes_again_stays():
    state, _, _ = restored(servers=[ENTRY, OTHER])
    assert state.directory.evacuated() == {"zone-b"}
    state.apply(ZoneChanged("zone-b", True), 1_500.0)
    state.apply_due_removals(1_000.0 + 2 * SETTLE_MS)
    assert state.directory.evacuated() == {"zone-b"}


def test_an_evacuation_that_the_operator_ends_after_the_restore_ends_at_once():
    state, _, _ = restored(servers=[ENTRY, OTHER])
    assert state.directory.evacuated() == {"zone-b"}
    state.apply(ZoneChanged("zone-b", False), 1_500.0)
    assert state.directory.evacuated() == set()


def test_a_second_restore_gives_the_operator_and_the_servers_the_time_again():
    state, control, servers = restored(servers=[ENTRY])
    for sink in (control, servers):
        sink.on_epoch_changed(3_000.0)
    control.on_complete_read([], 3_000.0)
    servers.on_complete_read([ServerChanged(ENTRY)], 3_000.0)
    state.apply_due_removals(3_000.0 + SETTLE_MS - 1)
    assert state.directory.evacuated() == {"zone-b"}
    assert usable(state) == ["desk-0", "desk-1"]
    state.apply_due_removals(3_000.0 + SETTLE_MS)
    assert usable(state) == ["desk-0"]


@pytest.mark.parametrize("entry", [OTHER, evolve(OTHER, sequence=OTHER.sequence + 1)])
def test_a_server_that_the_store_forgot_stays_if_it_writes_its_entry_again(entry):
    """Also if it writes the same entry again; the deferred removal was then carried out."""
    state, _, _ = restored(servers=[ENTRY])
    assert usable(state) == ["desk-0", "desk-1"]
    assert state.directory.unconfirmed() == {"desk-1"}
    state.apply(ServerChanged(entry), 2_000.0)
    state.apply_due_removals(1_000.0 + 2 * SETTLE_MS)
    assert usable(state) == ["desk-0", "desk-1"]
    assert state.directory.unconfirmed() == set()


def test_a_server_whose_old_entry_the_store_removes_after_the_restore_is_kept_for_a_while():
    """Entries of a copy are seconds old, so that the store removes those of live servers."""
    state, _, _ = restored(servers=[ENTRY, OTHER])
    state.apply(ServerRemoved("desk-1"), 1_100.0)
    assert usable(state) == ["desk-0", "desk-1"]
    state.apply(ServerChanged(evolve(OTHER, sequence=9)), 2_500.0)
    state.apply_due_removals(1_000.0 + 2 * SETTLE_MS)
    assert usable(state) == ["desk-0", "desk-1"]


def table(version):
    return TableChanged(decode_table(json.dumps({"version": version}).encode()))


def test_a_forgotten_configuration_stays_in_force_and_proofs_count_once_it_can_be_written_again():
    """A router that missed a lost revocation took a read of the older copy as a proof."""
    state = ControlPlaneState(SETTINGS)
    control = ControlSink(state)
    state.apply(table(8), 0.0)
    control.record_proof(900.0, 1_000.0)
    assert state.proof_age_ms(1_000.0) == 100.0
    control.on_epoch_changed(1_000.0)
    state.apply(table(7), 1_000.0)
    control.record_proof(1_000.0 + REWRITE_MS - 1, 2_000.0)
    assert state.table.version == 8
    assert state.proof_age_ms(2_000.0) == 1_100.0
    control.record_proof(1_000.0 + REWRITE_MS, 2_000.0)
    assert state.proof_age_ms(2_000.0) == 1_000.0 - REWRITE_MS


def test_proofs_count_at_once_when_the_operator_has_written_the_configuration_again():
    """Keys were refused for half a second although the configuration was known to be current."""
    state = ControlPlaneState(SETTINGS)
    control = ControlSink(state)
    control.on_epoch_changed(1_000.0)
    for read_ms in (1_000.0, 1_100.0):
        control.apply(table(8), read_ms)
        control.record_proof(read_ms, read_ms)
        if read_ms == 1_000.0:
            assert state.proof_age_ms(read_ms) == float("inf")
            control.on_complete_read([table(8)], read_ms)
    assert state.proof_age_ms(1_100.0) == 0.0


WORLD_TIMING = evolve(FAST, epoch_settle_ms=800.0, rewrite_spread_ms=100.0)


@contextlib.asynccontextmanager
async def world_with_epochs(**how):
    async with small_world(routers=0, **how) as world:
        world.store.era = 1
        for number in range(2):
            await world.add_router(f"router-{number}", timing=WORLD_TIMING)
        yield world


async def until_all_read_era(world, era):
    async def is_read():
        return all(router._epoch.current == era for router in world.routers)

    await world.until(is_read)
    await asyncio.sleep(0.1)


def keys(*keys):
    return [{"name": "banksia", "apiKeys": [*keys]}]


def test_a_key_that_the_operator_revokes_again_is_refused():
    """The versions were written at offsets that routers had read before, and were skipped."""

    async def scenario():
        async with world_with_epochs() as world:
            contents = world.store.copy()
            for version in (2, 3, 4):
                world.configure(version=version, tenants=keys("new"))
            await asyncio.sleep(0.3)
            world.store.fault = "reset"
            await asyncio.sleep(0.3)
            world.store.restore(contents)
            world.configure(version=4, tenants=keys("new"))
            world.configure(version=5, tenants=keys("newest"))
            for _ in range(3):
                world.store.put("keyed.op", "other", {})
            world.store.fault = ""
            await until_all_read_era(world, 2)
            await asyncio.sleep(0.4)
            for number in range(2):
                assert (await world.call("/book/1", key=KEY, router=number)).status == 401
                assert (await world.call("/book/1", key="new", router=number)).status == 401
                assert (await world.call("/book/1", key="newest", router=number)).status == 200

    asyncio.run(scenario())


def test_an_evacuation_that_the_store_forgot_is_kept_and_found_when_it_is_written_again():
    async def scenario():
        async with world_with_epochs() as world:
            await world.add_runner("desk-b", "desk", "zone-b")
            contents = world.store.copy()
            world.store.put_evacuation("zone-a", evacuated=True)
            await asyncio.sleep(0.4)
            await world.store.drill(contents, away_s=0.2)
            await until_all_read_era(world, 2)
            for number in range(10):
                assert (await world.call("/book/1", router=number % 2)).status == 200
            assert world.runners[0].runs == []
            world.store.put_evacuation("zone-a", evacuated=True)
            await asyncio.sleep(1.2)
            metrics = (await world.get(world.settings[0].metrics, "/metrics")).body
            assert b'cicadaledge_store_epochs_total{what="changed"} 1' in metrics
            assert b'cicadaledge_state{name="store_epoch"} 2' in metrics
            for number in range(10):
                assert (await world.call("/book/2", router=number % 2)).status == 200
            assert world.runners[0].runs == []

    asyncio.run(scenario())


def test_servers_removed_during_the_lost_seconds_and_after_them_get_no_requests():
    """The later removal was written at an offset that had been read before, and was skipped."""

    async def scenario():
        async with world_with_epochs(desks=4) as world:
            contents = world.store.copy()
            world.store.put_server("desk-0", None)
            for _ in range(4):
                world.write_heartbeat(world.runners[1], state="draining")
            await asyncio.sleep(0.3)
            world.store.fault = "reset"
            await asyncio.sleep(0.2)
            world.store.restore(contents)
            world.store.put_server("desk-2", None)
            for _ in range(6):
                world.write_heartbeat(world.runners[3])
            world.store.fault = ""
            await until_all_read_era(world, 2)
            await asyncio.sleep(FAST.lapse_ms / 1000 + 0.8)
            for number in range(20):
                assert (await world.call("/book/1", router=number % 2)).status == 200
            assert [len(runner.runs) for runner in world.runners[:4]] == [0, 0, 0, 20]

    asyncio.run(scenario())


def test_routers_write_their_entries_and_evidence_again():
    """Routers that started during the lost seconds were unknown to others for a minute."""

    async def scenario():
        async with world_with_epochs() as world:
            contents = world.store.copy()
            await world.add_router("router-2", timing=WORLD_TIMING)
            guard = world.routers[0]._poison_guard
            guard.record_crash("desk-9/1", "test", [])

            async def is_published():
                page = await world.routers[0]._suspect_news._registry.newest()
                return "desk-9/1" in str(page.changes)

            await world.until(is_published)
            await world.store.drill(contents, away_s=0.2)
            await world.until(is_published)

            async def is_listed():
                return "router-2" in world.store._latest_by_key["keyed.routers"]

            await world.until(is_listed)

    asyncio.run(scenario())


def test_routers_write_their_claims_to_trials_again():
    """Routers that start after the restore would allow the same trial again; each costs a server."""

    async def scenario():
        async with world_with_epochs() as world:
            router = world.routers[0]
            contents = world.store.copy()
            guard = router._poison_guard
            claim = guard._parts._claims.next_claim(frozenset({"p"}), wall_ms())
            guard.new_claims.put_nowait(claim)

            async def is_read():
                return guard.own_claims() == [claim]

            await world.until(is_read)
            await world.store.drill(contents, away_s=0.2)

            async def is_written():
                page = await router._suspect_news._registry.newest()
                return TrialClaimed(claim) in page.changes

            await world.until(is_written)

    asyncio.run(scenario())


def test_an_older_entry_of_a_router_in_the_copy_does_not_replace_the_known_one():
    """The router had restarted on another port during the lost seconds; the old one was dialled."""

    async def scenario():
        async with world_with_epochs() as world:
            peers = world.routers[0]._peers
            newest = FleetMember("router-9", "127.0.0.1", 2, "zone-a", 2_000, 1)
            for is_restored in (False, True):
                now_ms = clock_ms()
                if is_restored:
                    peers.on_epoch_changed(now_ms)
                peers.apply(MemberSeen(newest), now_ms)
                peers.apply(MemberSeen(evolve(newest, peer_port=1, started_ms=1_000)), now_ms)
                assert peers._known["router-9"].member.peer_port == (2 if is_restored else 1)

    asyncio.run(scenario())


def test_a_server_that_starts_after_the_restore_is_found():
    """Its entry got an offset that the routers had read before the restore."""

    async def scenario():
        async with world_with_epochs() as world:
            contents = world.store.copy()
            for _ in range(20):
                world.write_heartbeat(world.runners[0])
            await asyncio.sleep(0.3)
            await world.store.drill(contents, away_s=0.2)
            await world.add_runner("desk-9", "desk")
            for _ in range(19):
                world.write_heartbeat(world.runners[0])
            await asyncio.sleep(0.6)
            for router in world.routers:
                assert usable(router._control_state) == ["desk-0", "desk-9"]

    asyncio.run(scenario())


def test_a_restored_store_without_epochs_is_read_as_before():
    """No header: nothing but a 410 makes a router read a topic again."""

    async def scenario():
        async with small_world(routers=1) as world:
            calls = world.store.calls
            await asyncio.sleep(0.3)
            former = calls["newest"]
            await world.store.drill(world.store.copy(), away_s=0.2)
            await world.until(world.is_ready)
            await asyncio.sleep(0.5)
            assert calls["newest"] == former
            assert world.routers[0]._epoch.current == NO_EPOCH

    asyncio.run(scenario())

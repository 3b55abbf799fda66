"""A relay reads the store for the other routers of its zone, which read it themselves if it fails."""

import asyncio
import json

import pytest
from attrs import evolve
from edge_world import ENTRY, FAST, KEY, SETTINGS, small_world

from cicadaledge.edge import BoundSettings, ControlPlaneState, clock_ms
from cicadaledge.membership import rank
from cicadaledge.store import (
    ChangePage,
    PollTiming,
    ServerChanged,
    ServerRemoved,
    StoreAvailability,
    StoreError,
    StoreRelay,
    TopicFollower,
    ZoneChanged,
)
from cicadaledge.wire import StoreNews

STRICT = BoundSettings(grace_ms=3_000, revoke_ms=900)
TIGHT = evolve(FAST, revoke_margin_ms=100)
TIMES = PollTiming(wait_ms=100, pause_ms=10, silence_ms=200)


class Topic:
    """A topic whose records are JSON lists of zone and evacuation state."""

    name = "control"

    def __init__(self):
        self.records = []
        self.reads = 0

    async def newest(self):
        self.reads += 1
        return ChangePage([], 0, len(self.records), clock_ms())

    async def since(self, offset, wait_ms):
        self.reads += 1
        await asyncio.sleep(wait_ms / 1000)
        return self.decode(json.dumps(self.records[offset:]).encode(), offset, clock_ms())

    def decode(self, records, first_offset, proof_ms):
        changes = [ZoneChanged(*one) for one in json.loads(records)]
        return ChangePage(changes, first_offset, first_offset + len(changes), proof_ms, records)


class Sink:
    """Records its calls."""

    def __init__(self):
        self.zones = []
        self.proofs = []
        self.outages = []

    def apply(self, change, now_ms):
        self.zones.append(change.zone)

    def on_complete_read(self, changes, now_ms):
        pass

    def record_proof(self, proof_ms, now_ms):
        self.proofs.append(proof_ms)

    def on_store_recovered(self, away_ms, now_ms):
        self.outages.append(away_ms)


def relay_and_availability():
    availability = StoreAvailability()
    return StoreRelay(lambda peer, message: True, availability), availability


def follower_at(offset):
    sink = Sink()
    follower = TopicFollower(Topic(), sink, TIMES, *relay_and_availability())
    follower._offset = offset
    return follower, sink


def relayed_page(first, zones, *, after_outage=False):
    records = json.dumps([[zone, True] for zone in zones]).encode()
    return StoreNews("control", first, first + len(zones), records, 5, after_outage)


def test_a_relayed_page_is_applied_once():
    follower, sink = follower_at(3)
    assert follower.apply_relayed(relayed_page(3, ["a", "b"]), 50.0)
    assert follower.apply_relayed(relayed_page(3, ["a", "b"]), 60.0)
    assert sink.zones == ["a", "b"]
    assert sink.proofs == [50.0, 60.0]


def test_a_page_after_a_gap_or_across_the_offset_is_not_applied():
    follower, sink = follower_at(3)
    assert not follower.apply_relayed(relayed_page(4, ["b"]), 50.0)
    assert not follower.apply_relayed(relayed_page(2, ["x", "a"]), 50.0)
    assert (sink.zones, sink.proofs) == ([], [])


def test_a_page_from_before_the_offset_is_no_proof():
    follower, sink = follower_at(3)
    assert follower.apply_relayed(relayed_page(1, ["x"]), 50.0)
    assert (sink.zones, sink.proofs) == ([], [])


def test_removals_after_an_outage_of_the_relay_are_deferred():
    follower, sink = follower_at(0)
    follower.apply_relayed(relayed_page(0, ["a"], after_outage=True), 50.0)
    assert len(sink.outages) == 1


def test_a_router_that_got_pages_during_the_relays_outage_had_no_outage():
    """Removals were deferred at all routers of a zone although only the relay had an outage."""
    follower, sink = follower_at(0)
    follower.apply_relayed(relayed_page(0, ["a"]), 50.0)
    follower.apply_relayed(relayed_page(1, ["b"], after_outage=True), 60.0)
    assert sink.outages[0] < SETTINGS.timing.lapse_outage_ms
    state = ControlPlaneState(SETTINGS)
    state.apply(ServerChanged(ENTRY), 0.0)
    state.on_store_recovered(sink.outages[0], 100.0)
    state.apply(ServerRemoved(ENTRY.server), 200.0)
    assert list(state.directory.usable("desk")) == []


def test_a_relayed_page_returns_the_latest_timestamp_received_before_its_proof():
    sent = []
    relay = StoreRelay(
        lambda peer, message: sent.append((peer, message.echo_ms)) or True, StoreAvailability()
    )
    relay.set_role(["b", "c"], is_relay=True)
    for at_ms in range(0, 1000, 50):
        relay.record_timestamp("b", float(at_ms), 7_000 + at_ms)
    relay.forward("control", ChangePage([], 0, 0, 420.0), after_outage=False)
    assert sent == [("b", 7_400), ("c", -1)]


@pytest.mark.parametrize(("is_candidate", "head_start_ms"), [(True, 0.0), (False, 800.0)])
def test_a_router_reads_the_store_itself_while_relayed_pages_are_old(is_candidate, head_start_ms):
    """A relay short of CPU time forwarded pages often, but all of them late."""
    relay, availability = relay_and_availability()
    follower = TopicFollower(Topic(), Sink(), TIMES, relay, availability)
    follower._offset = 0
    relay.set_role([], is_relay=False, is_candidate=is_candidate)
    old_ms = int(clock_ms() - TIMES.silence_ms - head_start_ms)
    relay.receive(evolve(relayed_page(0, ["a"]), echo_ms=old_ms))
    assert not relay.is_fresh("control")
    relay.receive(evolve(relayed_page(1, ["b"]), echo_ms=-1))
    assert not relay.is_fresh("control")
    relay.receive(evolve(relayed_page(2, ["c"]), echo_ms=int(clock_ms())))
    assert relay.is_fresh("control")


def test_the_first_read_after_a_failure_is_no_long_poll():
    """A long poll after an outage delayed the proof, and keys were refused for seconds more."""
    waits = []

    class Failing(Topic):
        async def since(self, offset, wait_ms):
            waits.append(wait_ms)
            if len(waits) == 1:
                raise StoreError("time-out")
            return await super().since(offset, wait_ms)

    async def scenario():
        follower = TopicFollower(Failing(), Sink(), TIMES, *relay_and_availability())
        task = asyncio.create_task(follower.follow())
        while len(waits) < 3:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
    assert waits[:3] == [TIMES.wait_ms, 0, TIMES.wait_ms]


def test_only_the_relay_of_a_zone_reads_the_store():
    async def scenario():
        async with small_world(routers=3) as world:

            async def linked():
                return all(router.fleet_size() == 3 for router in world.routers)

            await world.until(linked)
            await asyncio.sleep(0.6)
            world.store.calls.clear()
            await asyncio.sleep(1.5)
            # In 1.5 s a router makes 10 long polls, 38 polls of the servers and 8 of the members.
            assert world.store.calls["read"] < 2 * (10 + 38 + 8)
            assert "newest" not in world.store.calls
            world.configure(version=2, tenants=[{"name": "banksia", "apiKeys": ["new"]}])
            await asyncio.sleep(0.3)
            for index in range(3):
                assert (await world.call("/book/1", router=index, key="new")).status == 200
                assert (await world.call("/book/1", router=index, key=KEY)).status == 401

    asyncio.run(scenario())


def test_routers_read_the_store_themselves_when_it_is_unreachable_for_their_relay():
    async def scenario():
        async with small_world(routers=0, timing=TIGHT) as world:
            names = rank("relay/zone-a", ["a-1", "a-2", "a-3"])
            for name in names:
                await world.add_router(name, timing=TIGHT, bounds=STRICT)

            async def linked():
                return all(router.fleet_size() == 3 for router in world.routers)

            await world.until(linked)
            await asyncio.sleep(0.5)
            world.cut_from_store(0)
            world.configure(version=2, tenants=[{"name": "banksia", "apiKeys": ["new"]}])
            await asyncio.sleep(0.9)
            for index in range(3):
                assert (await world.call("/book/1", router=index, key="new")).status == 200
                assert (await world.call("/book/1", router=index)).status == 401
            for index in (1, 2):
                world.cut_from_store(index)
            await asyncio.sleep(1.2)
            for index in range(3):
                assert (await world.call("/book/1", router=index, key="new")).status == 503

    asyncio.run(scenario())


def test_all_routers_of_a_zone_refuse_keys_in_time_without_the_store():
    async def scenario():
        async with small_world(routers=3, timing=TIGHT, bounds=STRICT) as world:
            await asyncio.sleep(0.5)
            world.store.fault = "silent"
            for channel in world.store.channels:
                channel.abort()
            await asyncio.sleep(0.9)
            for index in range(3):
                assert (await world.call("/book/1", router=index)).status == 503
            world.store.fault = ""
            for index in range(3):
                await world.until(lambda index=index: world.is_ready(index))

    asyncio.run(scenario())

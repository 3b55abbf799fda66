"""One router of a zone reads the store for the others, and nobody depends on it."""

import asyncio
import json

import pytest
from attrs import evolve
from edge_world import ENTRY, FAST, KEY, SETTINGS, small_world

from cicadaledge.edge import (
    BoundSettings,
    ChangePage,
    ControlPlaneState,
    PollTiming,
    ServerChanged,
    ServerRemoved,
    StoreAvailability,
    StoreError,
    StoreRelay,
    TopicFollower,
    ZoneChanged,
    clock_ms,
)
from cicadaledge.membership import rank
from cicadaledge.wire import StoreNews

STRICT = BoundSettings(grace_ms=3_000, revoke_ms=900)
TIGHT = evolve(FAST, revoke_margin_ms=100)
TIMES = PollTiming(wait_ms=100, pause_ms=10, silence_ms=200)


class Topic:
    """A topic whose records are JSON lists of zone and state."""

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
    """Notes what it is told."""

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


def news_and_reach():
    reach = StoreAvailability()
    return StoreRelay(lambda peer, news: True, reach), reach


def follower_at(offset):
    sink = Sink()
    follower = TopicFollower(Topic(), sink, TIMES, *news_and_reach())
    follower._offset = offset
    return follower, sink


def news_of(first, zones, *, after_outage=False):
    records = json.dumps([[zone, True] for zone in zones]).encode()
    return StoreNews("control", first, first + len(zones), records, 5, after_outage)


def test_a_relayed_page_is_taken_over_once():
    follower, sink = follower_at(3)
    assert follower.apply_relayed(news_of(3, ["a", "b"]), 50.0)
    assert follower.apply_relayed(news_of(3, ["a", "b"]), 60.0)
    assert sink.zones == ["a", "b"]
    assert sink.proofs == [50.0, 60.0]


def test_a_page_behind_a_gap_or_across_the_offset_is_not_taken_over():
    follower, sink = follower_at(3)
    assert not follower.apply_relayed(news_of(4, ["b"]), 50.0)
    assert not follower.apply_relayed(news_of(2, ["x", "a"]), 50.0)
    assert (sink.zones, sink.proofs) == ([], [])


def test_a_relay_that_lags_behind_proves_nothing():
    follower, sink = follower_at(3)
    assert follower.apply_relayed(news_of(1, ["x"]), 50.0)
    assert (sink.zones, sink.proofs) == ([], [])


def test_removals_after_an_outage_of_the_relay_are_put_off():
    follower, sink = follower_at(0)
    follower.apply_relayed(news_of(0, ["a"], after_outage=True), 50.0)
    assert len(sink.outages) == 1


def test_a_router_that_read_for_itself_meanwhile_had_no_outage():
    """Removals were put off at all routers of a zone when only their relay was turned away."""
    follower, sink = follower_at(0)
    follower.apply_relayed(news_of(0, ["a"]), 50.0)
    follower.apply_relayed(news_of(1, ["b"], after_outage=True), 60.0)
    assert sink.outages[0] < SETTINGS.timing.lapse_outage_ms
    beliefs = ControlPlaneState(SETTINGS)
    beliefs.apply(ServerChanged(ENTRY), 0.0)
    beliefs.on_store_recovered(sink.outages[0], 100.0)
    beliefs.apply(ServerRemoved(ENTRY.server), 200.0)
    assert list(beliefs.directory.usable("desk")) == []


def test_news_return_the_newest_stamp_heard_before_the_page_was_current():
    sent = []
    news = StoreRelay(
        lambda peer, message: sent.append((peer, message.echo_ms)) or True, StoreAvailability()
    )
    news.set_role(["b", "c"], is_relay=True)
    for at_ms in range(0, 1000, 50):
        news.record_timestamp("b", float(at_ms), 7_000 + at_ms)
    news.forward("control", ChangePage([], 0, 0, 420.0), after_outage=False)
    assert sent == [("b", 7_400), ("c", -1)]


@pytest.mark.parametrize(("is_candidate", "patience_ms"), [(True, 0.0), (False, 800.0)])
def test_old_news_do_not_keep_a_router_from_reading_for_itself(is_candidate, patience_ms):
    """A relay short of processor time passed pages on often, and all of them late."""
    news, reach = news_and_reach()
    follower = TopicFollower(Topic(), Sink(), TIMES, news, reach)
    follower._offset = 0
    news.set_role([], is_relay=False, is_candidate=is_candidate)
    old_ms = int(clock_ms() - TIMES.silence_ms - patience_ms)
    news.receive(evolve(news_of(0, ["a"]), echo_ms=old_ms))
    assert not news.is_fresh("control")
    news.receive(evolve(news_of(1, ["b"]), echo_ms=-1))
    assert not news.is_fresh("control")
    news.receive(evolve(news_of(2, ["c"]), echo_ms=int(clock_ms())))
    assert news.is_fresh("control")


def test_the_first_read_after_a_failure_does_not_wait_for_a_change():
    """Keys were refused for seconds after the store was back."""
    waits = []

    class Failing(Topic):
        async def since(self, offset, wait_ms):
            waits.append(wait_ms)
            if len(waits) == 1:
                raise StoreError("time-out")
            return await super().since(offset, wait_ms)

    async def play():
        follower = TopicFollower(Failing(), Sink(), TIMES, *news_and_reach())
        task = asyncio.create_task(follower.follow())
        while len(waits) < 3:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(play())
    assert waits[:3] == [TIMES.wait_ms, 0, TIMES.wait_ms]


def test_one_router_of_a_zone_reads_for_the_others():
    async def play():
        async with small_world(routers=3) as world:

            async def linked():
                return all(router.fleet_size() == 3 for router in world.routers)

            await world.until(linked)
            await asyncio.sleep(0.6)
            world.store.calls.clear()
            await asyncio.sleep(1.5)
            # 1.5 s hold ten waiting reads, 38 polls of the servers and 8 of the members.
            assert world.store.calls["read"] < 2 * (10 + 38 + 8)
            assert "newest" not in world.store.calls
            world.configure(version=2, tenants=[{"name": "banksia", "apiKeys": ["new"]}])
            await asyncio.sleep(0.3)
            for place in range(3):
                assert (await world.call("/book/1", place=place, key="new")).status == 200
                assert (await world.call("/book/1", place=place, key=KEY)).status == 401

    asyncio.run(play())


def test_routers_read_for_themselves_when_their_relay_is_cut_off_from_the_store():
    async def play():
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
            for place in range(3):
                assert (await world.call("/book/1", place=place, key="new")).status == 200
                assert (await world.call("/book/1", place=place)).status == 401
            for place in (1, 2):
                world.cut_from_store(place)
            await asyncio.sleep(1.2)
            for place in range(3):
                assert (await world.call("/book/1", place=place, key="new")).status == 503

    asyncio.run(play())


def test_all_routers_of_a_zone_refuse_keys_in_time_without_the_store():
    async def play():
        async with small_world(routers=3, timing=TIGHT, bounds=STRICT) as world:
            await asyncio.sleep(0.5)
            world.store.fault = "silent"
            for channel in world.store.channels:
                channel.abort()
            await asyncio.sleep(0.9)
            for place in range(3):
                assert (await world.call("/book/1", place=place)).status == 503
            world.store.fault = ""
            for place in range(3):
                await world.until(lambda place=place: world.is_ready(place))

    asyncio.run(play())

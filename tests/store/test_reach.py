"""Load on the store during an outage, and the recovery of routers after it."""

import asyncio

from cicadaledge.clock import clock_ms
from cicadaledge.store import (
    ChangePage,
    PollTiming,
    StoreAvailability,
    StoreError,
    StoreRelay,
    TopicFollower,
)

OUTAGE_S = 3.0
TIMES = PollTiming(wait_ms=0, pause_ms=50, silence_ms=200)


class Store:
    """A store that refuses each call while it is down."""

    def __init__(self):
        self.down = False
        self.calls = 0

    async def answer(self):
        self.calls += 1
        if self.down:
            raise StoreError("down")
        return ChangePage([], 0, 0, clock_ms(), b"")


class Topic:
    def __init__(self, name, store):
        self.name = name
        self._store = store

    async def newest(self):
        return await self._store.answer()

    async def since(self, offset, wait_ms):
        return await self._store.answer()


class Sink:
    def __init__(self):
        self.outages_ms = []
        self.read_ms = 0.0

    def apply(self, change, now_ms):
        pass

    def on_complete_read(self, changes, now_ms):
        pass

    def record_proof(self, proof_ms, now_ms):
        self.read_ms = now_ms

    def on_store_recovered(self, away_ms, now_ms):
        self.outages_ms.append(away_ms)


def simulate_outage(*, reads_for_zone):
    """Return the calls during an outage, the time until all topics were read again, and the sinks."""
    store = Store()
    sinks = [Sink() for _ in range(3)]

    async def scenario():
        availability = StoreAvailability()
        relay = StoreRelay(lambda peer, message: True, availability)
        relay.set_role([], is_relay=reads_for_zone, is_candidate=reads_for_zone)
        followers = [
            TopicFollower(Topic(f"topic-{index}", store), sink, TIMES, relay, availability)
            for index, sink in enumerate(sinks)
        ]
        tasks = [asyncio.create_task(one.follow()) for one in followers]
        await asyncio.sleep(0.3)
        store.down, store.calls = True, 0
        await asyncio.sleep(OUTAGE_S)
        calls, store.down = store.calls, False
        recovered_ms = clock_ms()
        while any(sink.read_ms < recovered_ms for sink in sinks):
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        return calls, clock_ms() - recovered_ms

    return *asyncio.run(scenario()), sinks


def test_one_topic_retries_during_an_outage_and_ends_it_for_all_topics():
    calls, recovery_ms, sinks = simulate_outage(reads_for_zone=True)
    # All three topics may fail once. Then only one retries; after four failures, every half second.
    assert calls <= 3 + 3 + OUTAGE_S / 0.5
    assert recovery_ms < 1_000
    assert all(len(sink.outages_ms) == 1 for sink in sinks)
    assert all(sink.outages_ms[0] > OUTAGE_S * 900 for sink in sinks)


def test_a_router_that_does_not_read_for_its_zone_backs_off():
    calls, recovery_ms, _ = simulate_outage(reads_for_zone=False)
    assert calls <= 3 + 3 + 3
    assert recovery_ms < 3_000


def test_a_relay_without_the_store_uses_pages_of_a_router_that_can_read_it():
    availability = StoreAvailability()
    relay = StoreRelay(lambda peer, message: True, availability)
    relay.set_role(["peer"], is_relay=True, is_candidate=True)
    relay._extend_freshness("control", clock_ms() + 1_000)
    assert not relay.is_fresh("control")
    availability.record_failure("control")
    assert relay.is_fresh("control")
    availability.record_success()
    assert not relay.is_fresh("control")


def test_a_relay_candidate_forwards_the_pages_that_it_reads():
    sent = []
    relay = StoreRelay(lambda peer, message: sent.append(peer) or True, StoreAvailability())
    page = ChangePage([], 0, 0, clock_ms(), b"")
    relay.set_role(["peer"], is_relay=False, is_candidate=False)
    relay.forward("control", page, after_outage=False)
    assert sent == []
    relay.set_role(["peer"], is_relay=False, is_candidate=True)
    relay.forward("control", page, after_outage=False)
    assert sent == ["peer"]

"""An outage of the store, as the store sees it."""

import asyncio

from cicadaledge.edge import (
    ChangePage,
    PollTiming,
    StoreAvailability,
    StoreError,
    StoreRelay,
    TopicFollower,
    clock_ms,
)

SECONDS = 3.0
TIMES = PollTiming(wait_ms=0, pause_ms=50, silence_ms=200)


class Store:
    """Refuses each call while it is down."""

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


def play_outage(*, reads_for_zone):
    """Return the calls while the store is down, the sinks, and how soon all had read again."""
    store = Store()
    sinks = [Sink() for _ in range(3)]

    async def play():
        reach = StoreAvailability()
        news = StoreRelay(lambda peer, message: True, reach)
        news.set_role([], is_relay=reads_for_zone, is_candidate=reads_for_zone)
        followers = [
            TopicFollower(Topic(f"topic-{place}", store), sink, TIMES, news, reach)
            for place, sink in enumerate(sinks)
        ]
        tasks = [asyncio.create_task(one.follow()) for one in followers]
        await asyncio.sleep(0.3)
        store.down, store.calls = True, 0
        await asyncio.sleep(SECONDS)
        calls, store.down = store.calls, False
        back_ms = clock_ms()
        while any(sink.read_ms < back_ms for sink in sinks):
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        return calls, clock_ms() - back_ms

    return *asyncio.run(play()), sinks


def test_one_topic_of_a_router_tries_a_store_that_is_away_and_ends_the_outage_for_all():
    calls, back_ms, sinks = play_outage(reads_for_zone=True)
    # Three topics may fail at once, then one goes on, each half second after four tries.
    assert calls <= 3 + 3 + SECONDS / 0.5
    assert back_ms < 1_000
    assert all(len(sink.outages_ms) == 1 for sink in sinks)
    assert all(sink.outages_ms[0] > SECONDS * 900 for sink in sinks)


def test_a_router_that_nobody_waits_for_tries_ever_more_seldom():
    calls, back_ms, _ = play_outage(reads_for_zone=False)
    assert calls <= 3 + 3 + 3
    assert back_ms < 3_000


def test_a_router_that_the_store_turns_away_follows_one_that_it_serves():
    reach = StoreAvailability()
    news = StoreRelay(lambda peer, message: True, reach)
    news.set_role(["peer"], is_relay=True, is_candidate=True)
    news._extend_freshness("control", clock_ms() + 1_000)
    assert not news.is_fresh("control")
    reach.record_failure("control")
    assert news.is_fresh("control")
    reach.record_success()
    assert not news.is_fresh("control")


def test_a_router_that_may_become_relay_passes_on_what_it_reads():
    sent = []
    news = StoreRelay(lambda peer, message: sent.append(peer) or True, StoreAvailability())
    page = ChangePage([], 0, 0, clock_ms(), b"")
    news.set_role(["peer"], is_relay=False, is_candidate=False)
    news.forward("control", page, after_outage=False)
    assert sent == []
    news.set_role(["peer"], is_relay=False, is_candidate=True)
    news.forward("control", page, after_outage=False)
    assert sent == ["peer"]

"""How a topic of the store is read."""

import asyncio

from cicadaledge.edge import (
    ChangePage,
    PollTiming,
    StoreAvailability,
    StoreRelay,
    TopicFollower,
    _follow,
    clock_ms,
)

TIMES = PollTiming(wait_ms=50, pause_ms=5, silence_ms=200, first_pauses_ms=(300.0,))

TIMER_MS = 2.0  # the loop counts whole milliseconds


class Topic:
    """A topic that never changes; its pages prove what held when they were asked for."""

    name = "control"

    def __init__(self, clock=clock_ms):
        self._clock = clock
        self.waits_ms = []
        self.read_ms = []

    async def newest(self):
        self.read_ms.append(clock_ms())
        return ChangePage([], 0, 0, self._clock())

    async def since(self, offset, wait_ms):
        self.read_ms.append(clock_ms())
        self.waits_ms.append(wait_ms)
        asked_ms = self._clock()
        await asyncio.sleep(wait_ms / 1000)
        return ChangePage([], offset, offset, asked_ms, b"")


class Sink:
    def apply(self, change, now_ms):
        pass

    def on_complete_read(self, changes, now_ms):
        pass

    def record_proof(self, proof_ms, now_ms):
        pass


def follow(topic, until):
    async def play():
        reach = StoreAvailability()
        news = StoreRelay(lambda peer, news: True, reach)
        follower = TopicFollower(topic, Sink(), TIMES, news, reach)
        task = asyncio.create_task(follower.follow())
        await until()
        task.cancel()

    asyncio.run(play())


def test_a_router_that_was_held_asks_for_a_proof_at_once_in_place_of_waiting_for_a_change(
    monkeypatch,
):
    held_ms = [0.0]

    def clock():
        return clock_ms() + held_ms[0]

    monkeypatch.setattr(_follow, "clock_ms", clock)
    topic = Topic(clock)

    async def hold():
        while len(topic.waits_ms) < 2:
            await asyncio.sleep(0.01)
        held_ms[0] = 3_500.0
        while len(topic.waits_ms) < 4:
            await asyncio.sleep(0.01)

    follow(topic, hold)
    assert topic.waits_ms[1:4] == [TIMES.wait_ms, 0, TIMES.wait_ms]


def test_a_router_that_has_started_leaves_the_relay_time_to_read_for_it():
    topic = Topic()
    follow(topic, lambda: asyncio.sleep(0.25))
    assert len(topic.read_ms) == 1
    topic = Topic()
    follow(topic, lambda: asyncio.sleep(0.6))
    assert topic.read_ms[1] - topic.read_ms[0] >= 300.0 - TIMER_MS
    assert len(topic.read_ms) > 2

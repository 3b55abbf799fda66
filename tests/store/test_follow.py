"""Timing of a follower's reads of the store."""

import asyncio

from cicadaledge.clock import clock_ms
from cicadaledge.store import (
    ChangePage,
    PollTiming,
    StoreAvailability,
    StoreRelay,
    TopicFollower,
    _follow,
)

TIMES = PollTiming(wait_ms=50, pause_ms=5, silence_ms=200, first_pauses_ms=(300.0,))

# The event loop's timers have whole milliseconds, so a measured pause may be shorter than the
# configured one by up to this.
TIMER_RESOLUTION_MS = 2.0


class Topic:
    """A topic that never changes; its pages are current as of the time of the request."""

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
        requested_ms = self._clock()
        await asyncio.sleep(wait_ms / 1000)
        return ChangePage([], offset, offset, requested_ms, b"")


class Sink:
    def apply(self, change, now_ms):
        pass

    def on_complete_read(self, changes, now_ms):
        pass

    def record_proof(self, proof_ms, now_ms):
        pass


def follow(topic, until):
    async def scenario():
        availability = StoreAvailability()
        relay = StoreRelay(lambda peer, message: True, availability)
        follower = TopicFollower(topic, Sink(), TIMES, relay, availability)
        task = asyncio.create_task(follower.follow())
        await until()
        task.cancel()

    asyncio.run(scenario())


def test_after_a_process_pause_the_first_read_is_no_long_poll(
    monkeypatch,
):
    paused_ms = [0.0]

    def clock():
        return clock_ms() + paused_ms[0]

    monkeypatch.setattr(_follow, "clock_ms", clock)
    topic = Topic(clock)

    async def pause():
        while len(topic.waits_ms) < 2:
            await asyncio.sleep(0.01)
        paused_ms[0] = 3_500.0
        while len(topic.waits_ms) < 4:
            await asyncio.sleep(0.01)

    follow(topic, pause)
    assert topic.waits_ms[1:4] == [TIMES.wait_ms, 0, TIMES.wait_ms]


def test_a_started_router_waits_for_the_relay_before_it_reads_again():
    topic = Topic()
    follow(topic, lambda: asyncio.sleep(0.25))
    assert len(topic.read_ms) == 1
    topic = Topic()
    follow(topic, lambda: asyncio.sleep(0.6))
    assert topic.read_ms[1] - topic.read_ms[0] >= 300.0 - TIMER_RESOLUTION_MS
    assert len(topic.read_ms) > 2

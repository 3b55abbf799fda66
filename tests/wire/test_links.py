"""Tests of links between routers over connections with latency."""

import asyncio

import pytest
import uvloop

from cicadaledge.settings import Address
from cicadaledge.soak import FaultProxy
from cicadaledge.wire import LoadView, PeerLinks, ViewScope

HOST = "127.0.0.1"


class Peer:
    """Links of one router behind a proxy that adds latency between regions."""

    def __init__(self, name):
        self.name = name
        self.received = []
        self.ups = 0
        self.links = PeerLinks(name, 1, "key", self.on_message, self.on_up, lambda peer: None)

    def on_message(self, peer, message):
        self.received.append(message.sent_ms)

    def on_up(self, peer, incarnation):
        self.ups += 1

    async def start(self, delay_ms):
        await self.links.listen(HOST, 0)
        port = self.links._listener.port
        self.proxy = FaultProxy(Address(HOST, port))
        self.proxy.delay_ms = delay_ms
        await self.proxy.start()


LOOPS = [uvloop.new_event_loop, asyncio.SelectorEventLoop]


@pytest.mark.parametrize("loop", LOOPS)
def test_closing_links_logs_no_traceback_of_cancelled_tasks(loop):
    """Otherwise a router that stops at its deadline logs a traceback for each accepted link."""
    logged = []

    async def scenario():
        asyncio.get_running_loop().set_exception_handler(lambda _, context: logged.append(context))
        first, second = (PeerLinks(name, 1, "key", *[lambda *_: None] * 3) for name in "ab")
        await second.listen(HOST, 0)
        first.dial(HOST, second._listener.port)
        async with asyncio.timeout(5.0):
            while not (first.peers() and second.peers()):
                await asyncio.sleep(0.01)
        # The data exceeds the peer's buffers, so that the transport stays open after close().
        second._links["a"].writer.write(b"-" * 8_000_000)
        await second.close()
        assert not second.peers()
        assert second._accepted == set()
        await first.close()
        assert asyncio.all_tasks() == {asyncio.current_task()}

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(scenario())
    assert logged == []


# Guards against links that outlive their router, and processes that do not end: a task that was
# cancelled in the turn of the loop in which its handshake or connection was complete went on.
@pytest.mark.parametrize("step", ["open_connection", "_handshake"])
@pytest.mark.parametrize("loop", LOOPS)
def test_a_dialer_that_is_cancelled_as_a_step_completes_ends(loop, step, monkeypatch):
    async def scenario():
        first, second = (PeerLinks(name, 1, "key", *[lambda *_: None] * 3) for name in "ab")
        await second.listen(HOST, 0)
        owner = asyncio if step == "open_connection" else first
        complete = getattr(owner, step)
        cancelled = []

        async def complete_and_cancel(*args, **kwargs):
            result = await complete(*args, **kwargs)
            if not cancelled:
                dialer = first._dialers[HOST, second._listener.port]
                cancelled.append(dialer)
                asyncio.get_running_loop().call_soon(dialer.cancel)
            return result

        monkeypatch.setattr(owner, step, complete_and_cancel)
        first.dial(HOST, second._listener.port)
        async with asyncio.timeout(5.0):
            while not cancelled:
                await asyncio.sleep(0.01)
        ended, _ = await asyncio.wait(cancelled, timeout=2.0)
        assert len(ended) == 1
        await first.close()
        await second.close()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(scenario())


@pytest.mark.parametrize("second_after_s", [0.0, 0.03, 0.1])
def test_links_dialed_from_both_sides_are_reduced_to_one(second_after_s):
    async def scenario():
        first, second = Peer("a"), Peer("b")
        await first.start(30.0)
        await second.start(30.0)
        first.links.dial(HOST, second.proxy.port)
        await asyncio.sleep(second_after_s)
        second.links.dial(HOST, first.proxy.port)
        await asyncio.sleep(1.0)
        assert first.ups <= 2 and second.ups <= 2
        for number in range(20):
            view = LoadView(number, int(ViewScope.NOBODY), 0, False, [], [])
            assert first.links.send("b", view)
            assert second.links.send("a", view)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        assert first.received == second.received == list(range(20))
        for peer in (first, second):
            await peer.links.close()
            await peer.proxy.stop()

    asyncio.run(scenario())

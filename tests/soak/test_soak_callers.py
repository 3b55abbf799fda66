"""Callers record when connections end, so that their own delays are not blamed on routers."""

import asyncio
import socket
import time
from types import SimpleNamespace

from cicadaledge.settings import Address
from cicadaledge.soak import Callers, Observations, SoakBounds


def closed_request(end_connection):
    """Return the observations of one request whose router reads it and ends the connection."""

    async def play():
        async def serve(reader, writer):
            await reader.readuntil(b"}")
            await end_connection(writer.get_extra_info("socket"))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        router = SimpleNamespace(callers=Address(*server.sockets[0].getsockname()))
        observations = Observations(SoakBounds(), {"key-of-banksia": "banksia"})
        size = SimpleNamespace(callers=0)
        callers = Callers(
            SimpleNamespace(routers={"r": router}, observations=observations, size=size), seed=1
        )
        callers.start()
        callers.burst("r", 1)
        while not observations.sent or next(iter(observations.sent.values())).ended_ms is None:
            await asyncio.sleep(0.01)
        await callers.stop()
        server.close()
        return observations

    return asyncio.run(play())


def test_a_connection_that_is_closed_late_counts_as_open_until_then():
    async def late(sock):
        await asyncio.sleep(0.4)
        sock.shutdown(socket.SHUT_WR)

    (line,) = closed_request(late).violations()
    assert line.startswith("lost: s1-0 of r ended without an answer")


def test_a_late_event_loop_of_the_callers_is_not_blamed_on_the_router():
    async def busy_afterwards(sock):
        sock.shutdown(socket.SHUT_WR)
        time.sleep(0.4)

    observations = closed_request(busy_afterwards)
    (sent,) = observations.sent.values()
    assert sent.ended_ms - sent.sent_ms > 390.0
    assert observations.violations() == []

"""Base class of asyncio stand-ins that serve HTTP."""

import asyncio
import socket

import pytest
import uvloop

from cicadaledge.standins import PlatformBackend

# An event loop needs fewer iterations than this to set up a connection that the kernel has accepted.
SETUP_ITERATIONS = 8


@pytest.mark.parametrize("iterations", range(SETUP_ITERATIONS))
def test_a_connection_that_is_set_up_during_a_stop_is_reset(iterations):
    """A server that "crashed" went on to answer a request that had reached it just before."""

    async def scenario():
        server = PlatformBackend("desk-0", "desk", "zone-a")
        await server.start()
        with socket.create_connection(("127.0.0.1", server.port)) as sock:
            sock.sendall(b"GET /look/1 HTTP/1.1\r\nHost: x\r\n\r\n")
            sock.setblocking(False)
            for _ in range(iterations):
                await asyncio.sleep(0)
            await server.stop()
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(1.0):
                    while await asyncio.get_running_loop().sock_recv(sock, 1_024):
                        pass
                    raise AssertionError("the connection was closed in an orderly way")

    # As in the tests of routers. The loop of CPython 3.11 itself loses such a connection: its
    # transport fails to attach to the closed server, and the socket stays open until it is collected.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())

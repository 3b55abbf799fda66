"""Answers that are no sound answer to a request that the server has not read in full."""

import asyncio
import socket

import pytest
from edge_world import HOST, small_world

from cicadaledge.edge._channel import reset_on_close
from cicadaledge.standins import BackendFaults

BODY = b"x" * 3_000_000
LIMITS = {"maxBodyBytes": 4_194_304, "tokensPerS": 225_000}
# The server's kernel takes this much of a request that the server does not read.
RECEIVE_BYTES = 65_536
RESET_AFTER_S = 0.2
ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\n"
LENGTH = b"Content-Length: 5\r\n\r\nwhole"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
PLAIN = pytest.mark.parametrize("target", ["/book/1", "/look/1"], ids=["unsafe", "safe"])


class EarlyServer:
    """Answers as soon as it has the head of a request, and reads nothing more.

    Args:
        answer: What it sends after the first lines of the head.
        ends: Whether it ends its sending in an orderly way.
        resets: Whether it resets the connection afterwards.
        reads_body: Whether it reads the body after it has answered.
    """

    def __init__(self, answer, *, ends=True, resets=False, reads_body=False):
        self.connections = 0
        self.received_bytes = 0
        self._answer, self._ends, self._resets = answer, ends, resets
        self._reads_body = reads_body
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self._sock.bind((HOST, 0))
        self._sock.listen()
        self._sock.setblocking(False)
        self.address = f"{HOST}:{self._sock.getsockname()[1]}"

    async def run(self):
        """Serve until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.TaskGroup() as tasks:
                while True:
                    sock, _ = await loop.sock_accept(self._sock)
                    self.connections += 1
                    tasks.create_task(self._serve(sock))
        finally:
            self._sock.close()

    async def _serve(self, sock):
        loop = asyncio.get_running_loop()
        with sock:
            sock.setblocking(False)
            head = b""
            while b"\r\n\r\n" not in head:
                data = await loop.sock_recv(sock, 1_024)
                if not data:
                    return
                head += data
            request_id = head.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
            await loop.sock_sendall(sock, ANSWER % request_id + self._answer)
            while self._reads_body and (data := await loop.sock_recv(sock, 65_536)):
                self.received_bytes += len(data)
            if self._ends:
                sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(RESET_AFTER_S if self._resets else 30.0)
            reset_on_close(sock)


async def call_early_server(server, target, body=BODY):
    """Return the answer to a request that the server answers early."""
    async with small_world(pools=0) as world:
        world.configure(version=2, limits=LIMITS)
        runner = world.runners[0]
        heartbeat = {**runner.heartbeat(), "address": server.address, "seqNo": 1_000_000}
        world.store.put("keyed.servers", runner.instance, heartbeat)
        running = asyncio.create_task(server.run())
        try:
            router = world.routers[0]
            port = int(server.address.rpartition(":")[2])

            async def is_moved():
                entries = router._control_state.directory.usable("desk")
                is_read = router._control_state.table.version == 2
                return is_read and [entry.port for entry in entries] == [port]

            await world.until(is_moved)
            return await world.call(target, body=body, headers={"Deadline-Ms": "3000"})
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


# Guards against a part of an answer that a caller takes for the whole of it.
@PLAIN
@pytest.mark.parametrize("resets", [True, False], ids=["reset", "no reset"])
def test_an_answer_without_framing_to_a_request_not_written_in_full_is_not_passed_on(
    target, resets
):
    server = EarlyServer(b"\r\npart of an answer", resets=resets)
    answer = asyncio.run(call_early_server(server, target))
    assert answer.status == 502
    assert b"may_have_run" in answer.body


def test_a_request_that_may_have_run_is_not_sent_again_after_half_an_answer():
    server = EarlyServer(b"\r\npart of an answer", resets=True)
    asyncio.run(call_early_server(server, "/book/1"))
    assert server.connections == 1


@PLAIN
def test_an_answer_without_framing_to_a_request_written_in_full_is_passed_on(target):
    server = EarlyServer(b"\r\nwhole")
    answer = asyncio.run(call_early_server(server, target, body=b"{}"))
    assert (answer.status, answer.body, answer.complete) == (200, b"whole", True)


@PLAIN
@pytest.mark.parametrize("framed", [LENGTH, CHUNKS], ids=["length", "chunks"])
@pytest.mark.parametrize("resets", [True, False], ids=["reset", "no reset"])
def test_an_early_whole_answer_is_passed_on(target, framed, resets):
    server = EarlyServer(framed, ends=False, resets=resets)
    answer = asyncio.run(call_early_server(server, target))
    assert (answer.status, answer.body, answer.complete) == (200, b"whole", True)


@pytest.mark.parametrize("status", [b"000", b"099", b"199", b"600", b"999", b"20", b"2000", b"abc"])
@PLAIN
def test_a_status_that_no_answer_has_is_not_passed_on(target, status):
    async def play():
        async with small_world() as world:
            raw = b"HTTP/1.1 %b Odd\r\nAttempt-Id: mine\r\n" % status + LENGTH
            world.runners[0].faults = BackendFaults(raw=raw)
            answer = await world.call(target, headers={"Attempt-Id": "mine"})
            assert answer.status == 502
            assert b"may_have_run" in answer.body

    asyncio.run(play())

"""Opens connections, in time by the kernel's account also where the process is late."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

from cicadaledge.edge._channel import Channel
from cicadaledge.wire import is_writable

_NUMERIC = socket.AI_NUMERICHOST | socket.AI_NUMERICSERV


async def connect(host: str, port: int, timeout_ms: float) -> Channel:
    """Return a channel to an address.

    Raises:
        OSError: The peer refused, or did not accept within *timeout_ms*.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_ms / 1000
    try:
        async with asyncio.timeout_at(end_s):
            family, address = await _resolve(host, port)
    except TimeoutError as error:
        raise OSError(f"{host} was not looked up in {timeout_ms:.0f} ms") from error
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if not await _reach(sock, address, end_s):
            raise OSError(f"{host}:{port} did not accept a connection in {timeout_ms:.0f} ms")
        _, channel = await loop.create_connection(Channel, sock=sock)
    except BaseException:
        sock.close()
        raise
    return channel


async def _resolve(host: str, port: int) -> tuple[int, tuple[str, int]]:
    """Return family and address; numbers take no turn of the loop."""
    try:
        found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=_NUMERIC)
    except socket.gaierror:
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    family, _, _, _, address = found[0]
    return family, (str(address[0]), int(address[1]))


async def _reach(sock: socket.socket, address: tuple[str, int], end_s: float) -> bool:
    """Connect a socket; return whether the peer has accepted until a time of the loop."""
    number = sock.connect_ex(address)
    if number == errno.EINPROGRESS:
        await _wait_for_end(sock, end_s)
        # After a long turn the timer can fire before the loop has seen the end.
        if not is_writable(sock.fileno()):
            return False
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if number:
        raise OSError(number, os.strerror(number))
    return True


async def _wait_for_end(sock: socket.socket, end_s: float) -> None:
    """Return when the peer has accepted or refused, or at a time of the loop."""
    loop = asyncio.get_running_loop()
    ended = loop.create_future()

    def wake() -> None:
        if not ended.done():
            ended.set_result(None)

    loop.add_writer(sock, wake)
    timer = loop.call_at(end_s, wake)
    try:
        await ended
    finally:
        timer.cancel()
        loop.remove_writer(sock)

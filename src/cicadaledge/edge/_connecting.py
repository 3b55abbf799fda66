"""Opens connections; a connection made in time counts even if the event loop notices it late."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

from cicadaledge.edge._channel import Channel
from cicadaledge.wire import is_writable

_NUMERIC = socket.AI_NUMERICHOST | socket.AI_NUMERICSERV


async def connect(host: str, port: int, timeout_ms: float) -> Channel:
    """Return a channel connected to an address.

    Raises:
        OSError: The name was not resolved, or the peer refused or did not accept the connection,
            within *timeout_ms*.
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
        if not await _connect_until(sock, address, end_s):
            raise OSError(f"{host}:{port} did not accept a connection in {timeout_ms:.0f} ms")
        _, channel = await loop.create_connection(Channel, sock=sock)
    except BaseException:
        sock.close()
        raise
    return channel


async def _resolve(host: str, port: int) -> tuple[int, tuple[str, int]]:
    """Return address family and address; numeric addresses are resolved without waiting."""
    try:
        found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=_NUMERIC)
    except socket.gaierror:
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    family, _, _, _, address = found[0]
    return family, (str(address[0]), int(address[1]))


async def _connect_until(sock: socket.socket, address: tuple[str, int], end_s: float) -> bool:
    """Connect a socket; return whether the peer accepted before a time of the loop's clock."""
    error_number = sock.connect_ex(address)
    if error_number == errno.EINPROGRESS:
        await _wait_until_writable(sock, end_s)
        # After a long loop iteration, the timer can fire before the loop sees the connection.
        if not is_writable(sock.fileno()):
            return False
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        raise OSError(error_number, os.strerror(error_number))
    return True


async def _wait_until_writable(sock: socket.socket, end_s: float) -> None:
    """Wait until the peer accepted or refused, or until a time of the loop's clock."""
    loop = asyncio.get_running_loop()
    finished = loop.create_future()

    def wake() -> None:
        if not finished.done():
            finished.set_result(None)

    loop.add_writer(sock, wake)
    timer = loop.call_at(end_s, wake)
    try:
        await finished
    finally:
        timer.cancel()
        loop.remove_writer(sock)

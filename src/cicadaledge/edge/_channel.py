"""A TCP connection as bytes to read and write, which tells at once when the peer has gone."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable
from typing import cast

from cicadaledge.wire import is_readable

_READ_PAUSE_BYTES = 65_536  # beside what one read brings; hundreds of peers may be ahead at once
_READ_BYTES = 65_536  # whoever reads copies it once or twice
_KEEPALIVE_IDLE_S = 1  # a silent connection is found within about 3 s
_KEEPALIVE_PERIOD_S = 1
_KEEPALIVE_PROBES = 2
_LATE_TURNS = 16  # opening a connection takes five turns, a short answer as many
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time
_USER_TIMEOUT_MS = 4_000  # unacknowledged bytes mean a lost path after the bound of contact


def clock_ms() -> float:
    """Return milliseconds on a clock that also counts time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def reset_on_close(sock: socket.socket) -> None:
    """Let a socket's peer see a reset when it is closed, and drop what waits in it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def _end_sending(transport: asyncio.Transport) -> None:
    """Send the end of the stream; transports of uvloop offer no socket that can do it."""
    # Without a descriptor to spare, or a peer, the close at the end of the turn is all there is.
    with contextlib.suppress(OSError):
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        with socket.socket(fileno=descriptor) as sock:
            sock.shutdown(socket.SHUT_WR)


class Channel(asyncio.Protocol):
    """One TCP connection.

    Args:
        on_open: Called with the channel when the peer has connected.

    Attributes:
        keeps_half_open: Whether a peer that has ended its side can still be written to.
    """

    def __init__(self, on_open: Callable[[Channel], None] | None = None) -> None:
        self.allow_half_open = False
        self.on_lost: Callable[[], None] | None = None
        self.is_lost = False
        self.was_reset = False
        self._on_open = on_open
        self._buffer = bytearray()
        self._ended = False
        self._reading_paused = False
        self._transport: asyncio.Transport | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._writing_paused = False

    @property
    def transport(self) -> asyncio.Transport:
        """The connected transport."""
        assert self._transport is not None
        return self._transport

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that nobody has read."""
        return bool(self._buffer)

    def is_readable(self) -> bool:
        """Whether the kernel has bytes, or the peer's end, that the loop has not read yet."""
        if self._transport is None or self.closing:
            return False
        return is_readable(self._transport.get_extra_info("socket").fileno())

    @property
    def peer_closed(self) -> bool:
        """Whether the peer has closed its side, with or without a reset."""
        return self._ended

    @property
    def closing(self) -> bool:
        """Whether this side has closed the connection."""
        return self._transport is not None and self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the peer has not taken yet."""
        return self.transport.get_write_buffer_size()

    async def read(self, timeout_ms: float | None = None) -> bytes:
        """Return the next bytes; empty once the peer has ended its side.

        Raises:
            TimeoutError: Nothing has arrived within *timeout_ms*, in the kernel neither.
        """
        loop = asyncio.get_running_loop()
        end_s = None if timeout_ms is None else loop.time() + timeout_ms / 1000
        while not self._buffer and not self._ended:
            await self._wait_for_reading(end_s)
            # After a long turn a timer can fire before what has arrived meanwhile is read.
            expired = end_s is not None and loop.time() >= end_s
            if expired and not self._buffer and not self._ended and not self.is_readable():
                raise TimeoutError
        data = bytes(self._buffer[:_READ_BYTES])
        del self._buffer[:_READ_BYTES]
        if self._reading_paused and not self.is_lost and len(self._buffer) <= _READ_PAUSE_BYTES:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    async def _wait_for_reading(self, end_s: float | None) -> None:
        """Return when something was read, or at a time of the loop."""
        loop = asyncio.get_running_loop()
        self._reader = loop.create_future()
        timer = loop.call_at(end_s, self._wake_reader) if end_s is not None else None
        try:
            await self._reader
        finally:
            if timer is not None:
                timer.cancel()

    def write(self, data: bytes) -> None:
        """Send bytes; those for a peer that has gone are dropped."""
        if not self.is_lost:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the peer has taken most of what was written."""
        while self._writing_paused and not self.is_lost:
            self._writer = asyncio.get_running_loop().create_future()
            await self._writer

    def close(self) -> None:
        """Close after what was written has been sent.

        The event loops carry out a close at the end of their turn, which may be long; the peer is
        told at once, so that it sends nothing more meanwhile.
        """
        if self._transport is None or self.closing:
            return
        if not self.unsent_bytes:
            _end_sending(self._transport)
        self._transport.close()

    def abort(self) -> None:
        """Reset the connection; the peer sees that the exchange is not complete.

        Without a reset the system would still deliver, even seconds later, what was written.
        """
        if self._transport is None or self.is_lost:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            reset_on_close(sock)
        self._transport.abort()

    def call_when_lost(self, call: Callable[[], None]) -> None:
        """Call back when the connection has ended, at once if it has, with all bytes sent."""
        if self.is_lost or self._transport is None:
            call()
        else:
            self.on_lost = call

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up to find silent connections."""
        self._transport = cast(asyncio.Transport, transport)
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PERIOD_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are read."""
        self._buffer += data
        if len(self._buffer) > _READ_PAUSE_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Treat a closed sending side as a closed connection, unless it is to be kept."""
        self._ended = True
        self._wake_reader()
        return self.allow_half_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever reads or writes, and tell the owner."""
        self.was_reset = exc is not None or not self._ended
        self._ended = True
        self.is_lost = True
        self._wake_reader()
        self.resume_writing()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """Hold `drain` back: the peer reads slowly."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let `drain` return."""
        self._writing_paused = False
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)


@contextlib.asynccontextmanager
async def timeout_after_reads(timeout_ms: float) -> AsyncIterator[None]:
    """Raise TimeoutError after a time, but only once what has arrived by then was read.

    Taking it in needs several turns of the loop, a timer one: a busy loop is late for both.
    """
    loop = asyncio.get_running_loop()
    handle: asyncio.Handle | None = None

    def expire(turns: int) -> None:
        nonlocal handle
        if turns:
            handle = loop.call_soon(expire, turns - 1)
        else:
            limit.reschedule(loop.time())

    async with asyncio.timeout(None) as limit:
        handle = loop.call_later(timeout_ms / 1000, expire, _LATE_TURNS)
        try:
            yield
        finally:
            handle.cancel()

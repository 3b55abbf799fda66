"""A TCP byte stream that reports immediately when its peer has disconnected."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import cast

from cicadaledge.wire import is_readable, unacknowledged_bytes

# These sizes bound the memory of a connection to about 64 KB, so that hundreds of peers that send
# faster than their data is processed, or read more slowly, fit into the smallest process.
# The socket is not read while this many bytes are buffered, to which one read can add. An event loop
# repeats full reads within one iteration, and hundreds of connections may do so: with four times as
# much, an iteration takes longer than new callers wait for their connection.
_READ_PAUSE_BYTES = 16_384
# A read returns at most this many bytes, as the reader copies them once or twice.
_MAX_READ_BYTES = 16_384
# `drain` waits while more written bytes than this are not handed to the kernel.
_WRITE_PAUSE_BYTES = 16_384
# With these three values, the kernel detects a dead peer within about 3 s.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_PERIOD_S = 1
_KEEPALIVE_PROBES = 2
# An expired timeout waits for this many iterations of the event loop, so that received data is
# processed first. Opening a connection takes five iterations, and a short response as many.
_GRACE_ITERATIONS = 16
_LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER with a time of zero makes a close a reset
# If sent bytes stay unacknowledged for this long, the kernel ends the connection, as the network
# path is lost.
_USER_TIMEOUT_MS = 4_000
# The same for peers that may read slowly: the kernel also counts the time for which a peer that reads
# a little has no room for the next segment of up to 64 KB.
_SLOW_PEER_TIMEOUT_MS = 60_000
# The kernel takes at most this many bytes to send for such a peer, instead of some megabytes; it
# allows twice as much including its own overhead. That is 2 MB a second over 60 ms of round trip.
_SLOW_PEER_SEND_BYTES = 131_072


def reset_on_close(sock: socket.socket) -> None:
    """Make closing a socket reset the connection and discard unsent bytes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def _shut_down_sending(transport: asyncio.Transport) -> None:
    """Shut down the sending side, using a duplicate descriptor, as uvloop has no call for it."""
    # If there is no free descriptor, or no peer, only the regular close ends the connection.
    with contextlib.suppress(OSError):
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        with socket.socket(fileno=descriptor) as sock:
            sock.shutdown(socket.SHUT_WR)


# Event loops read into this buffer and report it at once, so that all channels can share it; their
# own buffers hold 256 KB for each connection.
_received = memoryview(bytearray(_MAX_READ_BYTES))


class Channel(asyncio.BufferedProtocol):
    """One TCP connection.

    Args:
        on_open: Called with the channel once it is connected.

    Attributes:
        allow_half_open: Whether the channel stays writable after the peer closed its sending side.
        on_lost: Called when the connection is lost.
        is_lost: Whether the connection is lost.
        was_reset: Whether the connection ended without an orderly close by the peer.
        was_unwritten_at_end: Whether the peer closed its sending side before its kernel had all
            written bytes.
    """

    def __init__(self, on_open: Callable[[Channel], None] | None = None) -> None:
        self.allow_half_open = False
        self.on_lost: Callable[[], None] | None = None
        self.is_lost = False
        self.was_reset = False
        self.was_unwritten_at_end = False
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
        """Whether received bytes wait to be read."""
        return bool(self._buffer)

    def is_readable(self) -> bool:
        """Whether the socket has bytes, or the end of the stream, that the loop has not read."""
        if self._transport is None or self.closing:
            return False
        return is_readable(self._transport.get_extra_info("socket").fileno())

    @property
    def peer_closed(self) -> bool:
        """Whether the peer closed its sending side or the connection was reset."""
        return self._ended

    @property
    def closing(self) -> bool:
        """Whether this side has closed the connection."""
        return self._transport is not None and self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that are not yet handed to the kernel."""
        return self.transport.get_write_buffer_size()

    @property
    def waits_for_peer(self) -> bool:
        """Whether `drain` waits because the peer reads slowly."""
        return self._writing_paused and not self.is_lost

    def unacknowledged_bytes(self) -> int:
        """Return the number of written bytes that the peer's kernel has not taken yet."""
        sock = self.transport.get_extra_info("socket")
        return self.unsent_bytes + unacknowledged_bytes(sock.fileno() if sock is not None else -1)

    def allow_slow_peer(self) -> None:
        """Bound what the kernel holds for a peer that may read slowly, and let it do so."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SLOW_PEER_SEND_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SLOW_PEER_TIMEOUT_MS)

    async def read(self, timeout_ms: float | None = None) -> bytes:
        """Return the next bytes; empty at the end of the stream.

        Raises:
            TimeoutError: Nothing was received within *timeout_ms*, not even by the kernel.
        """
        loop = asyncio.get_running_loop()
        end_s = None if timeout_ms is None else loop.time() + timeout_ms / 1000
        while not self._buffer and not self._ended:
            await self._wait_for_reading(end_s)
            # After a long loop iteration, a timer can fire before data received earlier is read.
            expired = end_s is not None and loop.time() >= end_s
            if expired and not self._buffer and not self._ended and not self.is_readable():
                raise TimeoutError
        data = bytes(self._buffer[:_MAX_READ_BYTES])
        del self._buffer[:_MAX_READ_BYTES]
        if self._reading_paused and not self.is_lost and len(self._buffer) < _READ_PAUSE_BYTES:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    def interrupt_read(self, error: Exception) -> None:
        """Make a `read` that waits raise an error; drop what was received."""
        self._buffer.clear()
        if self._reader is not None and not self._reader.done():
            self._reader.set_exception(error)

    async def _wait_for_reading(self, end_s: float | None) -> None:
        """Wait until something was read, or until a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        self._reader = loop.create_future()
        timer = loop.call_at(end_s, self._wake_reader) if end_s is not None else None
        try:
            await self._reader
        finally:
            if timer is not None:
                timer.cancel()

    def write(self, data: bytes) -> None:
        """Send bytes; they are discarded if the connection is lost."""
        if not self.is_lost:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until most of the written bytes are sent."""
        while self._writing_paused and not self.is_lost:
            self._writer = asyncio.get_running_loop().create_future()
            await self._writer

    def close(self) -> None:
        """Close after all written bytes are sent.

        Event loops close the socket at the end of an iteration, which may take long. Shutting down
        the sending side now keeps the peer from sending more in the meantime.
        """
        if self._transport is None or self.closing:
            return
        if not self.unsent_bytes:
            _shut_down_sending(self._transport)
        self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer sees that the exchange is incomplete.

        Without a reset, the kernel would still deliver written bytes, even seconds later.
        """
        if self._transport is None or self.is_lost:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            reset_on_close(sock)
        self._transport.abort()

    def call_when_lost(self, callback: Callable[[], None]) -> None:
        """Call a function when written bytes are sent and the connection has ended, or at once."""
        if self.is_lost or self._transport is None:
            callback()
        else:
            self.on_lost = callback

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options that detect dead connections."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_WRITE_PAUSE_BYTES)
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

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the event loop reads."""
        return _received

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that the event loop has read."""
        self._buffer += _received[:nbytes]
        if len(self._buffer) >= _READ_PAUSE_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Close the connection, unless half-open is allowed, after the peer stopped sending."""
        self._ended = True
        self.was_unwritten_at_end = bool(self.unacknowledged_bytes())
        self._wake_reader()
        return self.allow_half_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the waiting reader and writer, and call `on_lost`."""
        self.was_reset = exc is not None or not self._ended
        self._ended = True
        self.is_lost = True
        self._wake_reader()
        self.resume_writing()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """Make `drain` wait, because the peer reads slowly."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Make `drain` return."""
        self._writing_paused = False
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)


@contextlib.asynccontextmanager
async def timeout_after_reads(timeout_ms: float) -> AsyncIterator[None]:
    """Raise TimeoutError after a time, but only once all data received by then was processed.

    Processing data takes several iterations of the loop, and a timer only one. Without the extra
    iterations, a busy loop would time out on data that has already been received.
    """
    loop = asyncio.get_running_loop()
    handle: asyncio.Handle | None = None

    def expire(iterations: int) -> None:
        nonlocal handle
        if iterations:
            handle = loop.call_soon(expire, iterations - 1)
        else:
            limit.reschedule(loop.time())

    async with asyncio.timeout(None) as limit:
        handle = loop.call_later(timeout_ms / 1000, expire, _GRACE_ITERATIONS)
        try:
            yield
        finally:
            handle.cancel()

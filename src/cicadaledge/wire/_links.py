"""Authenticated TCP connections between routers, one task for each."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
from collections import Counter
from collections.abc import Callable
from typing import Any

from attrs import define, field

from cicadaledge.errors import FrameError
from cicadaledge.logs import PartLog
from cicadaledge.wire._codec import (
    FRAME_LIMIT_BYTES,
    NameTable,
    decode_message,
    encode_message,
)
from cicadaledge.wire._listener import Listener
from cicadaledge.wire._messages import Hello, Proof
from cicadaledge.wire._socket_state import is_readable

_LENGTH_BYTES = 4
_HANDSHAKE_TIMEOUT_S = 3.0
_CONNECT_TIMEOUT_S = 2.0
_RECONNECT_DELAY_S = 0.3
# Cancelled tasks end within two turns of the event loop. The wait for them is short because the
# last log lines of the process are written after it.
_CLOSE_TIMEOUT_S = 0.1
_NONCE_BYTES = 16
_WRITE_BUFFER_LIMIT_BYTES = 8 * 1_048_576
_HANDSHAKE_FRAME_LIMIT_BYTES = 1024
_log = PartLog("links")


@define
class LinkStats:
    """Traffic counters of all links since the process started.

    Args:
        sent_bytes: Bytes sent, with length prefixes.
        received_bytes: Bytes received, with length prefixes.
        messages: Messages sent, by kind.
        bytes_by_kind: Bytes sent, by kind of message.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    messages: Counter[str] = field(factory=Counter)
    bytes_by_kind: Counter[str] = field(factory=Counter)


@define(eq=False)
class _Link:
    """An authenticated connection.

    Args:
        is_preferred: Whether it was dialled by the router with the lesser name; see `_register`.
    """

    peer: str
    incarnation: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_preferred: bool
    sent_names: NameTable = field(factory=NameTable)
    received_names: NameTable = field(factory=NameTable)


class PeerLinks:
    """Maintains one link to each peer and passes received messages to a handler.

    Args:
        router: Name of this router.
        incarnation: Incarnation of this router.
        fleet_key: Secret shared by all routers of the fleet.
        on_message: Called with the peer's name and each message.
        on_up: Called with the peer's name and incarnation when a link is established.
        on_down: Called with the peer's name when its link is lost.

    Attributes:
        stats: Traffic counters.
        partitioned_peers: Peers to and from which all messages are dropped, for fault injection.
    """

    def __init__(
        self,
        router: str,
        incarnation: int,
        fleet_key: str,
        on_message: Callable[[str, Any], None],
        on_up: Callable[[str, int], None],
        on_down: Callable[[str], None],
    ) -> None:
        self.stats = LinkStats()
        self.partitioned_peers: set[str] = set()
        self._router = router
        self._incarnation = incarnation
        self._fleet_key = fleet_key.encode()
        self._on_message = on_message
        self._on_up = on_up
        self._on_down = on_down
        self._links: dict[str, _Link] = {}
        self._dialers: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._accepted: set[asyncio.Task[None]] = set()
        self._established: set[tuple[str, int]] = set()
        self._stopping: set[tuple[str, int]] = set()
        self._listener = Listener(self._make_protocol)
        self._handshakes = 0

    async def listen(self, host: str, port: int) -> None:
        """Listen for links from peers."""
        self._listener.start(host, port)

    async def close(self) -> None:
        """Close the listener and all links, stop dialling, and wait briefly for tasks to end."""
        self._listener.close()
        tasks = [*self._dialers.values(), *self._accepted]
        for task in tasks:
            task.cancel()
        if tasks:
            _, unfinished = await asyncio.wait(tasks, timeout=_CLOSE_TIMEOUT_S)
            if unfinished:
                _log.warning(
                    "Tasks of links did not end within the close timeout; closing without them.",
                    count=len(unfinished),
                )

    def dial(self, host: str, port: int) -> None:
        """Maintain a link to the address, reconnecting when it is lost, until `stop_dialing`."""
        address = (host, port)
        self._stopping.discard(address)
        if address not in self._dialers:
            self._dialers[address] = asyncio.create_task(self._maintain(host, port))

    def stop_dialing(self, host: str, port: int) -> None:
        """Stop reconnecting to the address; an established link stays until it closes."""
        address = (host, port)
        if address in self._established:
            self._stopping.add(address)
            return
        task = self._dialers.pop(address, None)
        if task is not None:
            task.cancel()

    def handshakes(self) -> int:
        """Return the number of completed handshakes since the process started."""
        return self._handshakes

    def dialed(self) -> set[tuple[str, int]]:
        """Return the addresses to which links are maintained."""
        return set(self._dialers)

    def peers(self) -> list[str]:
        """Return the names of the linked peers."""
        return list(self._links)

    def incarnation_of(self, peer: str) -> int | None:
        """Return the incarnation of a linked peer, or None."""
        link = self._links.get(peer)
        return link.incarnation if link else None

    def is_readable(self, peer: str) -> bool:
        """Return whether unread data, or the end of the connection, of a peer is in the kernel."""
        link = self._links.get(peer)
        if link is None or link.writer.is_closing():
            return False
        return is_readable(link.writer.get_extra_info("socket").fileno())

    def drop(self, peer: str) -> None:
        """Close the link to a peer."""
        link = self._links.get(peer)
        if link is not None:
            link.writer.close()
            self._unregister(link)

    def change_incarnation(self, incarnation: int) -> None:
        """Change the own incarnation and close all links, so that they are set up again with it."""
        self._incarnation = incarnation
        for peer in self.peers():
            self.drop(peer)

    def send(self, peer: str, message: Any) -> bool:
        """Send a message; return whether there was a link to send it on."""
        link = self._links.get(peer)
        if link is None or link.writer.is_closing():
            return False
        if peer in self.partitioned_peers:
            return True
        backlog_bytes = link.writer.transport.get_write_buffer_size()
        if backlog_bytes > _WRITE_BUFFER_LIMIT_BYTES or link.sent_names.is_full:
            self.drop(peer)
            return False
        frame = encode_message(message, link.sent_names)
        self.stats.sent_bytes += len(frame) + _LENGTH_BYTES
        self.stats.messages[type(message).__name__] += 1
        self.stats.bytes_by_kind[type(message).__name__] += len(frame) + _LENGTH_BYTES
        link.writer.write(len(frame).to_bytes(_LENGTH_BYTES, "big") + frame)
        return True

    async def _maintain(self, host: str, port: int) -> None:
        address = (host, port)
        while address not in self._stopping:
            try:
                # asyncio.wait_for of Python 3.11 ignores a cancellation in the turn of the loop in
                # which its coroutine has completed, so asyncio.timeout is used instead.
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, port)
                self._established.add(address)
                await self._serve(reader, writer, dialed=True)
            except (OSError, TimeoutError):
                pass
            finally:
                self._established.discard(address)
            await asyncio.sleep(_RECONNECT_DELAY_S)
        self._stopping.discard(address)
        self._dialers.pop(address, None)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(), self._accept)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # If this callback were a coroutine, asyncio would run it in a task that logs a traceback
        # when it is cancelled.
        serving = self._serve(reader, writer, dialed=False)
        task = asyncio.get_running_loop().create_task(serving)
        self._accepted.add(task)
        task.add_done_callback(self._end_accepted)

    def _end_accepted(self, task: asyncio.Task[None]) -> None:
        self._accepted.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.warning(
                "Link accepted from a peer was closed after an unexpected error.",
                error=repr(task.exception()),
            )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, dialed: bool
    ) -> None:
        link = None
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                link = await self._handshake(reader, writer, dialed=dialed)
            if link is not None and self._register(link):
                await self._receive(link)
        except (FrameError, OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            if link is not None:
                self._unregister(link)

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, dialed: bool
    ) -> _Link | None:
        nonce = secrets.token_bytes(_NONCE_BYTES)
        self._write(writer, Hello(self._router, self._incarnation, nonce))
        hello = await self._read_frame(reader, _HANDSHAKE_FRAME_LIMIT_BYTES)
        if not isinstance(hello, Hello) or hello.router == self._router:
            return None
        self._write(writer, Proof(self._proof(self._router, self._incarnation, hello.nonce)))
        proof = await self._read_frame(reader, _HANDSHAKE_FRAME_LIMIT_BYTES)
        expected = self._proof(hello.router, hello.incarnation, nonce)
        if not isinstance(proof, Proof) or not hmac.compare_digest(proof.digest, expected):
            return None
        self._handshakes += 1
        is_preferred = dialed == (self._router < hello.router)
        return _Link(hello.router, hello.incarnation, reader, writer, is_preferred)

    def _proof(self, router: str, incarnation: int, nonce: bytes) -> bytes:
        content = f"{router}\n{incarnation}\n".encode() + nonce
        return hmac.digest(self._fleet_key, content, hashlib.sha256)

    def _write(self, writer: asyncio.StreamWriter, message: Any) -> None:
        frame = encode_message(message)
        writer.write(len(frame).to_bytes(_LENGTH_BYTES, "big") + frame)

    async def _read_frame(
        self, reader: asyncio.StreamReader, limit_bytes: int, names: NameTable | None = None
    ) -> Any:
        length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
        if length > limit_bytes:
            raise FrameError(f"frame of {length} bytes exceeds the limit of {limit_bytes} bytes")
        self.stats.received_bytes += length + _LENGTH_BYTES
        return decode_message(await reader.readexactly(length), names)

    def _register(self, link: _Link) -> bool:
        """Put a link into use, or return False if the existing link to the peer is kept.

        Both sides prefer the link dialled by the router with the lesser name, so that they keep the
        same one when both dial at the same time.
        """
        existing = self._links.get(link.peer)
        if existing is not None and not existing.writer.is_closing():
            if (existing.incarnation, existing.is_preferred) >= (
                link.incarnation,
                link.is_preferred,
            ):
                return False
            existing.writer.close()
            self._unregister(existing)
        self._links[link.peer] = link
        self._on_up(link.peer, link.incarnation)
        return True

    def _unregister(self, link: _Link) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._on_down(link.peer)

    async def _receive(self, link: _Link) -> None:
        while True:
            message = await self._read_frame(link.reader, FRAME_LIMIT_BYTES, link.received_names)
            if link.peer not in self.partitioned_peers:
                self._on_message(link.peer, message)

"""A TCP proxy on the loopback address that delays, blocks, stalls and resets connections."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, field

from cicadaledge.edge import reset_on_close
from cicadaledge.settings import Address

_HOST = "127.0.0.1"
_CHUNK_BYTES = 65_536


@define(eq=False)
class _Direction:
    """One direction of all connections; blocked bytes are forwarded when it opens again."""

    is_open: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.is_open.set()


@define(eq=False)
class _ConnectionPair:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silent: bool = False

    def reset(self) -> None:
        for writer in self.writers:
            _reset(writer)


class FaultProxy:
    """Forwards connections to one address.

    Args:
        target: Address that connections are forwarded to.

    Attributes:
        port: Port that the proxy listens on; set by `start`.
        delay_ms: Delay of each chunk, in both directions.
        to_target: Direction from the clients to the target.
        to_client: Direction from the target to the clients.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.port = 0
        self.delay_ms = 0.0
        self.to_target = _Direction()
        self.to_client = _Direction()
        self._pairs: set[_ConnectionPair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 selects a free one."""
        self._server = await asyncio.start_server(self._accept, _HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        self.refuse_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def refuse_connections(self) -> None:
        """Reset every connection and refuse new ones until `start` is called with the same port."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset every connection."""
        for pair in list(self._pairs):
            pair.reset()

    def silence(self) -> None:
        """Stop forwarding on the connections that are open; new connections work."""
        for pair in self._pairs:
            pair.silent = True

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream = await asyncio.open_connection(self.target.host, self.target.port)
        except OSError:
            _reset(writer)
            return
        pair = _ConnectionPair((writer, upstream[1]))
        self._pairs.add(pair)
        pumps = [
            asyncio.create_task(self._pump(reader, upstream[1], pair, self.to_target)),
            asyncio.create_task(self._pump(upstream[0], writer, pair, self.to_client)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self._pairs.discard(pair)
            for one in pair.writers:
                one.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: _ConnectionPair,
        direction: _Direction,
    ) -> None:
        """Forward bytes until the reader ends; a reset is forwarded as a reset."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await direction.is_open.wait()
                if pair.silent:
                    await asyncio.Event().wait()
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1000)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pair.reset()
        else:
            with contextlib.suppress(ConnectionError):
                await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset instead of an end of file."""
    if writer.is_closing():
        return
    reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()

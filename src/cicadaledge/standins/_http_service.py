"""Base class of asyncio stand-ins that serve HTTP."""

from __future__ import annotations

import asyncio

from cicadaledge.codes import Code
from cicadaledge.edge import CallerConnection, Channel, Headers, RequestHead, ResponseWriter
from cicadaledge.routing import Limits

_HOST = "127.0.0.1"


class HttpService:
    """Serves HTTP on the loopback address.

    Attributes:
        port: Port that it listens on; set by `start`.
        channels: All connections accepted so far.
    """

    limits = Limits()

    def __init__(self) -> None:
        self.port = 0
        self.channels: list[Channel] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    def ends_connection(self) -> bool:
        """Return False: connections are kept alive."""
        return False

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 selects a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Channel(self._accept), _HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for channel in self.channels:
            channel.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one request."""
        raise NotImplementedError

    def refuse(self, code: Code, detail: str, status: int) -> tuple[Headers, bytes]:
        """Return an empty answer to a malformed request."""
        return [], b""

    def record_disconnect(self, head: RequestHead) -> None:
        """Do nothing: disconnects of callers are not recorded here."""

    def _accept(self, channel: Channel) -> None:
        if self._server is None:
            # The event loop took this connection before `stop`, but sets it up only now.
            channel.abort()
            return
        self.channels.append(channel)
        task = asyncio.get_running_loop().create_task(CallerConnection(channel, self).run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

"""A crowd of callers that do not behave, all connected at the same time."""

import asyncio
import contextlib
import socket

from attrs import define, field

from cicadaledge.settings import Address

# A member that can send no more is left alone after this long, as a router need not read it.
_SENDING_S = 3.0
_RECONNECT_S = 0.05


@define
class Crowd:
    """Callers that send the same bytes and stay connected.

    Args:
        address: Where they connect to.
        size: Number of callers.
        parts: Returns the parts that each of them sends.
        pause_s: Pause after each part.
        reads: Whether they read what the router answers.
        reconnects: Whether they connect and send again when the router closes the connection.
    """

    address: Address
    size: int
    parts: object
    pause_s: float = 0.0
    reads: bool = True
    reconnects: bool = False
    _tasks: list = field(factory=list)
    _sent: list = field(factory=list)

    async def __aenter__(self):
        """Connect and send, until all have sent or could send no more."""
        self._sent = [asyncio.Event() for _ in range(self.size)]
        self._tasks = [asyncio.create_task(self._run(sent)) for sent in self._sent]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SENDING_S):
                for sent in self._sent:
                    await sent.wait()
        return self

    async def __aexit__(self, *_error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, sent):
        while True:
            with contextlib.suppress(OSError):
                await self._run_once(sent)
            sent.set()
            if not self.reconnects:
                return
            await asyncio.sleep(_RECONNECT_S)

    async def _run_once(self, sent):
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, (self.address.host, self.address.port))
            reading = asyncio.create_task(_read_to_end(sock)) if self.reads else None
            try:
                for part in self.parts():
                    if reading is not None and reading.done():
                        return
                    await loop.sock_sendall(sock, part)
                    await asyncio.sleep(self.pause_s)
                sent.set()
                await (reading or asyncio.Event().wait())
            finally:
                if reading is not None:
                    reading.cancel()
                    await asyncio.gather(reading, return_exceptions=True)


async def _read_to_end(sock):
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while await loop.sock_recv(sock, 65_536):
            pass


def split(data, size):
    """Return a function that returns the data in parts of a size."""
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    return lambda: iter(parts)


def endless(*first, part):
    """Return a function that returns the first parts, and then the last one without end."""

    def parts():
        yield from first
        while True:
            yield part

    return parts

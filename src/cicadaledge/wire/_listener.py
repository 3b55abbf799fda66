"""Accepts connections, whatever becomes of a single one."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from cicadaledge.logs import PartLog
from cicadaledge.wire._kernel import is_readable

_ACCEPTED_AT_ONCE = 4  # a turn of the loop spends at most some 10 ms on new connections
_FULL_PAUSE_S = 0.1  # descriptors come free as answers end
_FULL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_log = PartLog("listener")


class Listener:
    """A listening socket.

    The event loop's own servers may close for good after an error that concerns one connection,
    such as a caller that has gone before it was accepted.

    Args:
        make_protocol: Makes the protocol of each connection.
        backlog: Connections that wait to be accepted.

    Attributes:
        accepted: Connections accepted so far.
    """

    def __init__(
        self, make_protocol: Callable[[], asyncio.BaseProtocol], *, backlog: int = 128
    ) -> None:
        self.accepted = 0
        self._make_protocol = make_protocol
        self._backlog = backlog
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, host: str, port: int) -> None:
        """Listen.

        Raises:
            OSError: The address is in use.
        """
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((host, port))
        self._sock.listen(self._backlog)
        self._watch()

    @property
    def port(self) -> int:
        """Port that was bound; of interest after a start on port 0."""
        return int(self._sock.getsockname()[1])

    @property
    def has_waiting(self) -> bool:
        """Whether a connection waits to be accepted."""
        return self._sock.fileno() >= 0 and is_readable(self._sock.fileno())

    async def drain(self) -> int:
        """Accept all connections that wait, then close; return how many waited."""
        waited = 0
        for _ in range(self._backlog + 1):
            if not self._accept_one():
                break
            waited += 1
        self.close()
        if self._tasks:
            await asyncio.wait(self._tasks)
        return waited

    def close(self) -> None:
        """Accept nothing more, and reset the connections that wait; accepted ones go on."""
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()

    def _watch(self) -> None:
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(_ACCEPTED_AT_ONCE):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Take a connection; return whether another may wait."""
        try:
            sock, _address = self._sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self._note_error(error)
            return error.errno not in _FULL
        self.accepted += 1
        sock.setblocking(False)
        task = asyncio.get_running_loop().create_task(self._connect(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _note_error(self, error: OSError) -> None:
        _log.warning("Connection was not accepted.", error=str(error))
        if error.errno in _FULL:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._sock.fileno())
            loop.call_later(_FULL_PAUSE_S, self._watch)

    async def _connect(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_protocol, sock)
        except OSError as error:
            self._note_error(error)
            sock.close()

"""Accepts connections, whatever becomes of a single one."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections.abc import Callable
from typing import Protocol

from cicadaledge.logs import PartLog
from cicadaledge.wire._kernel import is_readable
from cicadaledge.wire._newcomers import PendingConnections

_SET_UP_AT_ONCE = 4  # a turn of the loop spends at most some 10 ms on new connections
_FULL_PAUSE_S = 0.1  # descriptors come free as answers end
_UNNOTICED_MS = 500.0  # a loop that is this late has other troubles
_FULL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_log = PartLog("listener")


class AdmissionControl(Protocol):
    """Decides about connections that were accepted and not set up yet."""

    @property
    def max_wait_ms(self) -> float:
        """How long a connection may wait to be set up."""

    def has_room(self) -> bool:
        """Return whether one more may be set up."""

    def reject(self, sock: socket.socket) -> None:
        """Answer or end a connection at little cost, and close it."""


class AdmitAll:
    """Lets everybody in."""

    max_wait_ms = math.inf

    def has_room(self) -> bool:
        """Return True."""
        return True

    def reject(self, sock: socket.socket) -> None:
        """Close a connection."""
        sock.close()


class Listener:
    """A listening socket.

    The event loop's own servers may close for good after an error that concerns one connection,
    such as a caller that has gone before it was accepted. All connections that wait are accepted
    at once, which is cheap, so that the kernel's queue does not fill; then a few in each turn are
    set up.

    Args:
        make_protocol: Makes the protocol of each connection.
        backlog: Connections that wait to be accepted, and then to be set up.
        gate: Decides who is turned away.

    Attributes:
        accepted: Connections accepted so far.
        is_short: Whether descriptors were short when a connection was to be accepted.
    """

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        *,
        backlog: int = 128,
        admission: AdmissionControl | None = None,
    ) -> None:
        self.accepted = 0
        self.is_out_of_descriptors = False
        self._make_protocol = make_protocol
        self._backlog = backlog
        self._gate: AdmissionControl = admission or AdmitAll()
        self._pending: PendingConnections[socket.socket] = PendingConnections(
            self._gate.max_wait_ms, backlog
        )
        self._is_admitting = False
        self._last_accept_ms = 0.0
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
    def has_pending(self) -> bool:
        """Whether a connection waits to be accepted."""
        return self._sock.fileno() >= 0 and is_readable(self._sock.fileno())

    def accept_unnoticed(self) -> None:
        """Accept what the loop has not noticed: it stops to watch a socket after some errors."""
        if self.is_out_of_descriptors or not self.has_pending:
            return
        if _now_ms() - self._last_accept_ms > _UNNOTICED_MS:
            _log.warning("Connections wait that the loop has not noticed.")
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._watch()
            self._accept()

    async def drain(self) -> int:
        """Accept all connections that wait, then close; return how many waited."""
        waited = 0
        for _ in range(self._backlog + 1):
            if not self._accept_one():
                break
            waited += 1
        while self._pending:
            self._set_up(self._pending.pop_newest())
        self.close()
        if self._tasks:
            await asyncio.wait(self._tasks)
        return waited

    def close(self) -> None:
        """Accept nothing more, and reset the connections that wait; those set up go on."""
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
        while self._pending:
            self._pending.pop_newest().close()

    def _watch(self) -> None:
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(self._backlog + 1):
            if not self._accept_one():
                break
        self._admit_soon()

    def _accept_one(self) -> bool:
        """Take a connection; return whether another may wait."""
        try:
            sock, _address = self._sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self._note_error(error)
            return error.errno not in _FULL
        sock.setblocking(False)
        self.accepted += 1
        self.is_out_of_descriptors = False
        self._last_accept_ms = _now_ms()
        self._pending.add(sock, self._last_accept_ms)
        return True

    def _admit_soon(self) -> None:
        if self._pending and not self._is_admitting:
            self._is_admitting = True
            asyncio.get_running_loop().call_soon(self._admit)

    def _admit(self) -> None:
        """Set some of the newcomers up, and turn those away that have waited too long."""
        self._is_admitting = False
        for sock in self._pending.shed(_now_ms()):
            self._gate.reject(sock)
        for _ in range(min(_SET_UP_AT_ONCE, len(self._pending))):
            sock = self._pending.pop_newest()
            if self._gate.has_room():
                self._set_up(sock)
            else:
                self._gate.reject(sock)
        self._admit_soon()

    def _set_up(self, sock: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_error(self, error: OSError) -> None:
        _log.warning("Connection was not accepted.", error=str(error))
        if error.errno in _FULL:
            self.is_out_of_descriptors = True
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._sock.fileno())
            loop.call_later(_FULL_PAUSE_S, self._resume_after_pause)

    def _resume_after_pause(self) -> None:
        """Go on after a want of descriptors, which is over unless accepting fails once more."""
        self.is_out_of_descriptors = self.has_pending
        self._watch()

    async def _connect(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_protocol, sock)
        except OSError as error:
            self._note_error(error)
            sock.close()


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000

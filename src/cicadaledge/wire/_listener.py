"""Listening socket that survives errors of single connections and limits setup work."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections.abc import Callable
from typing import Protocol

from cicadaledge.logs import PartLog
from cicadaledge.wire._newcomers import PendingConnections
from cicadaledge.wire._socket_state import is_readable

# Setting up this many connections takes about 10 ms; more of them in one turn of the event loop
# would delay its other work.
_SETUPS_PER_TURN = 4
# The kernel holds up to this many connections that were not accepted yet; it drops any more, and their
# callers connect again after a second, when most have given up. With 128, a process that got no CPU
# time for 0.3 s in a flood of 400 callers a second lost hundreds, instead of refusing them.
_KERNEL_BACKLOG = 1_024
# The listener accepts nothing for this long when descriptors run out; they become free as answers
# end.
_DESCRIPTORS_PAUSE_S = 0.1
# The socket is watched anew if connections are pending but none was accepted for this long. A
# healthy event loop reports a pending connection much earlier.
_UNNOTICED_MS = 500.0
_EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_log = PartLog("listener")


class AdmissionControl(Protocol):
    """Decides about connections that were accepted but not set up yet."""

    @property
    def max_wait_ms(self) -> float:
        """Longest time that a connection waits behind others before it is rejected."""

    def has_room(self) -> bool:
        """Return whether one more connection may be set up."""

    def reject(self, sock: socket.socket) -> None:
        """Close a connection, possibly after a short answer; must be cheap and not block."""


class AdmitAll:
    """Admits all connections."""

    max_wait_ms = math.inf

    def has_room(self) -> bool:
        """Return True."""
        return True

    def reject(self, sock: socket.socket) -> None:
        """Close a connection."""
        sock.close()


class Listener:
    """A listening socket.

    The event loops' own servers may stop permanently after an error of a single connection, such as
    a peer that has disconnected before it was accepted. Pending connections are all accepted at
    once, which is cheap and keeps the kernel's backlog from filling up. A few of them are then set
    up in each turn (iteration) of the event loop.

    Args:
        make_protocol: Creates the protocol of a connection.
        backlog: Size of the queue of connections waiting for setup.
        admission: Decides which connections are rejected; by default none.

    Attributes:
        accepted: Number of connections accepted so far.
        is_out_of_descriptors: Whether the last accept failed for want of descriptors or memory.
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
        self._admission: AdmissionControl = admission or AdmitAll()
        self._pending: PendingConnections[socket.socket] = PendingConnections(
            self._admission.max_wait_ms, backlog
        )
        self._is_admit_scheduled = False
        self._last_accept_ms = 0.0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, host: str, port: int) -> None:
        """Start to listen.

        Raises:
            OSError: The address cannot be bound.
        """
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((host, port))
        self._sock.listen(max(_KERNEL_BACKLOG, self._backlog))
        self._watch()

    @property
    def port(self) -> int:
        """Bound port; useful after a start on port 0, for which the kernel chooses one."""
        return int(self._sock.getsockname()[1])

    @property
    def has_pending(self) -> bool:
        """Whether the kernel has a connection that was not accepted yet."""
        return self._sock.fileno() >= 0 and is_readable(self._sock.fileno())

    def accept_unnoticed(self) -> None:
        """Accept connections that the event loop does not report, and watch the socket again.

        Event loops stop watching a socket after some errors.
        """
        if self.is_out_of_descriptors or not self.has_pending:
            return
        if _now_ms() - self._last_accept_ms > _UNNOTICED_MS:
            _log.warning(
                "The event loop does not report pending connections; watching the socket again."
            )
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._watch()
            self._accept()

    async def drain(self) -> int:
        """Accept and set up all pending connections, then close; return how many were accepted."""
        accepted_count = 0
        for _ in range(max(_KERNEL_BACKLOG, self._backlog) + 1):
            if not self._accept_one():
                break
            accepted_count += 1
        while self._pending:
            self._set_up(self._pending.pop())
        self.close()
        if self._tasks:
            await asyncio.wait(self._tasks)
        return accepted_count

    def close(self) -> None:
        """Stop listening and close the connections waiting for setup; others are not affected."""
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
        while self._pending:
            self._pending.pop().close()

    def _watch(self) -> None:
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(self._backlog + 1):
            if not self._accept_one():
                break
            if len(self._pending) > self._backlog:
                self._reject_surplus()  # at once, as each of them has a descriptor
        self._schedule_admit()

    def _accept_one(self) -> bool:
        """Accept a connection; return whether another one may be pending."""
        try:
            sock, _address = self._sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self._handle_accept_error(error)
            return error.errno not in _EXHAUSTED_ERRNOS
        sock.setblocking(False)
        self.accepted += 1
        self.is_out_of_descriptors = False
        self._last_accept_ms = _now_ms()
        self._pending.add(sock, self._last_accept_ms)
        return True

    def _schedule_admit(self) -> None:
        if self._pending and not self._is_admit_scheduled:
            self._is_admit_scheduled = True
            asyncio.get_running_loop().call_soon(self._admit)

    def _admit(self) -> None:
        """Set up some of the waiting connections, then reject those that have waited too long.

        Connections that this turn can set up are not rejected for their wait: a long turn of the
        event loop delays them even if no others wait.
        """
        self._is_admit_scheduled = False
        for _ in range(min(_SETUPS_PER_TURN, len(self._pending))):
            sock = self._pending.pop()
            if self._admission.has_room():
                self._set_up(sock)
            else:
                self._admission.reject(sock)
        self._reject_surplus()
        self._schedule_admit()

    def _reject_surplus(self) -> None:
        """Reject those that have waited too long, and the oldest if too many wait."""
        for sock in self._pending.shed(_now_ms()):
            self._admission.reject(sock)

    def _set_up(self, sock: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle_accept_error(self, error: OSError) -> None:
        _log.warning(
            "Connection was not accepted; without descriptors or memory, the listener pauses.",
            error=str(error),
        )
        if error.errno in _EXHAUSTED_ERRNOS:
            self.is_out_of_descriptors = True
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._sock.fileno())
            loop.call_later(_DESCRIPTORS_PAUSE_S, self._resume_after_pause)

    def _resume_after_pause(self) -> None:
        """Resume accepting; the lack of descriptors counts as over if no connection is pending."""
        self.is_out_of_descriptors = self.has_pending
        self._watch()

    async def _connect(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_protocol, sock)
        except OSError as error:
            self._handle_accept_error(error)
            sock.close()


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000

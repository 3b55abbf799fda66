"""State of a socket in the kernel, which the event loop may not have polled yet."""

from __future__ import annotations

import fcntl
import select
import struct
import termios

_INT = struct.Struct("i")


def is_readable(descriptor: int) -> bool:
    """Return whether data, end of file or an error is ready to be read."""
    return _poll(descriptor, select.POLLIN)


def is_writable(descriptor: int) -> bool:
    """Return whether data can be sent; for a connecting socket, whether connecting has ended."""
    return _poll(descriptor, select.POLLOUT)


def _poll(descriptor: int, event: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))


def unacknowledged_bytes(descriptor: int) -> int:
    """Return how many bytes the kernel holds that the peer's kernel has not acknowledged."""
    if descriptor < 0:
        return 0
    try:
        answer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0  # the connection has ended
    return int(_INT.unpack(answer)[0])

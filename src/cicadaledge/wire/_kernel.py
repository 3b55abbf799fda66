"""What the kernel knows of a socket, also where the event loop has not looked yet."""

from __future__ import annotations

import select


def is_readable(descriptor: int) -> bool:
    """Return whether bytes, an end or an error of the peer wait to be read."""
    return _has(descriptor, select.POLLIN)


def is_writable(descriptor: int) -> bool:
    """Return whether bytes can be sent; for a connecting socket, whether that has ended."""
    return _has(descriptor, select.POLLOUT)


def _has(descriptor: int, event: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))

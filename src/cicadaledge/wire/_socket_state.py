"""State of a socket in the kernel, which the event loop may not have polled yet."""

from __future__ import annotations

import select


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

"""Port ranges of rounds that run at the same time on one machine."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

_HOST = "127.0.0.1"
_PORTS = 5_000  # Free ports are searched for in a range of this size.
# Rounds reserve ports in blocks of this size; a large round reserves several adjacent blocks.
_BLOCK_PORTS = 300


def reserve_ports(first: int, count: int) -> list[socket.socket]:
    """Reserve a range of ports against other rounds while the returned sockets are open.

    Searching for free ports is not enough: a router's ports are free while it restarts.

    Returns:
        Sockets bound to the first port of each block, the first block first.

    Raises:
        OSError: Other rounds have reserved too many blocks.
    """
    blocks = 1 + count // _BLOCK_PORTS
    reservations: list[socket.socket] = []
    for port in range(first, first + _PORTS, _BLOCK_PORTS):
        reservation = socket.socket()
        try:
            reservation.bind((_HOST, port))
        except OSError:
            for one in (*reservations, reservation):
                one.close()
            reservations = []
            continue
        reservations.append(reservation)
        if len(reservations) == blocks:
            return reservations
    for one in reservations:
        one.close()
    raise OSError(
        f"cannot reserve {blocks * _BLOCK_PORTS} adjacent ports from {first} on; others use them"
    )


def free_ports(first: int) -> Iterator[int]:
    """Yield ports that nothing listens on, in ascending order."""
    for port in range(first, first + _PORTS):
        if _is_free(port):
            yield port


def first_of_adjacent(ports: Iterator[int]) -> int:
    """Return a port whose successor is free, too; consumes both."""
    first = next(ports)
    while (second := next(ports)) != first + 1:
        first = second
    return first


def _is_free(port: int) -> bool:
    with socket.socket() as one, contextlib.suppress(OSError):
        one.bind((_HOST, port))
        return True
    return False

"""Ports of one round, which other rounds on the machine leave alone."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

_HOST = "127.0.0.1"
_PORTS = 5_000  # tried from the first one on
_BLOCK_PORTS = 300  # of one round at a time; larger rounds hold several blocks


def reserve_ports(first: int, count: int) -> list[socket.socket]:
    """Keep other rounds on this machine off a range of ports for as long as its guards are open.

    A router's ports are free while it starts again, so that to look for free ones is not enough.

    Returns:
        Sockets that hold the first port of each block; the range begins with that of the first.

    Raises:
        OSError: Other rounds hold too many.
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
    raise OSError(f"no {blocks * _BLOCK_PORTS} ports in a row from {first} on")


def free_ports(first: int) -> Iterator[int]:
    """Yield ports that nothing listens on."""
    for port in range(first, first + _PORTS):
        if _is_free(port):
            yield port


def first_of_adjacent(ports: Iterator[int]) -> int:
    """Return a port that is followed by another free one, and use both up."""
    first = next(ports)
    while (second := next(ports)) != first + 1:
        first = second
    return first


def _is_free(port: int) -> bool:
    with socket.socket() as one, contextlib.suppress(OSError):
        one.bind((_HOST, port))
        return True
    return False

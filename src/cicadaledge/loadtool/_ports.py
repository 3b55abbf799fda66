"""Ports for the processes of development deployments."""

from __future__ import annotations

import functools
import itertools
import socket
from collections.abc import Iterator

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 250
# The last block ends at port 19,999, because edge tests and soak rounds use the ports above.
BLOCKS = 40


def free_ports(count: int) -> list[int]:
    """Return ports that no process listens on now.

    They lie below the kernel's range for outgoing connections, in a block that this process
    has reserved, so that other deployments don't take them before they are used.

    Raises:
        OSError: All blocks are reserved, or this process's block has too few free ports.
    """
    ports: list[int] = []
    for port in itertools.islice(_reserve_block()[1], PORTS_PER_BLOCK - 1):
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError("not enough free ports in the port range of this process")


@functools.cache
def _reserve_block() -> tuple[socket.socket, Iterator[int]]:
    """Reserve a block of ports against other processes that launch deployments.

    Returns:
        The socket that holds the reservation while it is open, and the ports, repeated endlessly.
    """
    for first in range(FIRST_PORT, FIRST_PORT + BLOCKS * PORTS_PER_BLOCK, PORTS_PER_BLOCK):
        reservation = socket.socket()
        try:
            reservation.bind((HOST, first))
        except OSError:
            reservation.close()
        else:
            return reservation, itertools.cycle(range(first + 1, first + PORTS_PER_BLOCK))
    raise OSError(f"all {BLOCKS} blocks of ports are reserved by other processes")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True

"""Connections to backend servers for the software's own HTTP interface."""

from cicadaledge.backends._backend import (
    BackendConnection,
    BackendConnectionPool,
    BootMismatchError,
    ServerLoad,
    call_backend,
)

__all__ = [
    "BackendConnection",
    "BackendConnectionPool",
    "BootMismatchError",
    "ServerLoad",
    "call_backend",
]

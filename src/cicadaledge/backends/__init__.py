"""Connections to backend servers, as the own interface uses them."""

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

"""Connections to backend servers, as the own interface uses them."""

from cicadaledge.backends._backend import (
    BackendConnection,
    BackendConnections,
    BootMismatchError,
    ServerLoad,
    call_backend,
)

__all__ = [
    "BackendConnection",
    "BackendConnections",
    "BootMismatchError",
    "ServerLoad",
    "call_backend",
]

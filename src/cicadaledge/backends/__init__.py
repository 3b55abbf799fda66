"""Connections to backend servers for the software's own HTTP interface."""

from cicadaledge.backends._answer_memory import AnswerMemory, AnswerTooLargeError, HeldAnswer
from cicadaledge.backends._backend import (
    BackendConnection,
    BackendConnectionPool,
    BootMismatchError,
    ServerLoad,
    call_backend,
)
from cicadaledge.backends._read_limits import AnswerLimits

__all__ = [
    "AnswerLimits",
    "AnswerMemory",
    "AnswerTooLargeError",
    "BackendConnection",
    "BackendConnectionPool",
    "BootMismatchError",
    "HeldAnswer",
    "ServerLoad",
    "call_backend",
]

"""Interface between the connections of callers and what answers their requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import h11

from cicadaledge.codes import Code
from cicadaledge.edge._http_client import Headers
from cicadaledge.edge._response_writer import ResponseWriter
from cicadaledge.routing import Limits


class RequestHead:
    """Head of a caller's request."""

    __slots__ = ("headers", "method", "started_ms", "target")

    def __init__(self, request: h11.Request, started_ms: float) -> None:
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("latin-1")
        self.headers: Headers = request.headers.raw_items()
        self.started_ms = started_ms


# Answers a request whose body was not kept.
EarlyAnswer = Callable[[ResponseWriter], Awaitable[None]]
# Returns how to answer a request without its body, or None if the body must be kept.
HeadCheck = Callable[[RequestHead], EarlyAnswer | None]


class CallerService(Protocol):
    """Answers the requests of callers."""

    @property
    def limits(self) -> Limits:
        """Limits on the size and duration of callers' requests."""

    def ends_connection(self) -> bool:
        """Return whether to close the connection after the response that starts now."""

    async def answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one completely read request."""

    def refuse(self, code: Code, detail: str, status: int) -> tuple[Headers, bytes]:
        """Return the headers and body of a refusal sent before a route is known."""

    def record_disconnect(self, head: RequestHead) -> None:
        """Record that a caller disconnected before its request was read."""

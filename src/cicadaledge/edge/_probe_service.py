"""Answers the readiness probes of the load balancer and requests for the metrics."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from cicadaledge.codes import Code
from cicadaledge.edge._caller_service import EarlyAnswer, RequestHead
from cicadaledge.edge._header_codec import HeaderCodec
from cicadaledge.edge._http_client import Headers
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._response_writer import ResponseWriter
from cicadaledge.routing import Limits

_METRICS_PATH = "/metrics"
_OK, _UNAVAILABLE, _NOT_FOUND = 200, 503, 404


class ProbeService:
    """Answers the load balancer's readiness probes and serves the metrics.

    Args:
        is_ready: Whether the balancer may send callers to this router.
    """

    limits = Limits()

    def __init__(
        self, dialect: HeaderCodec, is_ready: Callable[[], bool], metrics: EdgeMetrics
    ) -> None:
        self._dialect = dialect
        self._is_ready = is_ready
        self._metrics = metrics

    async def answer(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer a readiness probe or a request for the metrics."""
        path = head.target.split("?", 1)[0]
        if path == self._dialect.ready_path:
            await writer.send_response(_OK if self._is_ready() else _UNAVAILABLE, [], b"")
        elif path == _METRICS_PATH:
            content, headers = self._metrics.text()
            named = [(name.encode(), value.encode()) for name, value in headers.items()]
            await writer.send_response(_OK, named, content)
        else:
            await writer.send_response(_NOT_FOUND, [], b"")

    def check_head(self, head: RequestHead) -> EarlyAnswer:
        """Return how to answer a request; no body is kept."""
        return partial(self.answer, head, b"")

    def ends_connection(self) -> bool:
        """Return False: probes keep their connections."""
        return False

    def refuse(self, code: Code, detail: str, status: int) -> tuple[Headers, bytes]:
        """Return the answer to a malformed probe."""
        return [], b""

    def record_disconnect(self, head: RequestHead) -> None:
        """Do nothing: a disconnected probe needs no record."""

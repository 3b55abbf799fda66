"""Refuses requests of callers: log line, count, status, headers and body."""

from __future__ import annotations

import json
from typing import Any

from cicadaledge.clock import clock_ms
from cicadaledge.codes import Code, code_info
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._header_codec import HeaderCodec
from cicadaledge.edge._http_client import Headers
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._response_writer import ResponseWriter
from cicadaledge.errors import RefusalError, refusal_body
from cicadaledge.logs import PartLog
from cicadaledge.routing import Call

_log = PartLog("request")


class RefusalWriter:
    """Answers requests with refusals.

    Args:
        callers: Connections of callers; with many of them, a refused caller's is closed.
    """

    def __init__(
        self, codec: HeaderCodec, callers: CallerConnections, metrics: EdgeMetrics
    ) -> None:
        self._codec = codec
        self._callers = callers
        self._metrics = metrics

    def before_route(self, code: Code, detail: str, status: int) -> tuple[Headers, bytes]:
        """Return the headers and body of a refusal sent before a route is known."""
        self._metrics.count_refusal(int(code))
        _log.info("Request refused.", code=int(code), detail=detail, status=status)
        body = _json(refusal_body(RefusalError(code, detail), None))
        return self._codec.refusal_headers(None), body

    async def send(self, refusal: RefusalError, call: Call | None, writer: ResponseWriter) -> None:
        """Refuse a request; abort its response if that has begun."""
        request_id = call.request_id if call else None
        _log.info(
            "Request refused.",
            request_id=request_id,
            code=int(refusal.code),
            detail=refusal.detail,
            run_state=refusal.run_state.value,
            broken_off=writer.started,
            after_ms=round(clock_ms() - call.started_ms) if call else None,
        )
        self._metrics.count_refusal(int(refusal.code))
        if writer.started:
            writer.abort()
            return
        status = code_info(refusal.code).http_status
        headers = self._codec.refusal_headers(refusal.retry_after_ms)
        if self._callers.is_half_full:
            headers = [*headers, (b"Connection", b"close")]
        await writer.send_response(status, headers, _json(refusal_body(refusal, request_id)))


def _json(plain: dict[str, Any]) -> bytes:
    return json.dumps(plain).encode()

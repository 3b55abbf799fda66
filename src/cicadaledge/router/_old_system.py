"""Relays requests to the old routing system, for accounts that have not been migrated from it.

Requests and answers are relayed as they are, except that only the headers listed below are passed
on; no request is sent twice.
"""

from __future__ import annotations

import http.client
from collections.abc import Iterable, Iterator
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from cicadaledge.codes import Code, RunState
from cicadaledge.errors import RefusalError
from cicadaledge.router._context import RouterContext
from cicadaledge.router._http import HttpRequest, StartResponse, status_line
from cicadaledge.router._metrics import RouterMetrics
from cicadaledge.world import ClientAccount

_PASSED_HEADERS = (
    "Content-Type",
    "Accept",
    "Idempotency-Key",
    "Last-Event-ID",
    "X-Cost-Hint",
    "X-Deadline-Ms",
)
_KEPT_HEADERS = ("content-type", "retry-after", "location", "cache-control")
_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


class OldSystemClient:
    """Relays requests and answers unchanged; never sends a request twice."""

    def __init__(self, context: RouterContext, metrics: RouterMetrics) -> None:
        self._context = context
        self._metrics = metrics

    def relay(
        self,
        request: HttpRequest,
        body: bytes,
        account: ClientAccount,
        request_id: str,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Relay one request.

        Raises:
            RefusalError: The old system did not answer; code 3006.
        """
        answer = self._send(request, body, account, request_id)
        headers = [(name, answer.headers[name]) for name in _KEPT_HEADERS if name in answer.headers]
        length = answer.headers.get("Content-Length")
        if length is not None:
            headers.append(("Content-Length", length))
        start_response(status_line(answer.status), [*headers, ("X-Request-Id", request_id)])
        self._metrics.answered(account.name, 0)
        return self._chunks(answer)

    def _send(
        self, request: HttpRequest, body: bytes, account: ClientAccount, request_id: str
    ) -> Any:
        system = self._context.configuration.old_system
        if system is None:
            raise RefusalError(
                Code.OLD_SYSTEM_UNAVAILABLE, "no old system is set", run_state=RunState.NOT_RUN
            )
        limits = self._context.settings.limits
        connection = HTTPConnection(
            system.host, system.port, timeout=limits.first_byte_timeout_ms / 1000
        )
        try:
            connection.connect()
        except _ERRORS as error:
            raise RefusalError(
                Code.OLD_SYSTEM_UNAVAILABLE, run_state=RunState.NOT_RUN, retry_after_ms=1000
            ) from error
        headers = {name: request.header(name) for name in _PASSED_HEADERS if request.header(name)}
        headers |= {"X-Request-Id": request_id, "X-Account": account.name}
        path = request.path + ("?" + request.query if request.query else "")
        try:
            connection.request(
                request.method, path, body=body, headers=headers, preload_content=False
            )
            return connection.getresponse()
        except _ERRORS as error:
            connection.close()
            raise RefusalError(Code.OLD_SYSTEM_UNAVAILABLE) from error

    def _chunks(self, answer: Any) -> Iterator[bytes]:
        # An error here closes the caller's connection, which marks the answer as incomplete.
        try:
            yield from answer.stream(65_536)
        finally:
            answer.close()

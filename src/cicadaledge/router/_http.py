"""Requests, answers and refusals of the HTTP interfaces."""

from __future__ import annotations

import json
import math
import select
import socket
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field, frozen
from cheroot import wsgi
from cheroot.server import HTTPRequest

from cicadaledge.codes import Code, code_info
from cicadaledge.errors import RefusalError, refusal_body

_SOCKET_KEY = "cicadaledge.socket"
_REQUEST_KEY = "cicadaledge.request"
_READ_CHUNK_BYTES = 65_536
_REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

StartResponse = Callable[..., Any]


class SocketGateway(wsgi.Gateway_10):
    """Adds the caller's socket to the WSGI environment."""

    req: HTTPRequest

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment."""
        environ: dict[str, Any] = super().get_environ()
        environ[_SOCKET_KEY] = self.req.conn.socket
        environ[_REQUEST_KEY] = self.req
        return environ


@frozen
class HttpAnswer:
    """One complete answer."""

    status: int
    body: bytes
    headers: dict[str, str] = field(factory=dict)

    def start(self, start_response: StartResponse) -> Iterable[bytes]:
        """Start the WSGI response; return the body."""
        headers = [("Content-Length", str(len(self.body))), *self.headers.items()]
        start_response(status_line(self.status), headers)
        return [self.body]


@define
class HttpRequest:
    """One request of a caller or an operator.

    Args:
        environ: The WSGI environment.
    """

    environ: dict[str, Any]

    @property
    def method(self) -> str:
        return str(self.environ["REQUEST_METHOD"])

    @property
    def path(self) -> str:
        return str(self.environ.get("PATH_INFO", "/"))

    @property
    def query(self) -> str:
        return str(self.environ.get("QUERY_STRING", ""))

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return str(self.environ.get(key, ""))
        return str(self.environ.get(f"HTTP_{key}", ""))

    def bearer_key(self) -> str:
        """Return the bearer key, or an empty string."""
        scheme, _, key = self.header("Authorization").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def int_header(self, name: str, default: int, low: int, high: int) -> int:
        """Return the integer value of a header.

        Raises:
            RefusalError: The value is not an integer within the bounds; code 1001.
        """
        text = self.header(name)
        if not text:
            return default
        if not (text.isascii() and text.isdigit() and low <= int(text[:12]) <= high):
            raise RefusalError(
                Code.BAD_REQUEST, f"{name}: expected a whole number from {low} to {high}"
            )
        return int(text)

    def read_body(self, limit_bytes: int) -> bytes:
        """Read the whole body.

        Raises:
            RefusalError: The body exceeds the limit (code 1005) or cannot be read (code 1001).
        """
        length = self.header("Content-Length")
        if length and (not length.isdigit() or int(length[:15]) > limit_bytes):
            raise RefusalError(Code.BODY_TOO_LARGE, f"the limit is {limit_bytes} bytes")
        chunks: list[bytes] = []
        size = 0
        stream = self.environ["wsgi.input"]
        while True:
            try:
                chunk = stream.read(_READ_CHUNK_BYTES)
            except (OSError, ValueError) as error:
                raise RefusalError(Code.BAD_REQUEST, "the body is broken") from error
            if not chunk:
                return b"".join(chunks)
            size += len(chunk)
            if size > limit_bytes:
                raise RefusalError(Code.BODY_TOO_LARGE, f"the limit is {limit_bytes} bytes")
            chunks.append(chunk)

    def close_if_unread(self) -> None:
        """Close the connection after the answer if the body was not read completely.

        The HTTP server would otherwise wait for the rest of the body before it answers.
        """
        request = self.environ.get(_REQUEST_KEY)
        if request is not None and getattr(request.rfile, "remaining", None):
            request.close_connection = True

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        connection = self.environ.get(_SOCKET_KEY)
        if not isinstance(connection, socket.socket):
            return False
        try:
            readable, _, _ = select.select([connection], [], [], 0)
            return bool(readable) and connection.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True


def status_line(status: int) -> str:
    """Return the status code with its reason phrase."""
    return f"{status} {_REASONS.get(status, 'Status')}"


def json_answer(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> HttpAnswer:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode() + b"\n"
    return HttpAnswer(status, body, {"Content-Type": "application/json", **(headers or {})})


def refusal_answer(refusal: RefusalError, request_id: str) -> HttpAnswer:
    """Return the error answer for a refusal."""
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_ms / 1000))
    status = code_info(refusal.code).http_status
    return json_answer(refusal_body(refusal, request_id), status, headers)

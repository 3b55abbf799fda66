"""HTTP connections to backend servers, each valid for one boot of the server."""

from __future__ import annotations

import http.client
import json
import threading
from collections import deque
from collections.abc import Mapping
from functools import partial
from typing import Any

import urllib3
from attrs import frozen
from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

from cicadaledge.backends._read_limits import AnswerLimits, LimitedResponse, ReadAllowance
from cicadaledge.errors import BackendError
from cicadaledge.world import BackendServer

_CONNECT_TIMEOUT_S = 1.0
_LOAD_TIMEOUT_MS = 2_000
# Load reports and other small JSON answers are far shorter.
_MAX_SMALL_ANSWER_BYTES = 65_536
_MAX_IDLE_PER_BOOT = 32
_OK = 200
# Final answers have these statuses. The HTTP library takes others, also interim ones, for answers.
_FIRST_FINAL_STATUS, _LAST_FINAL_STATUS = 200, 599
_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
    KeyError,
    TypeError,
    RecursionError,  # raised by the JSON parser
)


class BootMismatchError(BackendError):
    """The server has restarted since the grant was made."""


@frozen
class ServerLoad:
    """Load report of a backend server.

    Args:
        boot_id: Identifies the boot; changes with each restart.
        running: Number of requests running when the report was made.
        age_ms: Age of the report when the server sent it.
    """

    boot_id: str
    running: int
    age_ms: int


class BackendConnection:
    """One HTTP connection to one boot of a backend server.

    A server that restarts closes its connections, so a request on this connection can
    only run on the boot that the connection was opened to.
    """

    def __init__(self, server: BackendServer) -> None:
        self._allowance = ReadAllowance()
        self._http = _new_connection(server, _CONNECT_TIMEOUT_S, self._allowance)
        self.server = server.name
        self.boot_id = ""

    def open(self) -> None:
        """Connect and read the boot id.

        Raises:
            BackendError: The server cannot be reached; nothing was sent.
        """
        try:
            self._http.connect()
            self.boot_id = self.load().boot_id
        except _ERRORS as error:
            self.close()
            raise BackendError(f"{self.server} cannot be reached: {error}", sent=False) from error

    def load(self) -> ServerLoad:
        """Read the server's load report."""
        self._begin(_small_answer(_LOAD_TIMEOUT_MS))
        self._http.request("GET", "/load", preload_content=False)
        answer = self._http.getresponse()
        body = json.loads(_read_small(answer))
        if answer.status != _OK:
            raise ValueError(f"load report has status {answer.status}")
        return ServerLoad(str(body["boot_id"]), int(body["running"]), int(body["age_ms"]))

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        limits: AnswerLimits,
    ) -> HTTPResponse:
        """Send a request and return the answer without reading its body.

        Args:
            limits: Limits on the answer, until `limit_reads` sets others.

        Raises:
            BackendError: The connection failed after bytes may have been sent.
        """
        self._begin(limits)
        try:
            self._http.request(
                method, path, body=body, headers=dict(headers), preload_content=False
            )
            answer = self._http.getresponse()
            if not _FIRST_FINAL_STATUS <= answer.status <= _LAST_FINAL_STATUS:
                raise ValueError(f"status {answer.status}, which no answer has")
            return answer
        except _ERRORS as error:
            self.close()
            raise BackendError(f"{self.server} failed: {error}", sent=True) from error

    def limit_reads(self, limits: AnswerLimits) -> None:
        """Set the limits on what is read from now on."""
        self._allowance.renew(limits)

    def is_usable(self) -> bool:
        """Return whether the connection is open and no unexpected data has arrived."""
        return self._http.sock is not None and self._http.is_connected

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    def _begin(self, limits: AnswerLimits) -> None:
        self._allowance.renew(limits)
        if self._http.sock is not None:
            self._http.sock.settimeout(limits.idle_ms / 1000)


class BackendConnectionPool:
    """Thread-safe pool of idle connections to backend servers, by server and boot id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, str], deque[BackendConnection]] = {}

    def acquire(self, server: BackendServer, boot_id: str) -> BackendConnection:
        """Return an idle or new connection to the given boot of a server.

        Raises:
            BootMismatchError: The server runs another boot; nothing was sent.
            BackendError: The server cannot be reached; nothing was sent.
        """
        while True:
            connection = self._pop_idle(server.name, boot_id)
            if connection is None:
                break
            if connection.is_usable():
                return connection
            connection.close()
        connection = BackendConnection(server)
        connection.open()
        if boot_id and connection.boot_id != boot_id:
            connection.close()
            raise BootMismatchError(f"{server.name} has restarted", sent=False)
        return connection

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool after its answer was read completely."""
        key = (connection.server, connection.boot_id)
        with self._lock:
            idle = self._idle.setdefault(key, deque())
            if connection.is_usable() and len(idle) < _MAX_IDLE_PER_BOOT:
                idle.append(connection)
                return
        connection.close()

    def close_idle(self, server: str, boot_id: str) -> None:
        """Close the idle connections to a boot that has ended."""
        with self._lock:
            idle = self._idle.pop((server, boot_id), deque())
        for connection in idle:
            connection.close()

    def _pop_idle(self, server: str, boot_id: str) -> BackendConnection | None:
        with self._lock:
            idle = self._idle.get((server, boot_id))
            return idle.pop() if idle else None


def call_backend(
    server: BackendServer, method: str, path: str, timeout_ms: int, body: Any = None
) -> Any:
    """Make a small JSON call on a separate connection.

    Raises:
        BackendError: The server did not answer.
    """
    data = json.dumps(body).encode() if body is not None else None
    allowance = ReadAllowance()
    http = _new_connection(server, timeout_ms / 1000, allowance)
    try:
        allowance.renew(_small_answer(timeout_ms))
        http.request(method, path, body=data, preload_content=False)
        answer = http.getresponse()
        return json.loads(_read_small(answer) or b"null")
    except _ERRORS as error:
        raise BackendError(f"{server.name} did not answer: {error}", sent=True) from error
    finally:
        http.close()


def _new_connection(
    server: BackendServer, timeout_s: float, allowance: ReadAllowance
) -> HTTPConnection:
    http = HTTPConnection(server.host, server.port, timeout=timeout_s)
    http.response_class = partial(LimitedResponse, allowance)  # type: ignore[assignment]
    return http


def _read_small(answer: HTTPResponse) -> bytes:
    """Return a short body; `read` without a size would allocate whatever length is announced."""
    body: bytes = answer.read(_MAX_SMALL_ANSWER_BYTES + 1)
    if len(body) > _MAX_SMALL_ANSWER_BYTES:
        raise ValueError(f"the answer is over {_MAX_SMALL_ANSWER_BYTES} bytes")
    return body


def _small_answer(timeout_ms: int) -> AnswerLimits:
    return AnswerLimits(_MAX_SMALL_ANSWER_BYTES, total_ms=timeout_ms, idle_ms=timeout_ms)

"""HTTP server of the threaded stand-ins, with fault switches."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
import weakref
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from cheroot import wsgi
from cheroot.server import HTTPConnection

StartResponse = Callable[..., Any]

_SOCKET_KEY = "cicadaledge.socket"
_GENERATION_KEY = "cicadaledge.generation"
_THREADS = 96
_TIMEOUT_S = 600


class DropConnectionError(Exception):
    """Raised by a handler to close the connection without an answer."""


class SocketGateway(wsgi.Gateway_10):
    """Adds the connection's socket to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment."""
        environ: dict[str, Any] = super().get_environ()
        environ[_SOCKET_KEY] = self.req.conn.socket
        environ[_GENERATION_KEY] = getattr(self.req.conn, "generation", 0)
        return environ


class Connections:
    """Registry of a server's open connections, by which a fault can close them."""

    def __init__(self) -> None:
        self.generation = 0
        self._open: weakref.WeakSet[HTTPConnection] = weakref.WeakSet()
        self._lock = threading.Lock()

    def make_class(self) -> type[HTTPConnection]:
        """Return a connection class whose instances are registered here."""
        registry = self

        class RegisteredConnection(HTTPConnection):
            def __init__(self, *args: Any, **kwargs: Any) -> None:
                super().__init__(*args, **kwargs)
                self.generation = registry.generation
                with registry._lock:
                    registry._open.add(self)

        return RegisteredConnection

    def close_all(self) -> None:
        """Shut every connection down, as the end of a process does."""
        with self._lock:
            self.generation += 1
            connections = list(self._open)
        for connection in connections:
            shut_down(connection.socket)


def shut_down(connection: Any) -> None:
    """Shut a socket down in both directions."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class FaultSwitches:
    """Faults that are set over HTTP; some are counters that each use decrements."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values: dict[str, Any] = {}

    def update(self, values: dict[str, Any]) -> dict[str, Any]:
        """Set some switches and return all of them."""
        with self._lock:
            self._values.update(values)
            return dict(self._values)

    def get(self, name: str) -> float:
        """Return a switch's value; 0 if it was never set."""
        return float(self._values.get(name, 0))

    def consume(self, name: str) -> bool:
        """Decrement a counter; return whether it was positive."""
        with self._lock:
            remaining = int(self._values.get(name, 0))
            if remaining <= 0:
                return False
            self._values[name] = remaining - 1
            return True


class Call:
    """One HTTP call to a stand-in."""

    def __init__(self, environ: dict[str, Any]) -> None:
        self.method = str(environ["REQUEST_METHOD"])
        self.path = str(environ.get("PATH_INFO", "/"))
        self.query = {key: values[0] for key, values in parse_qs(environ["QUERY_STRING"]).items()}
        self.environ = environ
        self.generation: int = environ[_GENERATION_KEY]
        self.body: bytes = environ["wsgi.input"].read()

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return str(self.environ.get("HTTP_" + name.upper().replace("-", "_"), ""))

    def json(self) -> Any:
        """Return the JSON body."""
        return json.loads(self.body or b"null")


class Reply:
    """Answer of a stand-in.

    Args:
        chunks: Chunks of the body.
        stream: Send the chunks one by one, without a content length.
    """

    def __init__(
        self,
        status: int,
        chunks: Iterable[bytes],
        headers: dict[str, str] | None = None,
        stream: bool = False,
    ) -> None:
        self.status = status
        self.chunks = chunks
        self.headers = headers or {}
        self.stream = stream


def json_reply(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> Reply:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    return Reply(status, [body], {"Content-Type": "application/json", **(headers or {})})


class StandInServer:
    """Serves one stand-in until SIGTERM.

    Args:
        handle: Returns the answer to a call.
    """

    def __init__(self, host: str, port: int, handle: Callable[[Call], Reply]) -> None:
        self.connections = Connections()
        self._handle = handle
        self._server = wsgi.Server(
            (host, port),
            self._application,
            numthreads=_THREADS,
            max=_THREADS,
            request_queue_size=256,
            timeout=_TIMEOUT_S,
            shutdown_timeout=1,
        )
        self._server.ConnectionClass = self.connections.make_class()
        self._server.gateway = SocketGateway

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        stop = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: stop.set())
        self.start()
        stop.wait()
        self.stop()

    def start(self) -> None:
        """Serve in a thread."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            reply = self._handle(Call(environ))
        except DropConnectionError:
            self._drop_connection(environ)
            return
        except (ValueError, KeyError, TypeError) as error:
            reply = json_reply({"error": repr(error)}, 400)
        headers = list(reply.headers.items())
        if not reply.stream:
            body = b"".join(reply.chunks)
            start_response(f"{reply.status} Status", [*headers, ("Content-Length", str(len(body)))])
            yield body
            return
        start_response(f"{reply.status} Status", headers)
        try:
            yield from reply.chunks
        except DropConnectionError:
            self._drop_connection(environ)
            raise

    def _drop_connection(self, environ: dict[str, Any]) -> None:
        shut_down(environ[_SOCKET_KEY])


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000

"""Stand-in of the old routing system, which forwards requests to the same backend servers."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Iterator
from typing import Any

import urllib3
from attrs import field, frozen
from urllib3.connection import HTTPConnection

from cicadaledge.standins._server import Call, DropConnectionError, Reply, StandInServer

_TIMEOUT_S = 60.0
_HEADERS = ("Content-Type", "Idempotency-Key", "X-Request-Id", "X-Account")


@frozen
class OldBackend:
    """A backend server that the old system uses; *pool* is empty for model engines."""

    host: str
    port: int
    pool: str = ""


@frozen
class OldSystemSettings:
    """Settings of the old system's stand-in.

    Args:
        slots_per_backend: Maximum of concurrent requests on each backend server.
    """

    host: str
    port: int
    slots_per_backend: int = 1
    backends: list[OldBackend] = field(factory=list)


class OldSystemStandIn:
    """Forwards requests to the backend servers of their pool in turn."""

    def __init__(self, settings: OldSystemSettings) -> None:
        self._settings = settings
        self._server = StandInServer(settings.host, settings.port, self._handle)
        self._next_index = itertools.count()
        self._slots = {
            (backend.host, backend.port): threading.Semaphore(settings.slots_per_backend)
            for backend in settings.backends
        }

    def run(self) -> None:
        """Serve until SIGTERM."""
        self._server.run()

    def _handle(self, call: Call) -> Reply:
        pool = "" if call.path.startswith("/v1/") else call.path.split("/")[1]
        path = call.path.removeprefix("/" + pool) if pool else call.path
        backends = [backend for backend in self._settings.backends if backend.pool == pool]
        backend = backends[next(self._next_index) % len(backends)]
        slot = self._slots[(backend.host, backend.port)]
        slot.acquire()
        try:
            return self._forward(call, path, backend, slot)
        except BaseException:
            slot.release()
            raise

    def _forward(
        self, call: Call, path: str, backend: OldBackend, slot: threading.Semaphore
    ) -> Reply:
        http = HTTPConnection(backend.host, backend.port, timeout=_TIMEOUT_S)
        headers = {
            name: (
                call.environ.get("CONTENT_TYPE", "")
                if name == "Content-Type"
                else call.header(name)
            )
            for name in _HEADERS
        }
        try:
            http.request(call.method, path, body=call.body, headers=headers, preload_content=False)
            answer = http.getresponse()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise DropConnectionError from error
        response_headers = {"Content-Type": answer.headers.get("Content-Type", "application/json")}
        return Reply(answer.status, _chunks(answer, slot), response_headers, stream=True)


def _chunks(answer: Any, slot: threading.Semaphore) -> Iterator[bytes]:
    try:
        yield from answer.stream(65_536)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise DropConnectionError from error
    finally:
        slot.release()

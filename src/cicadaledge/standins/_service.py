"""Stand-in of a plain service that books items from a stock."""

from __future__ import annotations

import itertools
import threading
import time
import uuid
from typing import Any

from attrs import frozen

from cicadaledge.standins._server import (
    Call,
    DropConnectionError,
    FaultSwitches,
    Reply,
    StandInServer,
    json_reply,
    wall_clock_ms,
)

_RESTART_DELAY_S = 0.05
_ENDLESS_CHUNK = b"x" * 65_536


@frozen
class ServiceSettings:
    """Settings of a service stand-in.

    Args:
        work_ms: Duration of each call.
        stock: Initial number of items.
    """

    name: str
    host: str
    port: int
    work_ms: int = 15
    stock: int = 1_000_000
    warm_slots: int = 8


class ServiceStandIn:
    """Books items and records each booking."""

    def __init__(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self._server = StandInServer(settings.host, settings.port, self._handle)
        self._lock = threading.Lock()
        self._boot_id = uuid.uuid4().hex[:12]
        self._stock = settings.stock
        self._running = 0
        self._peak = 0
        self._bookings: list[dict[str, Any]] = []
        self._faults = FaultSwitches()

    def run(self) -> None:
        """Serve until SIGTERM."""
        self._server.run()

    def _handle(self, call: Call) -> Reply:
        if call.path == "/load":
            with self._lock:
                return json_reply({"boot_id": self._boot_id, "running": self._running, "age_ms": 1})
        if call.path == "/standin/journal":
            with self._lock:
                return json_reply(
                    {
                        "name": self._settings.name,
                        "runs": self._bookings,
                        "stock": self._stock,
                        "peak": self._peak,
                    }
                )
        if call.path == "/standin/faults":
            return self._set_faults(call)
        return self._serve(call)

    def _serve(self, call: Call) -> Reply:
        with self._lock:
            self._running += 1
            self._peak = max(self._peak, self._running)
        try:
            time.sleep((self._settings.work_ms + self._faults.get("delay_ms")) / 1000)
            return self._book(call)
        finally:
            with self._lock:
                self._running -= 1

    def _book(self, call: Call) -> Reply:
        request_id = call.header("X-Request-Id")
        response_headers = {"X-Request-Id": request_id}
        if call.method == "GET" and self._faults.consume("endless_reads"):
            return Reply(200, itertools.repeat(_ENDLESS_CHUNK), response_headers, stream=True)
        with self._lock:
            if call.method == "GET":
                return json_reply(
                    {"stock": self._stock, "path": call.path}, headers=response_headers
                )
            self._stock -= 1
            booking = uuid.uuid4().hex
            self._bookings.append(
                {
                    "request_id": request_id,
                    "account": call.header("X-Account"),
                    "key": call.header("Idempotency-Key"),
                    "booking": booking,
                    "at_ms": wall_clock_ms(),
                    "bytes": len(call.body),
                }
            )
        if self._faults.consume("lose_answers"):
            raise DropConnectionError
        if self._faults.consume("refuse_after_run"):
            return json_reply({"error": "refused"}, 503, headers=response_headers)
        if self._faults.consume("endless_answers"):
            return Reply(201, itertools.repeat(_ENDLESS_CHUNK), response_headers, stream=True)
        if self._faults.consume("cross_answers"):
            response_headers = {"X-Request-Id": uuid.uuid4().hex}
        return json_reply(
            {"booking": booking, "bytes": len(call.body)}, 201, headers=response_headers
        )

    def _set_faults(self, call: Call) -> Reply:
        faults = call.json()
        restart = faults.pop("restart", False)
        if restart:
            with self._lock:
                self._boot_id = uuid.uuid4().hex[:12]
            threading.Timer(_RESTART_DELAY_S, self._server.connections.close_all).start()
        return json_reply({"faults": self._faults.update(faults)})

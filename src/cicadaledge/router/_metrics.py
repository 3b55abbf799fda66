"""Metrics of one router, in the Prometheus text format."""

from __future__ import annotations

import threading
from typing import TypeVar

import aioprometheus
import psutil
from aioprometheus.renderer import render

T = TypeVar("T", aioprometheus.Counter, aioprometheus.Gauge)

_FIRST_TOKEN_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class RouterMetrics:
    """Counters, gauges and histograms of one router; thread-safe."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._process = psutil.Process()
        self._requests = self._add(
            aioprometheus.Counter("cicadaledge_requests_total", "Answered requests by account.")
        )
        self._refusals = self._add(
            aioprometheus.Counter("cicadaledge_refusals_total", "Refusals by code.")
        )
        self._bounds = self._add(
            aioprometheus.Counter(
                "cicadaledge_ingress_bounds_total",
                "Requests and connections that met a bound on what callers send, by bound.",
            )
        )
        self._cost = self._add(
            aioprometheus.Counter("cicadaledge_cost_total", "Cost served by account.")
        )
        self._gauges = {
            name: self._add(aioprometheus.Gauge(f"cicadaledge_{name}", text))
            for name, text in (
                ("control_offset", "Applied offset of the control stream."),
                ("control_sent_bytes", "Bytes sent to peers since the start."),
                ("slots_open", "Open slots under valid leases."),
                ("slots_busy", "Busy slots under valid leases."),
                ("requests_waiting", "Requests waiting at this router's coordinators."),
                ("requests_active", "Requests of this router that wait or run."),
                ("home_rights", "1 while this router may lease its servers' slots."),
                ("cpu_seconds", "Processor time used since the start."),
                ("resident_bytes", "Resident memory."),
            )
        }
        self._first_event = aioprometheus.Histogram(
            "cicadaledge_first_event_seconds",
            "Time to the first event of an answer.",
            buckets=list(_FIRST_TOKEN_BUCKETS_S),
        )
        self.registry.register(self._first_event)

    def answered(self, account: str, cost: int) -> None:
        """Count an answered request and its cost."""
        with self._lock:
            self._requests.inc({"account": account})
            self._cost.add({"account": account}, cost)

    def count_bound(self, bound: str, count: int) -> None:
        """Count what met a bound on what callers send."""
        with self._lock:
            self._bounds.add({"bound": bound}, count)

    def refused(self, code: int) -> None:
        """Count a refused request."""
        with self._lock:
            self._refusals.inc({"code": str(code)})

    def observe_first_event(self, seconds: float) -> None:
        """Record the time to the first event of an answer."""
        with self._lock:
            self._first_event.add({}, seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        with self._lock:
            self._gauges[name].set({}, value)

    def update_process_gauges(self) -> None:
        """Update the gauges of processor time and memory."""
        times = self._process.cpu_times()
        self.set_gauge("cpu_seconds", times.user + times.system)
        self.set_gauge("resident_bytes", self._process.memory_info().rss)

    def text(self) -> tuple[bytes, dict[str, str]]:
        """Return the rendered metrics and their headers."""
        with self._lock:
            content, headers = render(self.registry, ["text/plain"])
        return content, dict(headers)

    def _add(self, collector: T) -> T:
        self.registry.register(collector)
        return collector

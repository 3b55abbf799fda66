"""Metrics of an edge router, in the Prometheus text format."""

from __future__ import annotations

import resource
from collections import Counter

import aioprometheus
from aioprometheus.renderer import render

from cicadaledge.store import StoreEpoch

_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 5.0, 15.0)


class EdgeMetrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        registry = aioprometheus.Registry()
        self._registry = registry
        self._refusal_counts: Counter[str] = Counter()
        self._refusals = aioprometheus.Counter(
            "cicadaledge_refusals_total", "Refusals by code.", registry=registry
        )
        self._attempts = aioprometheus.Counter(
            "cicadaledge_attempts_total",
            "Sendings to backend servers by how they ended.",
            registry=registry,
        )
        self._server_reports = aioprometheus.Counter(
            "cicadaledge_server_words_total",
            "What servers said of themselves in answers.",
            registry=registry,
        )
        self._crashes = aioprometheus.Counter(
            "cicadaledge_server_crashes_total",
            "Crashes of servers by what told of them.",
            registry=registry,
        )
        self._rejected_callers = aioprometheus.Counter(
            "cicadaledge_callers_turned_away_total",
            "New callers that were turned away before their request was taken.",
            registry=registry,
        )
        self._ingress = aioprometheus.Counter(
            "cicadaledge_ingress_bounds_total",
            "Requests and connections that met a bound on what callers send, by bound.",
            registry=registry,
        )
        self._stalled_readers = aioprometheus.Counter(
            "cicadaledge_callers_stalled_total",
            "Callers that were disconnected because they had stopped reading their answer.",
            registry=registry,
        )
        self._disconnects = aioprometheus.Counter(
            "cicadaledge_callers_left_total",
            "Requests whose caller left before the answer.",
            registry=registry,
        )
        self._skipped_entries = aioprometheus.Counter(
            "cicadaledge_entries_not_used_total",
            "Entries of the store that could not be read or taken over.",
            registry=registry,
        )
        self._epoch_events = aioprometheus.Counter(
            "cicadaledge_store_epochs_total",
            "Changes of the store's epoch, and relayed pages dropped because of one.",
            registry=registry,
        )
        self._part_failures = aioprometheus.Counter(
            "cicadaledge_part_failures_total",
            "Failures of a part of the router, which was started again.",
            registry=registry,
        )
        self._rollouts = aioprometheus.Counter(
            "cicadaledge_rollout_events_total",
            "Requests, bad answers and status writes of rollouts.",
            registry=registry,
        )
        self._gauges = aioprometheus.Gauge(
            "cicadaledge_state", "What the router believes.", registry=registry
        )
        self._first_byte_seconds = aioprometheus.Histogram(
            "cicadaledge_first_byte_seconds",
            "From sending a request to the first byte of its answer's body.",
            registry=registry,
            buckets=list(_BUCKETS_S),
        )
        self._answer_seconds = aioprometheus.Histogram(
            "cicadaledge_answer_seconds",
            "From a request's first byte to its answer's end.",
            registry=registry,
            buckets=list(_BUCKETS_S),
        )

    def count_refusal(self, code: int) -> None:
        """Count a refusal."""
        self._refusal_counts[str(code)] += 1

    def count_attempt(self, end: str) -> None:
        """Count an attempt to run a request on a server."""
        self._attempts.inc({"end": end})

    def count_disconnect(self) -> None:
        """Count a caller that disconnected before its answer."""
        self._disconnects.inc({})

    def count_stalled_reader(self) -> None:
        """Count a caller that was disconnected because it had stopped reading."""
        self._stalled_readers.inc({})

    def count_server_report(self, what: str) -> None:
        """Count a server's report of its own state in an answer."""
        self._server_reports.inc({"what": what})

    def count_crash(self, told_by: str) -> None:
        """Count a server crash by how it was detected."""
        self._crashes.inc({"told_by": told_by})

    def count_rejected_callers(self, count: int) -> None:
        """Count new callers that were rejected."""
        self._rejected_callers.add({}, count)

    def count_ingress(self, bound: str, count: int) -> None:
        """Count what met a bound on what callers send."""
        if count:
            self._ingress.add({"bound": bound}, count)

    def count_skipped_entries(self, topic: str, why: str, count: int = 1) -> None:
        """Count entries of a topic that were skipped."""
        self._skipped_entries.add({"topic": topic, "why": why}, count)

    def count_part_failure(self, part: str) -> None:
        """Count a failure of a background task."""
        self._part_failures.inc({"part": part})

    def set_store_epoch(self, epoch: StoreEpoch) -> None:
        """Take over the counts of the store's epochs."""
        self.set_gauge("store_epoch", epoch.current)
        for what, count in epoch.counts.items():
            self._epoch_events.set({"what": what}, count)

    def count_rollout(self, what: str) -> None:
        """Count an event of a rollout."""
        self._rollouts.inc({"what": what})

    def observe_first_byte(self, seconds: float) -> None:
        """Observe the time to the first byte of a server's answer."""
        self._first_byte_seconds.add({}, seconds)

    def observe_answer(self, seconds: float) -> None:
        """Observe the time to a complete answer."""
        self._answer_seconds.add({}, seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set one gauge of the router's state."""
        self._gauges.set({"name": name}, value)

    def text(self) -> tuple[bytes, dict[str, str]]:
        """Return the rendered metrics and their headers."""
        for code, count in self._refusal_counts.items():
            self._refusals.set({"code": code}, count)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set_gauge("cpu_seconds", usage.ru_utime + usage.ru_stime)
        self.set_gauge("peak_resident_kb", usage.ru_maxrss)
        content, headers = render(self._registry, ["text/plain"])
        return content, dict(headers)

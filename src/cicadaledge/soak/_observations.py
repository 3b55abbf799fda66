"""Records what callers and backend servers saw of a round and finds violated guarantees."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from attrs import define, field, frozen

from cicadaledge.codes import NOT_RUN_STATUSES
from cicadaledge.edge import BoundSettings
from cicadaledge.routing import RouteKind
from cicadaledge.soak._cold_servers import ColdSpell, find_cold_overloads
from cicadaledge.soak._fatal_requests import CRASH_MARKER, FatalRequestChecker
from cicadaledge.soak._server_signals import ServerRecord, ServerSignalChecker
from cicadaledge.standins import Run, account_from_headers

_OK = 200
# A backend server must learn within this time that the caller of a request has disconnected.
LEAVE_NOTICE_MS = 500.0
ROUTE_TIMEOUT_MS = 4_000  # All routes of the soak have this timeout.
# A final answer may come this long after the route's timeout; a later one is overdue.
_ANSWER_MARGIN_MS = 500.0
# Some checks count their cases over a whole round. They tolerate this many, because messages that
# crossed, such as a request and the close of its connection, can explain them.
_MAX_TOLERATED = 3


@frozen
class SoakBounds:
    """Bounds in the routers' settings, and those that the platform requires.

    Args:
        reconnect_ms: Time after a disturbance until a router counts as undisturbed again.
        drain_ms: From a server's leaving to the last request that it receives.
        evacuation_ms: The same for the servers of an evacuated zone.
        revoke_ms: From the removal of a key to the last request that is accepted with it.
        apply_ms: From a new configuration to the last request routed by an older one.
        loss_slack_ms: Time after a request in which its connection may close without an answer,
            because the request and the close crossed.
    """

    reconnect_ms: float = 4_000.0
    drain_ms: float = 3_000.0
    evacuation_ms: float = 5_000.0
    revoke_ms: float = 5_000.0
    apply_ms: float = 3_000.0
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_ms: float = 10_000.0
    grace_ms: float = 8_000.0
    loss_slack_ms: float = 200.0

    def for_routers(self) -> BoundSettings:
        """Return the bounds for the routers' settings."""
        return BoundSettings(
            grace_ms=self.grace_ms,
            revoke_ms=self.revoke_ms,
            retry_ratio=self.retry_ratio,
            retry_slack=self.retry_slack,
            retry_window_ms=self.retry_window_ms,
        )


@define
class SentRequest:
    """One request of a caller and its outcome.

    Args:
        router: Router that it was sent to.
        abandoned_ms: When the caller disconnected before the end of the answer.
        last_open_ms: Last time at which the connection was known to be open.
    """

    request_id: str
    kind: RouteKind
    resumable: bool
    router: str
    target: str
    body: bytes
    key: str
    sent_ms: float
    ended_ms: float | None = None
    status: int | None = None
    seal: str | None = None
    received: bytes = b""
    complete: bool = False
    abandoned_ms: float | None = None
    last_open_ms: float | None = None

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


@frozen
class Restriction:
    """A change after which some requests must not reach some servers.

    Args:
        label: Name in reports.
        servers: Servers that must receive no more requests; None for all.
        key: Key of the requests concerned; None for all.
        limit_ms: Time from the acknowledgement until the restriction must hold.
        until_ms: Time just before the change was reverted; later runs are allowed again.
        by_send_time: Compare when the caller sent the request instead of when the server
            received it.
        binds_all_routers: Holds for disturbed routers, too.
    """

    label: str
    acked_ms: float
    limit_ms: float
    servers: frozenset[str] | None = None
    key: str | None = None
    until_ms: float = float("inf")
    by_send_time: bool = False
    binds_all_routers: bool = False


@frozen
class _Span:
    from_ms: float
    until_ms: float
    is_lossless: bool
    is_process_interrupted: bool = False


@define
class Observations:
    """Everything that was observed in one round.

    Args:
        bounds: Bounds of the deployment.
        accounts: Account by key.
    """

    bounds: SoakBounds
    accounts: dict[str, str]
    sent: dict[str, SentRequest] = field(factory=dict)
    runs: list[tuple[str, Run]] = field(factory=list)
    records: list[ServerRecord] = field(factory=list)
    restrictions: list[Restriction] = field(factory=list)
    cold_spells: list[ColdSpell] = field(factory=list)
    failures: list[str] = field(factory=list)
    crashes_ms: list[float] = field(factory=list)
    crash_marker: str = CRASH_MARKER
    _router_disturbances: dict[str, list[_Span]] = field(factory=dict)
    _link_disturbances: dict[str, list[_Span]] = field(factory=dict)

    def record_router_disturbance(
        self,
        routers: Iterable[str],
        from_ms: float,
        until_ms: float,
        *,
        is_lossless: bool = False,
        is_process_interrupted: bool = False,
    ) -> None:
        """Record that routers were disturbed for some time.

        Args:
            is_lossless: Whether no request may be lost, as in a graceful shutdown or a store fault.
            is_process_interrupted: Whether their processes were paused or restarted.
        """
        for name in routers:
            span = _Span(from_ms, until_ms, is_lossless, is_process_interrupted)
            self._router_disturbances.setdefault(name, []).append(span)

    def record_link_disturbance(self, server: str, from_ms: float, until_ms: float) -> None:
        """Record that the links to a server were disrupted for some time."""
        self._link_disturbances.setdefault(server, []).append(
            _Span(from_ms, until_ms, is_lossless=False)
        )

    def _may_be_delayed(self, server: str, at_ms: float) -> bool:
        """Return whether a disrupted link may have delayed what a server received."""
        reconnect_ms = self.bounds.reconnect_ms
        return any(
            span.from_ms <= at_ms <= span.until_ms + reconnect_ms
            for span in self._link_disturbances.get(server, ())
        )

    def was_undisturbed(
        self, router: str, from_ms: float, until_ms: float, *, ignore_lossless: bool = False
    ) -> bool:
        """Return whether a router was undisturbed all the time, and for `reconnect_ms` before.

        Args:
            ignore_lossless: Ignore disturbances in which no request may be lost.
        """
        first_ms = from_ms - self.bounds.reconnect_ms
        return all(
            span.until_ms < first_ms
            or span.from_ms > until_ms
            or (ignore_lossless and span.is_lossless)
            for span in self._router_disturbances.get(router, ())
        )

    def violations(self) -> list[str]:
        """Return the violated guarantees, each with a request that shows it."""
        by_id: dict[str, list[tuple[str, Run]]] = {}
        for server, run in self.runs:
            by_id.setdefault(run.request_id, []).append((server, run))
        found = [*self.failures]
        found += self._find_unsolicited_runs()
        found += [
            f"resent: {record.name} got {request_id} again on the same connection"
            for record in self.records
            for request_id in record.resent
        ]
        for sent in self.sent.values():
            runs = by_id.get(sent.request_id, [])
            found += self._find_repeated_runs(sent, runs)
            found += self._find_wrong_answers(sent, runs)
        for restriction in self.restrictions:
            found += self._find_late_runs(restriction)
        found += self._find_abandoned_runs(by_id)
        found += self._find_lost_requests(by_id)
        found += self._find_overdue_requests()
        found += self._find_excess_retries(by_id)
        found += find_cold_overloads(self.runs, self.cold_spells)
        signal_checker = ServerSignalChecker(
            self.bounds.drain_ms, self._request_times, self._is_excused, self.records
        )
        fatal_checker = FatalRequestChecker(
            self.crash_marker,
            self.bounds.reconnect_ms,
            self._undisturbed_router,
            self.crashes_ms,
        )
        answers = [(sent.target, sent.received, sent.sent_ms) for sent in self.sent.values()]
        return found + signal_checker.violations() + fatal_checker.violations(self.runs, answers)

    def _undisturbed_router(self, run: Run) -> str | None:
        """Return the router that sent a run; None if it was disturbed then."""
        sent = self.sent.get(run.request_id)
        if sent is None or not self.was_undisturbed(sent.router, run.at_ms, run.at_ms):
            return None
        return sent.router

    def _request_times(self, request_id: str) -> tuple[str, float, float | None] | None:
        """Return a request's router, send time and end time; None as end time without an answer."""
        sent = self.sent.get(request_id)
        if sent is None:
            return None
        return sent.router, sent.sent_ms, sent.ended_ms if sent.status is not None else None

    def _is_excused(self, router: str, from_ms: float, until_ms: float, or_cut_off: bool) -> bool:
        """Return whether a router was paused or restarted in between, or *or_cut_off* cut off."""
        return any(
            (span.is_process_interrupted or (or_cut_off and not span.is_lossless))
            and span.until_ms >= from_ms
            and span.from_ms <= until_ms
            for span in self._router_disturbances.get(router, ())
        )

    def _find_unsolicited_runs(self) -> list[str]:
        found = []
        for server, run in self.runs:
            sent = self.sent.get(run.request_id)
            if sent is None:
                found.append(f"unasked: {server} ran {run.request_id}, which nobody sent")
                continue
            if (run.target, run.body) != (sent.target, sent.body):
                found.append(f"unasked: {server} ran {run.request_id} with a changed request")
            if "authorization" in run.headers:
                found.append(f"unasked: {server} was shown the key of {run.request_id}")
            if account_from_headers(run.headers) != self.accounts.get(sent.key):
                found.append(f"unasked: {server} ran {run.request_id} for another account")
        return found

    def _find_repeated_runs(self, sent: SentRequest, runs: list[tuple[str, Run]]) -> list[str]:
        servers = [server for server, _ in runs]
        if not sent.idempotent and len(runs) > 1:
            return [f"twice: {sent.request_id} {sent.target} ran at {servers}"]
        if sent.status in NOT_RUN_STATUSES and runs:
            return [f"refused: {sent.request_id} was answered {sent.status} and ran at {servers}"]
        return []

    def _find_wrong_answers(self, sent: SentRequest, runs: list[tuple[str, Run]]) -> list[str]:
        if sent.status != _OK:
            return []
        answers = [run.answer for _, run in runs]
        seals = [run.seal for _, run in runs]
        if sent.seal not in seals:
            return [f"mixed: {sent.request_id} has the seal {sent.seal}, not one of {seals}"]
        if sent.complete and not any(sent.received == answer for answer in answers if answer):
            return [f"mixed: {sent.request_id} got {sent.received[:80]!r} as a whole answer"]
        whole = max(answers, key=len, default=b"")
        if sent.kind is RouteKind.STREAM and not whole.startswith(sent.received):
            return [f"order: {sent.request_id} got {sent.received[-80:]!r}"]
        return []

    def _find_late_runs(self, restriction: Restriction) -> list[str]:
        found = []
        for server, run in self.runs:
            sent = self.sent.get(run.request_id)
            if sent is None or (
                restriction.servers is not None and server not in restriction.servers
            ):
                continue
            if not restriction.by_send_time and self._may_be_delayed(server, run.at_ms):
                continue
            if restriction.key is not None and sent.key != restriction.key:
                continue
            late_ms = (
                sent.sent_ms if restriction.by_send_time else run.at_ms
            ) - restriction.acked_ms
            if late_ms <= restriction.limit_ms or run.at_ms >= restriction.until_ms:
                continue
            if restriction.binds_all_routers or self.was_undisturbed(
                sent.router, restriction.acked_ms, run.at_ms
            ):
                found.append(
                    f"{restriction.label}: {server} ran {run.request_id} of {sent.router}"
                    f" {late_ms:.0f} ms after the acknowledgement"
                )
        return found

    def _find_abandoned_runs(self, by_id: dict[str, list[tuple[str, Run]]]) -> list[str]:
        """Count the runs that continued too long after their callers had disconnected."""
        late = []
        abandoned_runs = 0
        for sent in self.sent.values():
            if sent.abandoned_ms is None or not sent.idempotent:
                continue
            end_ms = sent.abandoned_ms + LEAVE_NOTICE_MS
            for server, run in by_id.get(sent.request_id, []):
                if not self.was_undisturbed(sent.router, sent.sent_ms, end_ms):
                    continue
                if self._may_be_delayed(server, end_ms):
                    continue
                abandoned_runs += 1
                if run.ended_ms is None or run.ended_ms > end_ms:
                    late.append(f"{run.request_id} at {server}")
        if len(late) > max(_MAX_TOLERATED, abandoned_runs // 4):
            return [f"gone: {len(late)} of {abandoned_runs} runs went on, the first {late[0]}"]
        return []

    def _find_lost_requests(self, by_id: dict[str, list[tuple[str, Run]]]) -> list[str]:
        """Find requests whose connection closed without an answer; count those just sent."""
        found = []
        just_sent = []
        for sent in self.sent.values():
            if sent.status is not None or sent.abandoned_ms is not None or sent.ended_ms is None:
                continue
            if not self.was_undisturbed(
                sent.router, sent.sent_ms, sent.ended_ms, ignore_lossless=True
            ):
                continue
            name = f"{sent.request_id} of {sent.router}"
            open_ms = (sent.last_open_ms or sent.sent_ms) - sent.sent_ms
            if open_ms > self.bounds.loss_slack_ms:
                found.append(f"lost: {name} ended without an answer after {open_ms:.0f} ms")
            elif by_id.get(sent.request_id):
                just_sent.append(name)
        if len(just_sent) > _MAX_TOLERATED:
            lost = f"{len(just_sent)} requests that ran ended without an answer"
            found.append(f"lost: {lost}, the first {just_sent[0]}")
        return found

    def _find_overdue_requests(self) -> list[str]:
        """Count the requests that had no final answer well after their route's timeout."""
        overdue = []
        for sent in self.sent.values():
            end_ms = sent.ended_ms or sent.abandoned_ms
            if end_ms is None or end_ms - sent.sent_ms < ROUTE_TIMEOUT_MS + _ANSWER_MARGIN_MS:
                continue
            if self.was_undisturbed(sent.router, sent.sent_ms, end_ms):
                overdue.append(sent.request_id)
        if len(overdue) > _MAX_TOLERATED:
            return [f"held: {len(overdue)} requests had no answer in time, the first {overdue[0]}"]
        return []

    def _find_excess_retries(self, by_id: dict[str, list[tuple[str, Run]]]) -> list[str]:
        """Check the retry budget in a window that begins at each repeated run."""
        bounds = self.bounds
        repeats = sorted(run.at_ms for runs in by_id.values() for _, run in runs[1:])
        starts = [sent.sent_ms for sent in self.sent.values()]
        for begin_ms in repeats:
            end_ms = begin_ms + bounds.retry_window_ms
            count = sum(begin_ms <= at_ms < end_ms for at_ms in repeats)
            early_ms = begin_ms - bounds.retry_window_ms
            requests = max(
                sum(begin_ms <= at_ms < end_ms for at_ms in starts),
                sum(early_ms <= at_ms < begin_ms for at_ms in starts),
            )
            if count > requests * bounds.retry_ratio + bounds.retry_slack:
                return [f"budget: {count} repeats beside {requests} requests in a window"]
        return []

    def statuses(self) -> Counter[str]:
        """Return the number of requests by their outcome."""
        return Counter(
            "left" if sent.abandoned_ms is not None else str(sent.status or "closed")
            for sent in self.sent.values()
        )

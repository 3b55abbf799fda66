"""Detects requests that crash backend servers and refuses them.

A request that crashes servers can be repeated at any router of the fleet. After its second or third
crash all routers refuse it. Other requests that ran on the crashed servers are cleared as soon as
they get a complete answer. Requests that share no more than a part of their prompt are left to
`PromptPartGuard`.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from cicadaledge.clock import clock_ms
from cicadaledge.codes import Code
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._fingerprint import digest_prefix, fingerprint
from cicadaledge.edge._interrupted_run import InterruptedRun
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._prompt_part_guard import PromptPartGuard
from cicadaledge.edge._wall_clock import wall_ms
from cicadaledge.errors import RefusalError
from cicadaledge.logs import PartLog
from cicadaledge.store import CrashEvidence
from cicadaledge.suspects import Evidence, SuspectTracker, TrialClaim

# Evidence of a crash expires after this time, within which operators can look into it. It is the
# same as the default of `poison_window_ms`.
_WINDOW_MS = 600_000.0
# At most this many requests that got a complete answer, the latest ones, are kept in order to rule
# them out as the cause of a crash. One router answers about as many within two seconds.
_MAX_RECENT = 32
# A request that got a complete answer within this time before a crash is not suspected of it.
_RECENT_MS = 2_000.0
# Answered requests with longer bodies are not kept, so that the kept bodies take at most 2 MB.
_RECENT_BODY_BYTES = 65_536
# After the first report of a crash, the refusal of a request blamed for it is delayed by this time.
# It covers a publication, a read of the store and the one-way delays, after which the evidence of
# other routers, which may clear the request, has arrived.
_EVIDENCE_DELAY_MS = 400.0
# A router publishes its evidence on no more crashes than this in one record. A crash takes up to
# 10 KB, if a full engine's requests wait for their answers, and a record has room for 256 KB.
_MAX_PUBLISHED_CRASHES = 20
# A blamed request explains its crashes, so that they do not count against prompt parts, only if it
# ran in this many. A harmless request that is sent again easily runs in two crashes of one part.
_MIN_EXPLAINED_CRASHES = 3
# The log line of a crash lists no more fingerprints than this, and the ids of all requests.
_MAX_LOGGED_FINGERPRINTS = 16
# It details no more requests than this whose answer had not begun; an engine reads about as many
# prompts at a time.
_MAX_LOGGED_RUNS = 16
_log = PartLog("crashes")


class PoisonRequestGuard:
    """Refuses poison requests, which crash the servers that run them.

    A suspect is a request that was running on a server when it crashed. It is blamed, and refused,
    once the evidence of this and of other routers shows that it causes the crashes. A complete
    answer clears it.

    Args:
        is_selected: Returns whether this router is among about a given number of routers that are
            selected for a name.

    Attributes:
        has_unpublished: Set when this router has evidence that it has not published yet.
        new_claims: Claims to trials of prompt parts that are to be written to the store.
    """

    def __init__(self, metrics: EdgeMetrics, is_selected: Callable[[str, float], bool]) -> None:
        self.has_unpublished = asyncio.Event()
        self._metrics = metrics
        self.new_claims: asyncio.Queue[TrialClaim] = asyncio.Queue()
        self._parts = PromptPartGuard(
            _WINDOW_MS, is_selected, self.has_unpublished.set, self.new_claims.put_nowait
        )
        self._own = SuspectTracker(_WINDOW_MS)
        self._fleet = SuspectTracker(_WINDOW_MS)
        self._first_heard_ms: dict[str, float] = {}
        self._recent: deque[tuple[float, ActiveRequest]] = deque(maxlen=_MAX_RECENT)
        self._running: dict[str, Counter[str]] = {}

    def record_crash(self, crash: str, told_by: str, runs: list[InterruptedRun]) -> None:
        """Suspect the requests that were running in a crash, unless answered recently."""
        at_ms = wall_ms()
        digests = {_fingerprint_of(run.request) for run in runs}
        digests -= self._recently_answered(digests)
        _log.warning(
            "Server has crashed.",
            crash=crash,
            told_by=told_by,
            running=len(runs),
            suspects=len(digests),
            fingerprints=sorted(digests)[:_MAX_LOGGED_FINGERPRINTS],
            request_ids=[run.request.call.request_id for run in runs],
            not_begun=[_described(run) for run in runs if not run.had_begun][:_MAX_LOGGED_RUNS],
        )
        if not self._own.has_crash(crash):
            self._metrics.count_crash(told_by)
        self._own.record_crash(crash, digests, at_ms)
        if self._merge_into_fleet(Evidence({crash: at_ms}, {crash: sorted(digests)})):
            self.has_unpublished.set()
        self._parts.record_crash(crash, [(run, _fingerprint_of(run.request)) for run in runs])

    def retract_crash(self, crash: str) -> None:
        """Withdraw the suspicion caused by a crash that turned out to be none."""
        digests = self._fleet.suspects_of(crash)
        _log.info(
            "Server is alive and has not crashed; the requests suspected of it are cleared.",
            crash=crash,
            cleared=len(digests),
        )
        for digest in digests:
            self._clear(digest, frozenset([crash]))
        self._parts.retract_crash(crash)

    def record_begun_answer(self, request: ActiveRequest) -> None:
        """Record that a server has been answering a request without crashing."""
        self._parts.record_begun_answer(request)

    def record_complete_answer(self, work: ActiveRequest) -> None:
        """Record that a request got a complete answer."""
        if len(work.call.body) <= _RECENT_BODY_BYTES:
            self._recent.append((clock_ms(), work))
        if self._has_suspect_prefix(work):
            digest = _fingerprint_of(work)
            self._clear(digest, self._fleet.crashes_of(digest))

    def check(self, work: ActiveRequest) -> None:
        """Refuse a request that is blamed for crashes, or has a prompt part that is.

        Raises:
            RefusalError: The request must not be sent, or sent again.
        """
        self._parts.check(work)
        digest = self._blamed_fingerprint(work)
        if digest is None:
            return
        now_ms = wall_ms()
        crashes = self._fleet.crashes_of(digest)
        _log.warning(
            "Request is refused because it is blamed for server crashes.",
            request_id=work.call.request_id,
            route=work.route.name,
            account=work.account_name,
            fingerprint=digest,
            crashes=sorted(crashes),
            crash_ages_ms=sorted(
                round(now_ms - self._fleet.crashed_at_ms(crash)) for crash in crashes
            ),
        )
        retry_after_ms = int(self._fleet.expires_in_ms(digest, now_ms))
        raise RefusalError(Code.CRASHES_SERVERS, retry_after_ms=retry_after_ms)

    def is_blamed(self, work: ActiveRequest) -> bool:
        """Return whether a request, or a part of its prompt, is blamed for crashes."""
        if self._parts.blamed_group(work) is not None:
            return True
        return self._blamed_fingerprint(work) is not None

    def awaits_evidence(self, work: ActiveRequest) -> bool:
        """Return whether evidence that clears a blamed request may still arrive.

        A trial of blamed prompt parts that is due is claimed, and awaited as well.
        """
        if self._parts.awaits_evidence(work):
            return True
        digest = self._blamed_fingerprint(work)
        if digest is None:
            return False
        from_ms = clock_ms() - _EVIDENCE_DELAY_MS
        return any(
            self._first_heard_ms.get(crash, 0.0) > from_ms
            for crash in self._fleet.crashes_of(digest)
        )

    def servers_to_avoid(self, work: ActiveRequest) -> set[str]:
        """Return the servers that run another suspect, if the request is a suspect itself."""
        if not self._running:
            return set()
        digest = self._suspect_fingerprint(work)
        if digest is None:
            return set()
        return {name for name, digests in self._running.items() if digests.keys() - {digest}}

    def suspect_parts(self, work: ActiveRequest) -> tuple[str, ...]:
        """Return the parts of a request's prompt that may have caused crashes, sorted."""
        return self._parts.suspect_parts(work)

    @contextmanager
    def track_running(self, work: ActiveRequest, server: str) -> Iterator[None]:
        """Track that a request runs on a server, if it is a suspect."""
        digest = self._suspect_fingerprint(work)
        if digest is None:
            yield
            return
        counts = self._running.setdefault(server, Counter())
        counts[digest] += 1
        try:
            yield
        finally:
            counts[digest] -= 1
            if not counts[digest]:
                del counts[digest]
            if not counts:
                self._running.pop(server, None)

    def evidence(self) -> CrashEvidence:
        """Return the evidence that this router has collected, without that of older crashes.

        The evidence that requests or prompt parts are blamed for goes first.
        """
        requests, parts = self._own.evidence(), self._parts.evidence()
        crashed_ms = {**parts.crashed_ms, **requests.crashed_ms}
        blamed = self._parts.blamed_crashes().union(
            *map(self._fleet.crashes_of, self._fleet.blamed())
        )
        newest = sorted(crashed_ms, key=lambda crash: (crash in blamed, crashed_ms[crash]))
        published = frozenset(newest[-_MAX_PUBLISHED_CRASHES:])
        return CrashEvidence(requests.of_crashes(published), parts.of_crashes(published))

    def publish_refutations(self) -> None:
        """Publish which prompt parts were answered, if other routers need to know."""
        self._parts.publish_refutations()

    def merge(self, evidence: CrashEvidence, *, is_own: bool) -> None:
        """Merge the evidence that a router has published.

        Args:
            is_own: Whether this router published it before it was restarted.
        """
        if is_own:
            self._own.merge(evidence.requests, wall_ms())
        self._merge_into_fleet(evidence.requests)
        self._parts.merge(evidence.parts, is_own=is_own)

    def record_claim(self, claim: TrialClaim) -> None:
        """Record a claim to a trial of prompt parts, in the order of the log."""
        self._parts.record_claim(claim)

    def own_claims(self) -> list[TrialClaim]:
        """Return the claims of this router that were read in the log."""
        return self._parts.own_claims()

    def publish_again(self) -> None:
        """Publish this router's evidence and claims again, as the store has lost writes."""
        if self.evidence() != CrashEvidence():
            self.has_unpublished.set()
        for claim in self.own_claims():
            self.new_claims.put_nowait(claim)

    def drop_trials(self) -> None:
        """Give up trials that were not begun, as the order of their claims is not certain."""
        self._parts.drop_trials()

    def release_trial(self, work: ActiveRequest) -> None:
        """Let another request take the trial of one that no server has received."""
        self._parts.release_trial(work)

    def expire(self) -> None:
        """Drop crashes that are older than the time window."""
        now_ms = wall_ms()
        self._own.expire(now_ms)
        self._fleet.expire(now_ms)
        for crash in list(self._first_heard_ms):
            if not self._fleet.has_crash(crash):
                del self._first_heard_ms[crash]
        self._explain_crashes()
        self._metrics.set_gauge("requests_kept_from_servers", len(self._fleet.blamed()))
        self._metrics.set_gauge("prompt_parts_kept_from_servers", self._parts.expire())

    def _explain_crashes(self) -> None:
        """Tell the guard of prompt parts which crashes blamed requests explain."""
        explained: dict[str, list[str]] = {}
        for digest in self._fleet.blamed():
            crashes = self._fleet.crashes_of(digest)
            if len(crashes) >= _MIN_EXPLAINED_CRASHES:
                for crash in crashes:
                    explained.setdefault(crash, []).append(digest)
        self._parts.explain_crashes(explained)

    def _merge_into_fleet(self, evidence: Evidence) -> bool:
        """Merge evidence into that of the fleet; return whether any of it was new."""
        before = self._fleet.blamed()
        is_new = self._fleet.merge(evidence, wall_ms())
        if not is_new:
            return False
        now_ms = clock_ms()
        for crash in evidence.crashed_ms:
            self._first_heard_ms.setdefault(crash, now_ms)
        named = {digest for digests in evidence.ran.values() for digest in digests}
        for digest in self._recently_answered(named):
            self._clear(digest, self._fleet.crashes_of(digest))
        for digest in self._fleet.blamed() - before:
            _log.warning(
                "Request is blamed for server crashes; it will be refused.",
                fingerprint=digest,
                crashes=sorted(self._fleet.crashes_of(digest)),
            )
        if before or self._fleet.blamed():
            self._explain_crashes()
        return True

    def _clear(self, digest: str, crashes: frozenset[str]) -> None:
        """Clear a request of some crashes, for all routers."""
        was_blamed = self._fleet.is_blamed(digest)
        if not crashes or not self._fleet.clear(digest, crashes):
            return
        for crash in crashes:
            self._own.record_crash(crash, [digest], self._fleet.crashed_at_ms(crash))
        self._own.clear(digest, crashes)
        self.has_unpublished.set()
        if was_blamed and not self._fleet.is_blamed(digest):
            _log.warning(
                "Request is no longer blamed for server crashes; it will not be refused.",
                fingerprint=digest,
                crashes=sorted(crashes),
            )
            self._explain_crashes()

    def _suspect_fingerprint(self, work: ActiveRequest) -> str | None:
        """Return the fingerprint of a request if it is a suspect.

        The body is hashed only if the cheap digest prefix matches that of a suspect.
        """
        if not self._has_suspect_prefix(work):
            return None
        digest = _fingerprint_of(work)
        return digest if self._fleet.is_suspect(digest) else None

    def _blamed_fingerprint(self, work: ActiveRequest) -> str | None:
        """Return the fingerprint of a request if it is blamed."""
        digest = self._suspect_fingerprint(work)
        return digest if digest is not None and self._fleet.is_blamed(digest) else None

    def _has_suspect_prefix(self, work: ActiveRequest) -> bool:
        prefixes = self._fleet.digest_prefixes()
        return bool(prefixes) and digest_prefix(work) in prefixes

    def _recently_answered(self, digests: set[str]) -> set[str]:
        """Return the fingerprints of requests that got a complete answer recently."""
        prefixes = {digest[: SuspectTracker.DIGEST_PREFIX_LENGTH] for digest in digests}
        from_ms = clock_ms() - _RECENT_MS
        recent = {
            _fingerprint_of(work)
            for at_ms, work in self._recent
            if at_ms >= from_ms and digest_prefix(work) in prefixes
        }
        return digests & recent


def _described(run: InterruptedRun) -> dict[str, Any]:
    call = run.request.call
    return {
        "request_id": call.request_id,
        "attempt": run.attempt,
        "parts": [part.digest for part in call.shared_parts],
    }


def _fingerprint_of(work: ActiveRequest) -> str:
    if work.fingerprint is None:
        work.fingerprint = fingerprint(work)
    return work.fingerprint

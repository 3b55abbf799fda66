"""Which requests are kept from backend servers as they crash them.

Answers a request that comes again and again at any router of the fleet: after a second or third
crash it is refused everywhere. Sound requests that ran beside it are cleared by whole answers.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager

from cicadaledge.codes import Code
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._fingerprint import fingerprint, outline
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._work import ActiveRequest
from cicadaledge.errors import RefusalError
from cicadaledge.logs import PartLog
from cicadaledge.suspects import Evidence, SuspectTracker

_WINDOW_MS = 600_000.0  # ten minutes: time for operators to look, as in the own interface
_RECENT = 32  # whole answers that are looked at after a crash: about two seconds of one router
_RECENT_MS = 2_000.0  # a request that was answered this shortly before a crash did not cause it
_RECENT_BODY_BYTES = 65_536  # longer bodies are not kept: 2 MB in all
_NEWS_MS = 400.0  # until what other routers saw of a crash is here: a record, a read and the ways
_LINE_FINGERPRINTS = 16  # that a line on a crash names beside the requests' ids
_log = PartLog("crashes")


class SuspectPolicy:
    """What this router knows of requests that crash servers, its own evidence and the fleet's.

    Attributes:
        has_news: Set when this router has evidence that others do not know.
    """

    def __init__(self, metrics: EdgeMetrics) -> None:
        self.has_unpublished = asyncio.Event()
        self._metrics = metrics
        self._own = SuspectTracker(_WINDOW_MS)
        self._fleet = SuspectTracker(_WINDOW_MS)
        self._heard_ms: dict[str, float] = {}
        self._recent: deque[tuple[float, ActiveRequest]] = deque(maxlen=_RECENT)
        self._running: dict[str, Counter[str]] = {}

    def record_crash(self, crash: str, told_by: str, works: list[ActiveRequest]) -> None:
        """Suspect the requests that were running in a crash, unless they were just answered."""
        at_ms = _wall_ms()
        digests = {_known_by(work) for work in works}
        digests -= self._answered_lately(digests)
        _log.warning(
            "Server has crashed.",
            crash=crash,
            told_by=told_by,
            running=len(works),
            suspects=len(digests),
            fingerprints=sorted(digests)[:_LINE_FINGERPRINTS],
            request_ids=[work.call.request_id for work in works],
        )
        if not self._own.has_crash(crash):
            self._metrics.count_crash(told_by)
        self._own.record_crash(crash, digests, at_ms)
        if self._take(Evidence({crash: at_ms}, {crash: sorted(digests)})):
            self.has_unpublished.set()

    def retract_crash(self, crash: str) -> None:
        """Take back what was suspected for a crash that was none."""
        digests = self._fleet.suspects_of(crash)
        _log.info("Server goes on; it has not crashed.", crash=crash, cleared=len(digests))
        for digest in digests:
            self._clear(digest, frozenset([crash]))

    def record_complete_answer(self, work: ActiveRequest) -> None:
        """Note that a request was answered whole."""
        if len(work.call.body) <= _RECENT_BODY_BYTES:
            self._recent.append((clock_ms(), work))
        if self._has_outline(work):
            digest = _known_by(work)
            self._clear(digest, self._fleet.crashes_of(digest))

    def check(self, work: ActiveRequest) -> None:
        """Refuse a request that is held to crash servers.

        Raises:
            RefusalError: It is not sent to a server, or not once more.
        """
        digest = self._culprit(work)
        if digest is None:
            return
        now_ms = _wall_ms()
        crashes = self._fleet.crashes_of(digest)
        _log.warning(
            "Request is kept from servers.",
            request_id=work.call.request_id,
            route=work.route.name,
            account=work.account_name,
            fingerprint=digest,
            crashes=sorted(crashes),
            crash_ages_ms=sorted(round(now_ms - self._fleet.crashed_at_ms(one)) for one in crashes),
        )
        retry_after_ms = int(self._fleet.expires_in_ms(digest, now_ms))
        raise RefusalError(Code.CRASHES_SERVERS, retry_after_ms=retry_after_ms)

    def is_blamed(self, work: ActiveRequest) -> bool:
        """Return whether a request is held to crash servers."""
        return self._culprit(work) is not None

    def awaits_evidence(self, work: ActiveRequest) -> bool:
        """Return whether others may soon tell who else was running in a blamed request's crashes."""
        digest = self._culprit(work)
        if digest is None:
            return False
        from_ms = clock_ms() - _NEWS_MS
        return any(self._heard_ms.get(one, 0.0) > from_ms for one in self._fleet.crashes_of(digest))

    def servers_to_avoid(self, work: ActiveRequest) -> set[str]:
        """Return the servers on which a suspect would run beside another one."""
        if not self._running:
            return set()
        digest = self._suspect(work)
        if digest is None:
            return set()
        return {name for name, digests in self._running.items() if digests.keys() - {digest}}

    @contextmanager
    def track_running(self, work: ActiveRequest, server: str) -> Iterator[None]:
        """Note that a request runs on a server, if it is a suspect."""
        digest = self._suspect(work)
        if digest is None:
            yield
            return
        here = self._running.setdefault(server, Counter())
        here[digest] += 1
        try:
            yield
        finally:
            here[digest] -= 1
            if not here[digest]:
                del here[digest]
            if not here:
                self._running.pop(server, None)

    def evidence(self) -> Evidence:
        """Return what this router itself has seen."""
        return self._own.evidence()

    def merge(self, evidence: Evidence, *, is_own: bool) -> None:
        """Take over what a router has seen.

        Args:
            is_own: It is of this router before it was restarted.
        """
        if is_own:
            self._own.merge(evidence, _wall_ms())
        self._take(evidence)

    def expire(self) -> None:
        """Forget old crashes."""
        now_ms = _wall_ms()
        self._own.expire(now_ms)
        self._fleet.expire(now_ms)
        for crash in list(self._heard_ms):
            if not self._fleet.has_crash(crash):
                del self._heard_ms[crash]
        self._metrics.set_gauge("requests_kept_from_servers", len(self._fleet.blamed()))

    def _take(self, evidence: Evidence) -> bool:
        """Take evidence over; return whether it held news."""
        before = self._fleet.blamed()
        news = self._fleet.merge(evidence, _wall_ms())
        if not news:
            return False
        now_ms = clock_ms()
        for crash in evidence.crashed_ms:
            self._heard_ms.setdefault(crash, now_ms)
        named = {digest for digests in evidence.ran.values() for digest in digests}
        for digest in self._answered_lately(named):
            self._clear(digest, self._fleet.crashes_of(digest))
        for digest in self._fleet.blamed() - before:
            _log.warning(
                "Request is held to crash servers.",
                fingerprint=digest,
                crashes=sorted(self._fleet.crashes_of(digest)),
            )
        return True

    def _clear(self, digest: str, crashes: frozenset[str]) -> None:
        """Note, and tell the others, that a request did not cause some crashes."""
        was_blamed = self._fleet.is_blamed(digest)
        if not crashes or not self._fleet.clear(digest, crashes):
            return
        for crash in crashes:
            self._own.record_crash(crash, [digest], self._fleet.crashed_at_ms(crash))
        self._own.clear(digest, crashes)
        self.has_unpublished.set()
        if was_blamed and not self._fleet.is_blamed(digest):
            _log.warning("Request is cleared.", fingerprint=digest, crashes=sorted(crashes))

    def _suspect(self, work: ActiveRequest) -> str | None:
        """Return the fingerprint of a request if it is a suspect; others are not hashed."""
        if not self._has_outline(work):
            return None
        digest = _known_by(work)
        return digest if self._fleet.is_suspect(digest) else None

    def _culprit(self, work: ActiveRequest) -> str | None:
        """Return the fingerprint of a request if it is blamed."""
        digest = self._suspect(work)
        return digest if digest is not None and self._fleet.is_blamed(digest) else None

    def _has_outline(self, work: ActiveRequest) -> bool:
        outlines = self._fleet.digest_prefixes()
        return bool(outlines) and outline(work) in outlines

    def _answered_lately(self, digests: set[str]) -> set[str]:
        """Return those that were answered whole a short time ago."""
        outlines = {digest[: SuspectTracker.DIGEST_PREFIX_LENGTH] for digest in digests}
        from_ms = clock_ms() - _RECENT_MS
        lately = {
            _known_by(work)
            for at_ms, work in self._recent
            if at_ms >= from_ms and outline(work) in outlines
        }
        return digests & lately


def _known_by(work: ActiveRequest) -> str:
    if work.fingerprint is None:
        work.fingerprint = fingerprint(work)
    return work.fingerprint


def _wall_ms() -> float:
    """Return the time of day: routers tell each other when crashes were."""
    return time.time() * 1000

"""Requests that were running when backend servers crashed."""

from __future__ import annotations

from collections.abc import Iterable, Set
from typing import TypeVar

from attrs import astuple, field, frozen

from cicadaledge.suspects._blame import blamed

T = TypeVar("T")

# Beyond this number, the oldest crash is removed: each takes memory for the requests of one server.
_MAX_CRASHES = 256
# Further requests of a crash are not recorded; an engine runs about this many at once.
_MAX_REQUESTS_PER_CRASH = 64


@frozen
class Evidence:
    """Observations of crashes; those of several routers are merged by union.

    Args:
        crashed_ms: Time at which each server incarnation crashed.
        ran: Digests of the requests that were running in each crash.
        cleared: Digests of those that cannot have caused the crash.
    """

    crashed_ms: dict[str, float] = field(factory=dict)
    ran: dict[str, list[str]] = field(factory=dict)
    cleared: dict[str, list[str]] = field(factory=dict)

    def of_crashes(self, crashes: Set[str]) -> Evidence:
        """Return the evidence on some of the crashes."""
        return Evidence(*(restricted_to(crashes, part) for part in astuple(self, recurse=False)))


def restricted_to(crashes: Set[str], by_crash: dict[str, T]) -> dict[str, T]:
    """Return the items of a dict by crash that belong to some of the crashes."""
    return {crash: value for crash, value in by_crash.items() if crash in crashes}


class SuspectTracker:
    """Collects evidence on crashes and determines which requests caused them.

    A request that ran in a crash is a suspect until it is cleared, as a complete answer to it shows
    that it does not crash servers. A suspect is blamed if it explains crashes better than chance.

    Args:
        window_ms: Time for which a crash is kept.
        max_per_crash: Maximum number of requests recorded for a crash.

    Attributes:
        revision: Grows whenever the evidence changes.
    """

    DIGEST_PREFIX_LENGTH = 8

    def __init__(self, window_ms: float, max_per_crash: int = _MAX_REQUESTS_PER_CRASH) -> None:
        self.revision = 0
        self._window_ms = window_ms
        self._max_per_crash = max_per_crash
        self._crashed_ms: dict[str, float] = {}
        self._ran: dict[str, set[str]] = {}
        self._cleared: dict[str, set[str]] = {}
        self._suspects: dict[str, set[str]] = {}
        self._blamed_revision = 0
        self._blamed: frozenset[str] = frozenset()
        self._digest_prefixes: frozenset[str] = frozenset()

    def record_crash(self, crash: str, digests: Iterable[str], at_ms: float) -> bool:
        """Record which requests ran in a crash; return whether it or any of them is new."""
        known = self._ran.get(crash)
        is_first = known is None
        if known is None:
            known = self._ran[crash] = set()
            self._crashed_ms[crash] = at_ms
            self._evict_oldest()
            if crash not in self._ran:
                return False
        new = set(digests) - known
        room = self._max_per_crash - len(known)
        if len(new) > room:
            new = set(sorted(new)[: max(0, room)])
        known |= new
        for digest in new - self._cleared.get(crash, set()):
            self._suspects.setdefault(digest, set()).add(crash)
        self.revision += 1
        return is_first or bool(new)

    def clear(self, digest: str, crashes: Iterable[str]) -> bool:
        """Clear a request of some crashes; return whether this was not known."""
        is_new = False
        for crash in crashes:
            cleared = self._cleared.setdefault(crash, set())
            is_new = is_new or digest not in cleared
            cleared.add(digest)
            self._drop_suspicion(digest, crash)
        self.revision += 1
        return is_new

    def has_crash(self, crash: str) -> bool:
        """Return whether there is evidence on a crash."""
        return crash in self._crashed_ms

    def crashes_of(self, digest: str) -> frozenset[str]:
        """Return the crashes that a request may have caused."""
        return frozenset(self._suspects.get(digest, ()))

    def ran_in(self, crash: str) -> frozenset[str]:
        """Return the requests that were running in a crash."""
        return frozenset(self._ran.get(crash, ()))

    def suspects_of(self, crash: str) -> set[str]:
        """Return the requests that may have caused a crash."""
        return self._ran.get(crash, set()) - self._cleared.get(crash, set())

    def suspects(self) -> dict[str, frozenset[str]]:
        """Return all suspects with the crashes that each may have caused."""
        return {digest: frozenset(crashes) for digest, crashes in list(self._suspects.items())}

    def crashed_ms(self) -> dict[str, float]:
        """Return the time of each crash."""
        return dict(self._crashed_ms)

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request may have caused a crash."""
        return digest in self._suspects

    def is_blamed(self, digest: str) -> bool:
        """Return whether a request is assumed to have caused crashes."""
        return digest in self.blamed()

    def blamed(self) -> frozenset[str]:
        """Return the requests that are assumed to have caused crashes."""
        self._update_blamed()
        return self._blamed

    def digest_prefixes(self) -> frozenset[str]:
        """Return the first `DIGEST_PREFIX_LENGTH` characters of the digests of all suspects."""
        self._update_blamed()
        return self._digest_prefixes

    def is_within_window(self, at_ms: float, now_ms: float) -> bool:
        """Return whether a crash at some time has not expired."""
        return now_ms - at_ms < self._window_ms

    def crashed_at_ms(self, crash: str) -> float:
        """Return the time of a crash."""
        return self._crashed_ms[crash]

    def expires_in_ms(self, digest: str, now_ms: float) -> float:
        """Return the time until a request has fewer than two crashes and is no longer blamed."""
        times_ms = sorted(self._crashed_ms[crash] for crash in self.crashes_of(digest))
        return max(0.0, times_ms[-2] + self._window_ms - now_ms) if len(times_ms) > 1 else 0.0

    def size(self) -> int:
        """Return the amount of evidence; it only grows until evidence expires."""
        parts = (*self._ran.values(), *self._cleared.values())
        return sum(len(digests) for digests in parts)

    def evidence(self) -> Evidence:
        """Return all evidence."""
        return Evidence(
            dict(self._crashed_ms),
            {crash: sorted(digests) for crash, digests in list(self._ran.items())},
            {crash: sorted(digests) for crash, digests in list(self._cleared.items())},
        )

    def merge(self, evidence: Evidence, now_ms: float) -> bool:
        """Merge the evidence of another router; return whether any of it is new."""
        is_new = False
        for crash, at_ms in evidence.crashed_ms.items():
            if self.is_within_window(at_ms, now_ms):
                is_new = self.record_crash(crash, evidence.ran.get(crash, ()), at_ms) or is_new
        for crash, digests in evidence.cleared.items():
            if crash in self._ran:
                for digest in digests:
                    is_new = self.clear(digest, [crash]) or is_new
        return is_new

    def expire(self, now_ms: float) -> None:
        """Remove crashes older than the window."""
        for crash, at_ms in list(self._crashed_ms.items()):
            if not self.is_within_window(at_ms, now_ms):
                self._remove_crash(crash)

    def _evict_oldest(self) -> None:
        if len(self._crashed_ms) > _MAX_CRASHES:
            self._remove_crash(min(self._crashed_ms, key=self._crashed_ms.__getitem__))

    def _remove_crash(self, crash: str) -> None:
        self._crashed_ms.pop(crash, None)
        for digest in self._ran.pop(crash, ()):
            self._drop_suspicion(digest, crash)
        self._cleared.pop(crash, None)
        self.revision += 1

    def _drop_suspicion(self, digest: str, crash: str) -> None:
        crashes = self._suspects.get(digest)
        if crashes is not None:
            crashes.discard(crash)
            if not crashes:
                self._suspects.pop(digest, None)

    def _update_blamed(self) -> None:
        """Determine the blamed requests if the evidence has changed.

        Works on copies, as request threads may call it while the event loop merges evidence.
        """
        revision = self.revision
        if revision == self._blamed_revision:
            return
        suspects = self.suspects()
        self._blamed = blamed(suspects, self.crashed_ms())
        self._digest_prefixes = frozenset(
            digest[: self.DIGEST_PREFIX_LENGTH] for digest in suspects
        )
        self._blamed_revision = revision

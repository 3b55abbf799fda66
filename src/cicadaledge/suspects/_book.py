"""Requests that were running when backend servers crashed."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import field, frozen

from cicadaledge.suspects._blame import blamed

_MOST_CRASHES = 256  # that are remembered; each takes the requests of one server along
_MOST_REQUESTS = 64  # of one crash; about what an engine runs at once


@frozen
class Evidence:
    """What was seen of crashes; what several routers have seen merges by union.

    Args:
        crashed_ms: When each server incarnation crashed.
        ran: Digests of the requests that were running in each crash.
        cleared: Those of them that cannot have caused it.
    """

    crashed_ms: dict[str, float] = field(factory=dict)
    ran: dict[str, list[str]] = field(factory=dict)
    cleared: dict[str, list[str]] = field(factory=dict)


class SuspectTracker:
    """Keeps evidence for a while, and says which requests it blames.

    Args:
        window_ms: How long a crash is remembered.
    """

    DIGEST_PREFIX_LENGTH = 8

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._crashed_ms: dict[str, float] = {}
        self._ran: dict[str, set[str]] = {}
        self._cleared: dict[str, set[str]] = {}
        self._suspects: dict[str, set[str]] = {}
        self._changes = 0
        self._blamed_changes = 0
        self._blamed: frozenset[str] = frozenset()
        self._outlines: frozenset[str] = frozenset()

    def record_crash(self, crash: str, digests: Iterable[str], at_ms: float) -> bool:
        """Note which requests were running in a crash; return whether this is news."""
        known = self._ran.get(crash)
        is_first = known is None
        if known is None:
            known = self._ran[crash] = set()
            self._crashed_ms[crash] = at_ms
            self._drop_oldest()
        new = set(digests) - known
        room = _MOST_REQUESTS - len(known)
        if len(new) > room:
            new = set(sorted(new)[: max(0, room)])
        known |= new
        for digest in new - self._cleared.get(crash, set()):
            self._suspects.setdefault(digest, set()).add(crash)
        self._changes += 1
        return is_first or bool(new)

    def clear(self, digest: str, crashes: Iterable[str]) -> bool:
        """Note that a request did not cause some crashes; return whether this is news."""
        news = False
        for crash in crashes:
            cleared = self._cleared.setdefault(crash, set())
            news = news or digest not in cleared
            cleared.add(digest)
            self._drop_suspicion(digest, crash)
        self._changes += 1
        return news

    def has_crash(self, crash: str) -> bool:
        """Return whether a crash is remembered."""
        return crash in self._crashed_ms

    def crashes_of(self, digest: str) -> frozenset[str]:
        """Return the crashes that a request can have caused."""
        return frozenset(self._suspects.get(digest, ()))

    def requests_of(self, crash: str) -> set[str]:
        """Return the requests that can have caused a crash."""
        return self._ran.get(crash, set()) - self._cleared.get(crash, set())

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request can have caused a crash."""
        return digest in self._suspects

    def is_blamed(self, digest: str) -> bool:
        """Return whether a request is held to have caused crashes."""
        return digest in self.blamed()

    def blamed(self) -> frozenset[str]:
        """Return the requests that are held to have caused crashes."""
        self._sort_out()
        return self._blamed

    def digest_prefixes(self) -> frozenset[str]:
        """Return the first `DIGEST_PREFIX_LENGTH` characters of the digests of all suspects."""
        self._sort_out()
        return self._outlines

    def crashed_at_ms(self, crash: str) -> float:
        """Return when a crash was."""
        return self._crashed_ms[crash]

    def expires_in_ms(self, digest: str, now_ms: float) -> float:
        """Return after how long a request is no longer blamed."""
        times_ms = sorted(self._crashed_ms[crash] for crash in self.crashes_of(digest))
        return max(0.0, times_ms[-2] + self._window_ms - now_ms) if len(times_ms) > 1 else 0.0

    def size(self) -> int:
        """Return how much evidence there is; it grows with each news until some expires."""
        parts = (*self._ran.values(), *self._cleared.values())
        return sum(len(digests) for digests in parts)

    def evidence(self) -> Evidence:
        """Return all that is remembered."""
        return Evidence(
            dict(self._crashed_ms),
            {crash: sorted(digests) for crash, digests in list(self._ran.items())},
            {crash: sorted(digests) for crash, digests in list(self._cleared.items())},
        )

    def merge(self, evidence: Evidence, now_ms: float) -> bool:
        """Take over what another router has seen; return whether it held news."""
        news = False
        for crash, at_ms in evidence.crashed_ms.items():
            if now_ms - at_ms < self._window_ms:
                news = self.record_crash(crash, evidence.ran.get(crash, ()), at_ms) or news
        for crash, digests in evidence.cleared.items():
            if crash in self._ran:
                for digest in digests:
                    news = self.clear(digest, [crash]) or news
        return news

    def expire(self, now_ms: float) -> None:
        """Forget crashes older than the window."""
        for crash, at_ms in list(self._crashed_ms.items()):
            if now_ms - at_ms >= self._window_ms:
                self._forget(crash)

    def _drop_oldest(self) -> None:
        if len(self._crashed_ms) > _MOST_CRASHES:
            self._forget(min(self._crashed_ms, key=self._crashed_ms.__getitem__))

    def _forget(self, crash: str) -> None:
        self._crashed_ms.pop(crash, None)
        for digest in self._ran.pop(crash, ()):
            self._drop_suspicion(digest, crash)
        self._cleared.pop(crash, None)
        self._changes += 1

    def _drop_suspicion(self, digest: str, crash: str) -> None:
        crashes = self._suspects.get(digest)
        if crashes is not None:
            crashes.discard(crash)
            if not crashes:
                self._suspects.pop(digest, None)

    def _sort_out(self) -> None:
        """Find whom to blame, after news.

        It reads copies, as threads that carry requests may ask while the loop takes news over.
        """
        changes = self._changes
        if changes == self._blamed_changes:
            return
        suspects = {digest: frozenset(crashes) for digest, crashes in list(self._suspects.items())}
        self._blamed = blamed(suspects, dict(self._crashed_ms))
        self._outlines = frozenset(digest[: self.DIGEST_PREFIX_LENGTH] for digest in suspects)
        self._blamed_changes = changes

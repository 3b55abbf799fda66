"""Prompt parts of requests that waited for their answer when backend servers crashed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set

from attrs import astuple, field, frozen

from cicadaledge.suspects._part_blame import (
    MIN_INCIDENTS,
    PartGroup,
    blamed_groups,
    incidents_ms,
)
from cicadaledge.suspects._tracker import Evidence, SuspectTracker, restricted_to

# Further parts of a crash are not recorded. An engine reads some dozens of prompts at a time, of a
# few parts each.
_MAX_PARTS_PER_CRASH = 256
# Of the requests with a part in one crash, so many are kept. Two suffice to show that no single
# request explains the crashes, unless they run together each time.
_MAX_REQUESTS_PER_PART = 8


@frozen
class PartEvidence:
    """Observations of prompt parts in crashes; those of several routers are merged by union.

    Args:
        crashed_ms: Time at which each server incarnation crashed.
        ran: For each crash, its parts and the requests with them that waited for their answer.
        cleared: For each crash, the parts that cannot have caused it.
    """

    crashed_ms: dict[str, float] = field(factory=dict)
    ran: dict[str, dict[str, list[str]]] = field(factory=dict)
    cleared: dict[str, list[str]] = field(factory=dict)

    def of_crashes(self, crashes: Set[str]) -> PartEvidence:
        """Return the evidence on some of the crashes."""
        return PartEvidence(*(restricted_to(crashes, one) for one in astuple(self, recurse=False)))


class PartTracker:
    """Collects evidence on prompt parts and determines which of them crash servers.

    A part is suspect of a crash until an answer to a prompt with it has begun, which shows that it
    does not crash servers.

    Args:
        window_ms: Time for which a crash is kept.
    """

    def __init__(self, window_ms: float) -> None:
        self._crashes = SuspectTracker(window_ms, _MAX_PARTS_PER_CRASH)
        self._requests: dict[str, dict[str, set[str]]] = {}
        self._explained: dict[str, set[str]] = {}
        self._blamed: frozenset[PartGroup] = frozenset()
        self._blamed_revision = 0

    def record_crash(
        self, crash: str, requests_by_part: Mapping[str, Iterable[str]], at_ms: float
    ) -> bool:
        """Record which parts were in a crash; return whether any of this is new."""
        is_new = self._crashes.record_crash(crash, requests_by_part, at_ms)
        requests = self._requests.setdefault(crash, {})
        for part in self._crashes.ran_in(crash) & requests_by_part.keys():
            known = requests.setdefault(part, set())
            new = sorted(set(requests_by_part[part]) - known)
            new = new[: _MAX_REQUESTS_PER_PART - len(known)]
            known.update(new)
            is_new = is_new or bool(new)
        return is_new

    def clear(self, part: str, crashes: Iterable[str]) -> bool:
        """Clear a part of some crashes; return whether this was not known."""
        return self._crashes.clear(part, crashes)

    def retract(self, crash: str) -> set[str]:
        """Clear all parts of a crash that turned out to be none, and return them."""
        parts = self._crashes.suspects_of(crash)
        for part in parts:
            self._crashes.clear(part, [crash])
        return parts

    def has_crash(self, crash: str) -> bool:
        """Return whether there is evidence on a crash."""
        return self._crashes.has_crash(crash)

    def crashes_of(self, part: str) -> frozenset[str]:
        """Return the crashes that a part may have caused."""
        return self._crashes.crashes_of(part)

    def crashed_at_ms(self, crash: str) -> float:
        """Return the time of a crash."""
        return self._crashes.crashed_at_ms(crash)

    def crashes_of_group(self, group: PartGroup) -> frozenset[str]:
        """Return the crashes that each part of a group may have caused."""
        crashes = frozenset.intersection(*(self._crashes.crashes_of(part) for part in group))
        return frozenset(
            crash for crash in crashes if all(self._is_evidence(crash, part) for part in group)
        )

    def incidents_ms(self, group: PartGroup) -> list[float]:
        """Return when the incidents of a group began, in order."""
        return incidents_ms(self.crashes_of_group(group), self._crashes.crashed_ms())

    def explain(self, requests_by_crash: dict[str, set[str]]) -> None:
        """Set which crashes are explained by a request that is blamed as a whole.

        Such a crash is evidence only against the parts of that request.
        """
        if requests_by_crash != self._explained:
            self._explained = requests_by_crash
            self._crashes.revision += 1

    def blamed(self) -> frozenset[PartGroup]:
        """Return the groups of parts that together are assumed to crash servers."""
        if self._blamed_revision != self._crashes.revision:
            self._blamed_revision = self._crashes.revision
            ran = {
                part: {
                    crash: self._requests[crash][part]
                    for crash in crashes
                    if self._is_evidence(crash, part)
                }
                for part, crashes in self._crashes.suspects().items()
                if len(crashes) >= MIN_INCIDENTS
            }
            self._blamed = blamed_groups(ran, self._crashes.crashed_ms())
        return self._blamed

    def _is_evidence(self, crash: str, part: str) -> bool:
        causes = self._explained.get(crash)
        return not causes or not causes.isdisjoint(self._requests[crash][part])

    def evidence(self) -> PartEvidence:
        """Return all evidence."""
        known = self._crashes.evidence()
        ran = {
            crash: {part: sorted(self._requests[crash][part]) for part in parts}
            for crash, parts in known.ran.items()
        }
        return PartEvidence(known.crashed_ms, ran, known.cleared)

    def merge(self, evidence: PartEvidence, now_ms: float) -> bool:
        """Merge the evidence of another router; return whether any of it is new."""
        is_new = False
        for crash, parts in evidence.ran.items():
            at_ms = evidence.crashed_ms.get(crash)
            if at_ms is not None and self._crashes.is_within_window(at_ms, now_ms):
                is_new = self.record_crash(crash, parts, at_ms) or is_new
        cleared = Evidence(cleared=evidence.cleared)
        return self._crashes.merge(cleared, now_ms) or is_new

    def expire(self, now_ms: float) -> None:
        """Remove crashes older than the window."""
        self._crashes.expire(now_ms)
        for crash in list(self._requests):
            if not self._crashes.has_crash(crash):
                del self._requests[crash]

"""Limits how often a fleet tries whether blamed prompt parts still crash servers.

Each trial is claimed in a log that all routers read in the same order. Of claims with the same
number, the first one wins, so that no router needs to be asked and lost messages add no trial.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterable

from attrs import define, frozen

from cicadaledge.suspects._part_blame import PartGroup

# A part that still crashes servers costs one server for each trial. After this many, requests with
# it are refused until the evidence against it expires.
MAX_TRIALS = 3
_CLAIMANT_BYTES = 8


@frozen
class TrialClaim:
    """A claim to let one request with a group of blamed parts through.

    Args:
        number: Number of the trial for these parts, from 1 on.
        claimant: Id of the router process.
        at_ms: Wall time of the claim.
    """

    parts: PartGroup
    number: int
    claimant: str
    at_ms: float


@define
class _Used:
    trials: int
    at_ms: float


class TrialClaims:
    """The trials that were claimed, as far as this process has read the log.

    Groups that share a part share their trials, as routers may tell them apart at different times.
    """

    def __init__(self) -> None:
        self._claimant = secrets.token_hex(_CLAIMANT_BYTES)
        self._used: dict[str, _Used] = {}
        self._own: list[TrialClaim] = []

    def used(self, parts: PartGroup) -> int:
        """Return how many trials of these parts were claimed."""
        return max((self._used[part].trials for part in parts if part in self._used), default=0)

    def claimed_at_ms(self, parts: PartGroup) -> float | None:
        """Return the time of the last claim to these parts, or None."""
        return max((self._used[part].at_ms for part in parts if part in self._used), default=None)

    def next_claim(self, parts: PartGroup, at_ms: float) -> TrialClaim | None:
        """Return this process's claim to the next trial; None if all are used."""
        used = self.used(parts)
        if used >= MAX_TRIALS:
            return None
        return TrialClaim(parts, used + 1, self._claimant, at_ms)

    def record(self, claim: TrialClaim, now_ms: float) -> bool:
        """Record a claim in the order of the log; return whether it is won.

        Args:
            now_ms: This machine's wall time, which a claimant's clock may be ahead of.
        """
        is_won = self.used(claim.parts) < claim.number
        at_ms = min(claim.at_ms, now_ms)
        for part in claim.parts:
            used = self._used.setdefault(part, _Used(0, at_ms))
            if claim.number > used.trials:
                used.trials = claim.number
                used.at_ms = at_ms
        if self.is_own(claim) and claim not in self._own:
            self._own.append(claim)
        return is_won

    def is_own(self, claim: TrialClaim) -> bool:
        """Return whether this process made a claim."""
        return claim.claimant == self._claimant

    def own(self) -> list[TrialClaim]:
        """Return the claims of this process that it has read in the log."""
        return list(self._own)

    def expire(self, before_ms: float, blamed: Iterable[PartGroup]) -> None:
        """Forget claims before a time, but for those of groups that are still blamed."""
        kept = {part for group in blamed for part in group}
        for part, used in list(self._used.items()):
            if used.at_ms < before_ms and part not in kept:
                del self._used[part]
        self._own = [claim for claim in self._own if claim.parts & self._used.keys()]

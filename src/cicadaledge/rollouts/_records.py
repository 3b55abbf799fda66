"""The operator's order, and the status that routers write."""

from __future__ import annotations

import enum

from attrs import frozen

from cicadaledge.routing import Version


class RolloutState(enum.StrEnum):
    """State of a rollout; only `RUNNING` may change."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


# A state replaces only one of a lower rank, so that a late write of another router cannot undo it.
_RANKS = {RolloutState.RUNNING: 0, RolloutState.COMPLETED: 1, RolloutState.ROLLED_BACK: 2}


@frozen
class RolloutOrder:
    """The operator's order to move a service to servers of another version."""

    service: str
    to: Version
    duration_ms: float


@frozen
class RolloutStatus:
    """State of the rollout of a service.

    Args:
        since_ms: When the order was first seen, milliseconds since the epoch; 0 if unknown.
        former: Versions that were in use before the order; empty if unknown.
    """

    service: str
    to: Version
    state: RolloutState
    since_ms: int = 0
    former: tuple[Version, ...] = ()

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self.state is not RolloutState.RUNNING

    def supersedes(self, other: RolloutStatus | None) -> bool:
        """Return whether this status replaces another one of the same order."""
        return other is None or _RANKS[self.state] > _RANKS[other.state]

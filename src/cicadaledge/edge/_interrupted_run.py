"""A run of a request that ended without a complete answer."""

from __future__ import annotations

from attrs import frozen

from cicadaledge.edge._active_request import ActiveRequest

# A server that crashes when it begins an answer can still have sent the first bytes. If it has sent
# more this long after the first ones, beginning the answer did not crash it.
BEGUN_ANSWER_MS = 200.0


@frozen
class InterruptedRun:
    """A request that was sent to a server and got no complete answer from it.

    Args:
        attempt: Number of the attempt, counting from 1.
        answered_for_ms: Time from the first to the last byte of the answer that arrived, or None
            if there was none.
    """

    request: ActiveRequest
    attempt: int = 1
    answered_for_ms: float | None = None

    @property
    def had_begun(self) -> bool:
        """Whether the server had been answering for so long that beginning did not crash it."""
        return self.answered_for_ms is not None and self.answered_for_ms >= BEGUN_ANSWER_MS

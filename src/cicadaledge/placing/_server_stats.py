"""Load, first-token times and outcomes of one backend server."""

from __future__ import annotations

from attrs import frozen


@frozen
class ServerTotals:
    """Load that several routers together have placed on one server.

    Args:
        running: Number of running requests.
        unread_tokens: Uncached prompt tokens of requests without a first token.
        context_tokens: Tokens that the running requests occupy in memory.
        sent_last_s: Number of requests sent within the last second.
    """

    running: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0
    sent_last_s: int = 0

    def scaled(self, factor: int) -> ServerTotals:
        """Return the load of *factor* times as many routers that each place as much."""
        return ServerTotals(
            self.running * factor,
            self.unread_tokens * factor,
            self.context_tokens * factor,
            self.sent_last_s * factor,
        )


@frozen
class FirstTokenWaits:
    """Times to the first tokens that one server produced within the last seconds.

    Args:
        waited_ms: Sum of the measured times.
        expected_ms: Sum of the times by the engine model.
    """

    waited_ms: float = 0.0
    expected_ms: float = 0.0


@frozen
class ServerOutcomes:
    """Numbers of requests to one server that ended and failed within the last seconds."""

    ended: float = 0.0
    failed: float = 0.0

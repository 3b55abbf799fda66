"""Load, speed and failures of one backend server."""

from __future__ import annotations

from attrs import frozen


@frozen
class ServerTotals:
    """Load of one server, of several routers together.

    Args:
        unread_tokens: Prompt tokens of requests without a first token.
        context_tokens: Tokens that the running requests keep in memory.
    """

    running: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0
    sent_last_s: int = 0

    def scaled(self, factor: int) -> ServerTotals:
        """Return the load as if *factor* routers placed as much."""
        return ServerTotals(
            self.running * factor,
            self.unread_tokens * factor,
            self.context_tokens * factor,
            self.sent_last_s * factor,
        )


@frozen
class FirstTokenWaits:
    """First tokens of one server that came within the last seconds.

    Args:
        waited_ms: Times until they came, summed.
        expected_ms: What the engine's model said of them, summed.
    """

    waited_ms: float = 0.0
    expected_ms: float = 0.0


@frozen
class ServerOutcomes:
    """How the requests of one server ended within the last seconds."""

    ended: float = 0.0
    failed: float = 0.0

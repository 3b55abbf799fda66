"""What the placer answers."""

from __future__ import annotations

import enum

from attrs import frozen

from cicadaledge.placing._load import Placement
from cicadaledge.placing._totals import ServerTotals
from cicadaledge.routing import ServerEntry


class Limit(enum.StrEnum):
    """The bound that kept a request from an engine."""

    PLACES = "places"
    MEMORY = "memory"
    READING = "reading"
    RATE = "rate"


@frozen
class Chosen:
    """A server for the request.

    Args:
        predicted_ms: Time to the first token.
        factor: By which the model's prediction was corrected.
    """

    server: ServerEntry
    placement: Placement
    predicted_ms: float
    factor: float = 1.0


@frozen
class Refused:
    """No server can take the request now.

    Args:
        reason: What was short.
        retry_after_ms: When it has a chance.
        server: The server that it would have gone to first; empty if there is none.
        totals: Load of that server.
        limit: The bound that it met there, or None.
        opens_ms: No server takes it before this time; 0 if that is not known.
    """

    reason: str
    retry_after_ms: float
    server: str = ""
    totals: ServerTotals = ServerTotals()
    limit: Limit | None = None
    available_from_ms: float = 0.0

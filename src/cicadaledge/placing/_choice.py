"""Results of choosing a backend server for a request."""

from __future__ import annotations

import enum

from attrs import frozen

from cicadaledge.placing._load_tracker import Placement
from cicadaledge.placing._server_stats import ServerTotals
from cicadaledge.routing import ServerEntry


class Limit(enum.StrEnum):
    """The limit that kept a request from being sent to an engine.

    `PLACES` limits running requests, `MEMORY` their tokens in memory, `READING` the prompt tokens
    that wait to be processed, `TIME` the time to the first token, and `RATE` the requests sent in a
    second.
    """

    PLACES = "places"
    MEMORY = "memory"
    READING = "reading"
    TIME = "time"
    RATE = "rate"


@frozen
class Chosen:
    """The server that was chosen for a request.

    Args:
        predicted_ms: Predicted time to the first token.
        factor: Learned factor by which the engine model's prediction was multiplied.
    """

    server: ServerEntry
    placement: Placement
    predicted_ms: float
    factor: float = 1.0


@frozen
class Refused:
    """No server can take the request now.

    Args:
        reason: Why, as a short text.
        retry_after_ms: Time after which a retry may succeed.
        server: The preferred server; empty if there is none.
        totals: Load of the preferred server.
        limit: The limit that the request would have exceeded there, or None.
        available_from_ms: Time before which no server takes the request; 0 if unknown.
        work_ms: Predicted time to the first token on the preferred server without other load; 0
            for plain services.
    """

    reason: str
    retry_after_ms: float
    server: str = ""
    totals: ServerTotals = ServerTotals()
    limit: Limit | None = None
    available_from_ms: float = 0.0
    work_ms: float = 0.0

"""Results of choosing a backend server for a request."""

from __future__ import annotations

import enum
from collections.abc import Sequence

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


def first_within(ranked: Sequence[Chosen], slack_ms: float) -> Chosen:
    """Return the first choice whose predicted time is at most *slack_ms* above the shortest.

    Answers a load of many short shared prompt parts: the engine that ranks first has most probably
    cached them, and each other engine would process them again. An engine with a backlog loses its
    place to the next one, as in "Consistent Hashing with Bounded Loads" (Mirrokni, Thorup and
    Zadimoghaddam, 2018).

    Args:
        ranked: At least one choice, in the order of the engines for the request's shared parts.
    """
    limit_ms = min(choice.predicted_ms for choice in ranked) + slack_ms
    return next(choice for choice in ranked if choice.predicted_ms <= limit_ms)

"""Chooses among application servers, which run one request per slot.

Answers bursts at many routers whose load views are older than most requests take: routers that all
choose the server with the most free slots fill it beyond its slots while others have room.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from attrs import frozen

from cicadaledge.routing import ServerEntry


@frozen
class PlainCandidate:
    """A server that may run a request.

    Args:
        free_slots: Free slots by the latest views, at least 1.
        is_near: Whether it is in the router's region.
    """

    server: ServerEntry
    free_slots: int
    is_near: bool


def choose_by_free_slots(
    candidates: Sequence[PlainCandidate], random_source: random.Random
) -> ServerEntry | None:
    """Return a server drawn by free slots, a near one if any has some, or None without candidates.

    A near server is preferred as crossing regions takes longer than most requests do.
    """
    preferred = [one for one in candidates if one.is_near] or candidates
    if not preferred:
        return None
    weights = [one.free_slots for one in preferred]
    return random_source.choices(preferred, weights)[0].server

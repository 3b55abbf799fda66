"""Checks that cold servers get no more requests than they can serve."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import frozen

from cicadaledge.standins import Run

# Requests per second that a cold server can serve; the routers' settings state it.
COLD_PER_S = 2.5
# A cold server may get this multiple of them, plus the slack, from all routers together.
_OVERAGE = 1.5
_SLACK_PER_S = 2.0


@frozen
class ColdSpell:
    """Time in which a server was cold and all routers could know it."""

    server: str
    from_ms: float
    until_ms: float


def most_in_a_second(times_ms: Sequence[float]) -> int:
    """Return the largest number of times that lie within one second."""
    return max(
        (sum(at_ms <= other < at_ms + 1_000 for other in times_ms) for at_ms in times_ms), default=0
    )


def find_cold_overloads(runs: Iterable[tuple[str, Run]], spells: Iterable[ColdSpell]) -> list[str]:
    """Return a line for each cold server that got too many requests within one second."""
    found = []
    by_server: dict[str, list[float]] = {}
    for server, run in runs:
        by_server.setdefault(server, []).append(run.at_ms)
    for spell in spells:
        times = [
            at_ms
            for at_ms in by_server.get(spell.server, ())
            if spell.from_ms <= at_ms <= spell.until_ms
        ]
        most = most_in_a_second(times)
        limit = COLD_PER_S * _OVERAGE + _SLACK_PER_S
        if most > limit:
            found.append(
                f"cold: {spell.server} got {most} requests in a second, {limit:g} are allowed"
            )
    return found

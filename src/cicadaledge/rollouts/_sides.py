"""Which side of a rollout a request goes to: the former versions or the new one.

Covers requests that wait for a server, are retried or resume a stream: a request is drawn once, and
what may have begun on one version does not go to another one without need.
"""

from __future__ import annotations

import random

from attrs import define, field

from cicadaledge.rollouts._records import RolloutState
from cicadaledge.rollouts._rollout import Rollout
from cicadaledge.rollouts._versions import VersionGroups

_NOTHING: frozenset[str] = frozenset()


@define
class RequestSide:
    """What a rollout remembers of one request.

    Args:
        is_for_new: Whether it is in the fraction for the new version; None until it is drawn.
        is_resumed: Whether its caller has part of a stream that a server of that side has begun.
        is_retry: Whether it may have reached a server before.
    """

    is_for_new: bool | None = None
    is_resumed: bool = False
    is_retry: bool = False


@define
class FractionSampler:
    """Draws a fraction of the requests evenly, from a random start.

    Hundreds of routers that each draw independently send the fraction of all requests, and not one
    request each, as they would if all started at zero.
    """

    _random: random.Random = field(factory=random.Random)
    _credits: dict[str, float] = field(factory=dict)

    def draw(self, route: str, fraction: float) -> bool:
        """Return whether the next request of a route is in the fraction."""
        credit = self._credits.get(route)
        if credit is None:
            credit = self._random.random()
        credit += fraction
        is_drawn = credit >= 1.0
        self._credits[route] = credit - 1.0 if is_drawn else credit
        return is_drawn


def allowed_servers(
    rollout: Rollout,
    route: str,
    side: RequestSide,
    groups: VersionGroups,
    tried: set[str],
    sampler: FractionSampler,
) -> list[frozenset[str]]:
    """Return the groups of servers that a request may go to, the preferred one first.

    Args:
        tried: Servers that it is not sent to again.
    """
    all_new, others = groups.all_new, groups.others
    if rollout.state is RolloutState.COMPLETED:
        return _present(all_new | groups.replacements or others)
    if rollout.state is RolloutState.ROLLED_BACK:
        if rollout.is_withdrawn:
            # Without an order, all versions but the unproven one are ordinary replacements.
            unproven = _NOTHING if rollout.evidence.is_bad else all_new
            return _present(others or unproven)
        return _present(groups.former or others)
    fraction = rollout.fraction_of(route)
    if side.is_for_new is None:
        side.is_for_new = sampler.draw(route, fraction)
    is_for_new = fraction >= 1.0 or (side.is_for_new and fraction > 0.0)
    new = groups.canaries(rollout.fraction) if fraction > 0.0 else _NOTHING
    if side.is_resumed:
        if fraction <= 0.0:
            return _present(groups.former)
        return _present(*((all_new, groups.former) if side.is_for_new else (groups.former, new)))
    if fraction < 1.0 and (side.is_retry or not is_for_new):
        return _present(groups.former) if groups.former - tried else _present(new)
    if fraction >= 1.0 and not side.is_retry and new - tried:
        return [new]
    return _present(new, groups.former)


def _present(*groups: frozenset[str]) -> list[frozenset[str]]:
    return [group for group in groups if group]

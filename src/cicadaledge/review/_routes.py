"""Finds routes, split targets and services that can never be used."""

from __future__ import annotations

import math
from collections.abc import Iterator

from cicadaledge.review._finding import Finding, FindingKind, Place, Section
from cicadaledge.routing import Route, RoutingTable


def check_routes(table: RoutingTable) -> Iterator[Finding]:
    """Yield findings on routes and on the services that they lead to."""
    if not table.routes:
        place = Place(Section.RECORD)
        yield Finding(FindingKind.NO_ROUTES, place, "there are no routes; all requests get 404")
    first: dict[tuple[str, str], Route] = {}
    used: set[str] = set()
    for index, route in enumerate(table.routes):
        place = Place(Section.ROUTE, route.name, index)
        shadow = first.setdefault((route.host, route.prefix), route)
        if shadow is not route:
            text = f"is hidden by route {shadow.name!r} of the same host and path prefix"
            yield Finding(FindingKind.HIDDEN_ROUTE, place, text)
        elif text := _unmatched(route):
            yield Finding(FindingKind.UNMATCHED_ROUTE, place, text)
        else:
            used |= _targets(route)
        yield from _check_split(route, place, table)
    for name in table.services:
        if name not in used:
            text = "no route that can be used leads to it"
            yield Finding(FindingKind.UNUSED_SERVICE, Place(Section.SERVICE, name), text)


def _unmatched(route: Route) -> str:
    """Return why no request can match a route, or an empty text."""
    if ":" in route.host or _has_space(route.host):
        return "its host has a port or a space, and callers' hosts are compared without"
    if not route.prefix.startswith("/") or "?" in route.prefix or _has_space(route.prefix):
        return "its path prefix does not begin with '/', or has a query or a space"
    return ""


def _has_space(text: str) -> bool:
    return any(character.isspace() for character in text)


def _targets(route: Route) -> set[str]:
    """Return the services that get requests of a route."""
    total = sum(one.weight for one in route.split)
    if len(route.split) == 1 or total <= 0:
        return {route.split[0].service}
    return {one.service for one in route.split if one.weight > 0}


def _check_split(route: Route, place: Place, table: RoutingTable) -> Iterator[Finding]:
    total = sum(one.weight for one in route.split)
    if total <= 0:
        text = f"all weights are 0; all requests go to {route.split[0].service!r}, the first target"
        yield Finding(FindingKind.ZERO_WEIGHT, place, text)
    elif math.isinf(total):
        text = "the sum of the weights is too large; requests get 500"
        yield Finding(FindingKind.ZERO_WEIGHT, place, text)
    else:
        for one in route.split:
            if one.weight == 0:
                text = f"target {one.service!r} has weight 0 and gets no requests"
                yield Finding(FindingKind.ZERO_WEIGHT, place, text)
    for name in dict.fromkeys(one.service for one in route.split):
        if name not in table.services:
            text = f"service {name!r} is not in the record; requests for it get 500"
            yield Finding(FindingKind.UNKNOWN_SERVICE, place, text)

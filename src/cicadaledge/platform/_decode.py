"""Decodes what programs write into the platform's store."""

from __future__ import annotations

from typing import TypeVar

from cicadaledge.edge import FleetMember
from cicadaledge.platform._fields import Fields, check_header_name
from cicadaledge.routing import (
    Account,
    Engine,
    Limits,
    Route,
    RouteKind,
    RoutingTable,
    ServerEntry,
    ServerState,
    Service,
    ServiceWeight,
)
from cicadaledge.suspects import Evidence

T = TypeVar("T")

_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}
_MOST_SLOTS = 1_000_000  # thousands of times what a server runs at once
_MOST_COLD_MS = 86_400_000.0  # a day; servers are cold for seconds


def decode_table(data: bytes) -> RoutingTable:
    """Return a configuration.

    Raises:
        ValueError: The data is no configuration.
    """
    plain = Fields.parse(data)
    return RoutingTable(
        version=plain.integer("version"),
        routes=tuple(_route(one) for one in plain.nested_list("routes")),
        services={one.text("name"): _service(one) for one in plain.nested_list("services")},
        accounts=tuple(_account(one) for one in plain.nested_list("tenants")),
        limits=_limits(plain.nested("limits")) if plain.has("limits") else Limits(),
    )


def decode_server(server: str, data: bytes) -> ServerEntry:
    """Return a server's heartbeat.

    Raises:
        ValueError: No backend server wrote the data.
    """
    plain = Fields.parse(data)
    host, port = plain.address("address")
    cold_left_ms = plain.number("coldRemainingMs")
    if cold_left_ms > _MOST_COLD_MS:
        raise ValueError(f"coldRemainingMs: expected at most a day, found {cold_left_ms}")
    return ServerEntry(
        server=check_header_name(server),
        service=plain.text("service"),
        host=host,
        port=port,
        zone=plain.text("zone"),
        state=_one_of(_STATES, plain.text("state")),
        slots=plain.integer("slots", _MOST_SLOTS),
        cold_left_ms=cold_left_ms,
        born_ms=plain.time_ms("born"),
        sequence=plain.integer("seqNo"),
    )


def decode_member(router: str, data: bytes) -> FleetMember:
    """Return a router process's entry.

    Raises:
        ValueError: No router wrote the data.
    """
    plain = Fields.parse(data)
    return FleetMember(
        router=check_header_name(router),
        host=plain.host("host"),
        peer_port=plain.port("port"),
        zone=plain.text("zone"),
        started_ms=plain.time_ms("started"),
        announced=plain.integer("announced"),
    )


def decode_evidence(data: bytes) -> Evidence:
    """Return what a router has seen of crashes.

    Raises:
        ValueError: No router wrote the data.
    """
    plain = Fields.parse(data)
    crashed = plain.nested("crashed")
    return Evidence(
        crashed_ms={name: crashed.number(name) for name in crashed.names()},
        ran=_lists(plain.nested("ran")),
        cleared=_lists(plain.nested("cleared")),
    )


def _lists(plain: Fields) -> dict[str, list[str]]:
    return {name: list(plain.texts(name)) for name in plain.names()}


def _one_of(known: dict[str, T], word: str) -> T:
    if word not in known:
        raise ValueError(f"expected one of {', '.join(known)}, found {word[:40]!r}")
    return known[word]


def _route(plain: Fields) -> Route:
    split = plain.nested_list("trafficSplit")
    return Route(
        name=plain.text("name"),
        host=plain.text("host"),
        prefix=plain.text("pathPrefix"),
        kind=_one_of(_KINDS, plain.text("routeType")),
        timeout_ms=plain.number("timeoutMs"),
        latency_target_ms=plain.number("targetLatencyMs", 0.0) or plain.number("timeoutMs"),
        max_attempts=int(plain.number("maxAttempts", 0.0)) or 1,
        split=tuple(ServiceWeight(one.text("service"), one.number("weight")) for one in split)
        or (ServiceWeight(plain.text("service"), 1.0),),
        needs_key=not plain.flag("authExempt"),
        resumable=plain.flag("streamResume"),
        regions=frozenset(plain.texts("allowedRegions")),
    )


def _service(plain: Fields) -> Service:
    engine = plain.nested("engine") if plain.has("engine") else None
    return Service(
        name=plain.text("name"),
        cold_per_s=plain.number("coldPerS", 0.0),
        engine=Engine(engine.integer("slots"), engine.integer("kvCapacity")) if engine else None,
    )


def _account(plain: Fields) -> Account:
    return Account(
        name=plain.text("name"),
        keys=plain.texts("apiKeys"),
        regions=frozenset(plain.texts("allowedRegions")),
    )


def _limits(plain: Fields) -> Limits:
    usual = Limits()
    return Limits(
        header_bytes=int(plain.number("maxHeaderBytes", usual.header_bytes)),
        body_bytes=int(plain.number("maxBodyBytes", usual.body_bytes)),
        header_timeout_ms=plain.number("headerTimeoutMs", usual.header_timeout_ms),
        idle_timeout_ms=plain.number("idleTimeoutMs", usual.idle_timeout_ms),
        tokens_per_s=plain.number("tokensPerS", 0.0),
    )

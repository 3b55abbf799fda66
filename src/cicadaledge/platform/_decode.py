"""Decodes the configuration and the heartbeats of backend servers."""

from __future__ import annotations

import json
from typing import Any

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

_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


def decode_table(data: bytes) -> RoutingTable:
    """Return a configuration.

    Raises:
        ValueError: The data is no configuration.
    """
    try:
        plain = json.loads(data)
        return RoutingTable(
            version=int(plain["version"]),
            routes=tuple(_route(one) for one in plain["routes"]),
            services={one["name"]: _service(one) for one in plain["services"]},
            accounts=tuple(_account(one) for one in plain.get("tenants") or ()),
            limits=_limits(plain.get("limits") or {}),
        )
    except (KeyError, TypeError, AttributeError, IndexError) as error:
        raise ValueError(f"the configuration cannot be decoded: {error!r}") from error


def decode_server(server: str, data: bytes) -> ServerEntry:
    """Return a server's heartbeat.

    Raises:
        ValueError: No backend server wrote the data.
    """
    try:
        plain = json.loads(data)
        host, _, port = _text(plain, "address").rpartition(":")
        return ServerEntry(
            server=server,
            service=_text(plain, "service"),
            host=host,
            port=int(port),
            zone=_text(plain, "zone"),
            state=_STATES[_text(plain, "state")],
            slots=_whole(plain, "slots"),
            cold_left_ms=_number(plain, "coldRemainingMs"),
            born_ms=_whole(plain, "born"),
            sequence=_whole(plain, "seqNo"),
        )
    except (KeyError, TypeError, AttributeError, UnicodeDecodeError) as error:
        raise ValueError(f"the entry of server {server!r} cannot be decoded: {error!r}") from error


def decode_evidence(data: bytes) -> Evidence:
    """Return what a router has seen of crashes.

    Raises:
        ValueError: No router wrote the data.
    """
    try:
        plain = json.loads(data)
        return Evidence(
            crashed_ms={str(name): float(at_ms) for name, at_ms in plain["crashed"].items()},
            ran=_lists(plain["ran"]),
            cleared=_lists(plain["cleared"]),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"the evidence cannot be decoded: {error!r}") from error


def _lists(plain: dict[str, Any]) -> dict[str, list[str]]:
    return {str(name): [str(one) for one in values] for name, values in plain.items()}


def _route(plain: dict[str, Any]) -> Route:
    split = plain.get("trafficSplit") or [{"service": plain["service"], "weight": 1}]
    return Route(
        name=plain["name"],
        host=plain["host"],
        prefix=plain["pathPrefix"],
        kind=_KINDS[plain["routeType"]],
        timeout_ms=float(plain["timeoutMs"]),
        aim_ms=float(plain.get("targetLatencyMs") or plain["timeoutMs"]),
        max_attempts=int(plain.get("maxAttempts") or 1),
        split=tuple(ServiceWeight(one["service"], float(one["weight"])) for one in split),
        needs_key=not plain.get("authExempt", False),
        resumable=bool(plain.get("streamResume", False)),
        regions=frozenset(plain.get("allowedRegions") or ()),
    )


def _service(plain: dict[str, Any]) -> Service:
    engine = plain.get("engine")
    return Service(
        name=plain["name"],
        cold_per_s=float(plain.get("coldPerS") or 0),
        engine=Engine(int(engine["slots"]), int(engine["kvCapacity"])) if engine else None,
    )


def _account(plain: dict[str, Any]) -> Account:
    return Account(
        name=plain["name"],
        keys=tuple(plain.get("apiKeys") or ()),
        regions=frozenset(plain.get("allowedRegions") or ()),
    )


def _limits(plain: dict[str, Any]) -> Limits:
    usual = Limits()
    return Limits(
        header_bytes=int(plain.get("maxHeaderBytes", usual.header_bytes)),
        body_bytes=int(plain.get("maxBodyBytes", usual.body_bytes)),
        header_timeout_ms=float(plain.get("headerTimeoutMs", usual.header_timeout_ms)),
        idle_timeout_ms=float(plain.get("idleTimeoutMs", usual.idle_timeout_ms)),
        tokens_per_s=float(plain.get("tokensPerS", 0)),
    )


def _text(plain: dict[str, Any], name: str) -> str:
    value = plain[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name}: expected text, found {value!r}")
    return value


def _whole(plain: dict[str, Any], name: str) -> int:
    value = plain[name]
    if type(value) is not int:
        raise ValueError(f"{name}: expected a whole number, found {value!r}")
    return value


def _number(plain: dict[str, Any], name: str) -> float:
    value = plain[name]
    if type(value) not in (int, float):
        raise ValueError(f"{name}: expected a number, found {value!r}")
    return float(value)

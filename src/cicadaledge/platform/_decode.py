"""Decodes the records of the platform's store."""

from __future__ import annotations

from cicadaledge.platform._fields import Fields, check_header_name
from cicadaledge.rollouts import RolloutOrder, RolloutState, RolloutStatus
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
    Version,
    with_objectives,
)
from cicadaledge.store import CrashEvidence, FleetMember
from cicadaledge.suspects import MAX_TRIALS, Evidence, PartEvidence, TrialClaim

_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
_ROLLOUT_STATES = {state.value: state for state in RolloutState}
_SERVER_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}
# Heartbeats with more slots are rejected; this is thousands of times what a server runs at once.
_MAX_SLOTS = 1_000_000
# Heartbeats with a longer remaining cold time are rejected. This is a day; servers are cold for
# seconds.
_MAX_COLD_MS = 86_400_000.0
# Orders with a longer duration are rejected. This is a week; rollouts take minutes.
_MAX_ROLLOUT_S = 604_800.0


def decode_table(data: bytes) -> RoutingTable:
    """Decode a configuration record.

    Raises:
        ValueError: The data is not a valid configuration.
    """
    return table_of(Fields.parse(data))


def table_of(fields: Fields) -> RoutingTable:
    """Return the configuration in the fields of its record.

    Raises:
        ValueError: A field has no valid value.
    """
    routes = tuple(_route(route) for route in fields.nested_list("routes"))
    services = {
        service.text("name"): _service(service) for service in fields.nested_list("services")
    }
    return RoutingTable(
        version=fields.integer("version"),
        routes=routes,
        services=with_objectives(services, routes),
        accounts=tuple(
            _account(account) for account in fields.nested_list("tenants", hides_values=True)
        ),
        limits=_limits(fields.nested("limits")) if fields.has("limits") else Limits(),
    )


def decode_server(server: str, data: bytes) -> ServerEntry:
    """Decode the heartbeat of a backend server.

    Raises:
        ValueError: The data is not a valid heartbeat.
    """
    fields = Fields.parse(data)
    host, port = fields.address("address")
    cold_left_ms = fields.number("coldRemainingMs")
    if cold_left_ms > _MAX_COLD_MS:
        raise ValueError(f"coldRemainingMs: expected at most a day, found {cold_left_ms}")
    return ServerEntry(
        server=check_header_name(server),
        service=fields.text("service"),
        host=host,
        port=port,
        zone=fields.text("zone"),
        state=fields.choice("state", _SERVER_STATES),
        slots=fields.integer("slots", _MAX_SLOTS),
        cold_left_ms=cold_left_ms,
        born_ms=fields.time_ms("born"),
        sequence=fields.integer("seqNo"),
        version=_server_version(fields),
    )


def decode_order(service: str, data: bytes) -> RolloutOrder:
    """Decode the operator's order to move a service to another version.

    Raises:
        ValueError: The data is not a valid order for the service.
    """
    fields = Fields.parse(data)
    if fields.text("service") != service:
        raise ValueError("service: differs from the key of the record")
    duration_s = fields.number("durationS")
    if not 0 < duration_s <= _MAX_ROLLOUT_S:
        raise ValueError(f"durationS: expected at most a week, found {duration_s}")
    return RolloutOrder(service, fields.version("to"), duration_s * 1000)


def decode_status(service: str, data: bytes) -> RolloutStatus:
    """Decode the status of a rollout.

    Raises:
        ValueError: The data is not a valid status.
    """
    fields = Fields.parse(data)
    former = fields.nested_list("former")
    return RolloutStatus(
        service,
        fields.version("to"),
        fields.choice("state", _ROLLOUT_STATES),
        fields.time_ms("sinceMs") if fields.has("sinceMs") else 0,
        tuple(one.version("version") for one in former),
    )


def _server_version(fields: Fields) -> Version:
    """Return the version in a server's entry; an invalid one must not take the server out of use."""
    try:
        return fields.version("version")
    except ValueError:
        return ""


def decode_member(router: str, data: bytes) -> FleetMember:
    """Decode the membership entry of a router process.

    Raises:
        ValueError: The data is not a valid membership entry.
    """
    fields = Fields.parse(data)
    return FleetMember(
        router=check_header_name(router),
        host=fields.host("host"),
        peer_port=fields.port("port"),
        zone=fields.text("zone"),
        started_ms=fields.time_ms("started"),
        announced=fields.integer("announced"),
    )


def decode_evidence(data: bytes) -> CrashEvidence:
    """Decode the crash evidence that a router has published.

    Raises:
        ValueError: The data is not valid crash evidence.
    """
    fields = Fields.parse(data)
    requests = Evidence(
        _numbers(fields.nested("crashed")),
        _text_lists(fields.nested("ran")),
        _text_lists(fields.nested("cleared")),
    )
    if not fields.has("parts_crashed"):
        return CrashEvidence(requests)  # written by a router that records no parts
    ran = fields.nested("parts_ran")
    parts = PartEvidence(
        _numbers(fields.nested("parts_crashed")),
        {crash: _text_lists(ran.nested(crash)) for crash in ran.names()},
        _text_lists(fields.nested("parts_cleared")),
    )
    return CrashEvidence(requests, parts)


def decode_trial_claim(data: bytes) -> TrialClaim:
    """Decode a router's claim to a trial of blamed prompt parts.

    Raises:
        ValueError: The data is not a valid claim.
    """
    fields = Fields.parse(data)
    return TrialClaim(
        parts=frozenset(fields.texts("parts")),
        number=fields.integer("number", minimum=1, maximum=MAX_TRIALS),
        claimant=fields.text("claimant"),
        at_ms=fields.number("at"),
    )


def _numbers(fields: Fields) -> dict[str, float]:
    return {name: fields.number(name) for name in fields.names()}


def _text_lists(fields: Fields) -> dict[str, list[str]]:
    return {name: list(fields.texts(name)) for name in fields.names()}


def _route(fields: Fields) -> Route:
    split = fields.nested_list("trafficSplit")
    return Route(
        name=fields.text("name"),
        host=fields.text("host"),
        prefix=fields.text("pathPrefix"),
        kind=fields.choice("routeType", _ROUTE_KINDS),
        timeout_ms=fields.number("timeoutMs"),
        latency_target_ms=fields.number("targetLatencyMs", 0.0),
        max_attempts=int(fields.number("maxAttempts", 0.0)) or 1,
        split=tuple(
            ServiceWeight(target.text("service"), target.number("weight")) for target in split
        )
        or (ServiceWeight(fields.text("service"), 1.0),),
        needs_key=not fields.flag("authExempt"),
        resumable=fields.flag("streamResume"),
        regions=frozenset(fields.texts("allowedRegions")),
        max_gap_ms=fields.number("targetGapMs", 0.0),
        priority=_rank(fields) or 0,
    )


def _service(fields: Fields) -> Service:
    engine = fields.nested("engine") if fields.has("engine") else None
    return Service(
        name=fields.text("name"),
        cold_per_s=fields.number("coldPerS", 0.0),
        engine=Engine(engine.integer("slots"), engine.integer("kvCapacity")) if engine else None,
    )


def _account(fields: Fields) -> Account:
    return Account(
        name=fields.text("name"),
        keys=fields.texts("apiKeys"),
        regions=frozenset(fields.texts("allowedRegions")),
        priority=_rank(fields),
    )


def _rank(fields: Fields) -> int | None:
    """Return the declared rank, of which 0 is the highest, or None."""
    return int(fields.number("priority")) if fields.has("priority") else None


def _limits(fields: Fields) -> Limits:
    defaults = Limits()
    return Limits(
        header_bytes=int(fields.number("maxHeaderBytes", defaults.header_bytes)),
        body_bytes=int(fields.number("maxBodyBytes", defaults.body_bytes)),
        header_timeout_ms=fields.number("headerTimeoutMs", defaults.header_timeout_ms),
        idle_timeout_ms=fields.number("idleTimeoutMs", defaults.idle_timeout_ms),
        tokens_per_s=fields.number("tokensPerS", 0.0),
    )

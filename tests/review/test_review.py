"""Each finding is reported for the fault that it names, and for nothing else."""

import asyncio
from contextlib import nullcontext

import pytest
from attrs import evolve

from cicadaledge.ingress import BodyReader, IngressSettings, Intake, NoMemoryError
from cicadaledge.review import Deployment, find_changes, review_table, review_update
from cicadaledge.routing import (
    Account,
    Engine,
    Limits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceWeight,
)

KEY = "0123456789abcdef"
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
DESK = Service("desk")
POOL = Service("pool", engine=Engine(32, 473_994))
DEPLOYMENT = Deployment(regions=NORTH | SOUTH)


def route(name="chat", **changes):
    targets = (ServiceWeight("pool", 1.0),)
    plain = Route(name, "h", f"/{name}/", RouteKind.STREAM, 12_000.0, 1_000.0, 1, targets)
    return evolve(plain, **changes)


def split(*weights):
    return tuple(ServiceWeight(*weight) for weight in weights)


def ash(*keys, regions=frozenset()):
    return Account("ash", keys or (KEY,), regions)


def table(*routes, services=(POOL,), accounts=(ash(),), limits=Limits()):
    named = {service.name: service for service in services}
    return RoutingTable(1, routes or (route(),), named, tuple(accounts), limits)


def findings(reviewed, deployment=DEPLOYMENT, names=()):
    """Return kind and entry of each finding; none of them may show a key."""
    found = review_table(reviewed, deployment, names)
    assert not any(KEY in str(one) for one in found)
    return [(str(one.kind), one.place.name) for one in found]


@pytest.mark.parametrize(
    ("reviewed", "expected"),
    [
        (table(), []),
        (RoutingTable(1, (), {}, ()), [("no-routes", "")]),
        (table(route(), route("b", prefix="/chat/")), [("hidden-route", "b")]),
        (table(route(), route("b", prefix="/chat/", host="other")), []),
        (table(route(), route("b", prefix="/chat/long/")), []),
        (table(route(), route("b", host="h:80")), [("unmatched-route", "b")]),
        (table(route(), route("b", prefix="b")), [("unmatched-route", "b")]),
        (table(route(split=split(("pool", 1), ("pool", 0)))), [("zero-weight", "chat")]),
        (table(route(split=split(("pool", 0)))), [("zero-weight", "chat")]),
        (table(route(split=split(("pool", 1e308), ("pool", 1e308)))), [("zero-weight", "chat")]),
        (
            table(route(split=split(("pool", 0), ("desk", 0))), services=(POOL, DESK)),
            [("zero-weight", "chat"), ("unused-service", "desk")],
        ),
        (table(route(split=split(("pool", 1), ("x", 1)))), [("unknown-service", "chat")]),
        (table(services=(POOL, DESK)), [("unused-service", "desk")]),
        (table(route(), route()), [("repeated-name", "chat"), ("hidden-route", "chat")]),
        (table(accounts=[Account("ash", ())]), [("no-key", "ash")]),
        (table(accounts=[ash(KEY, f" {KEY}")]), [("unusable-key", "ash")]),
        (table(accounts=[ash(KEY, "")]), [("unusable-key", "ash")]),
        (
            table(accounts=[ash(), Account("birch", (KEY,))]),
            [("shared-key", "ash"), ("shared-key", "birch")],
        ),
        (table(route(regions=frozenset({"east"}))), [("region-without-zone", "chat")]),
        (table(accounts=[ash(regions=NORTH | {"east"})]), [("region-without-zone", "ash")]),
        (
            table(route(regions=NORTH), accounts=[ash(regions=SOUTH)]),
            [("excluding-regions", "chat")],
        ),
        (table(route(regions=NORTH, needs_key=False), accounts=[ash(regions=SOUTH)]), []),
        (table(route(latency_target_ms=12_000.0)), [("objective-over-timeout", "chat")]),
        (table(route(timeout_ms=0.0)), [("zero-limit", "chat")]),
        (table(route(max_attempts=2)), [("attempts-of-single-run", "chat")]),
        (table(route(max_attempts=2, resumable=True)), []),
        (table(route(max_attempts=2, kind=RouteKind.SAFE)), []),
        (table(route(kind=RouteKind.UNSAFE, resumable=True)), [("resumed-without-stream", "chat")]),
        (table(limits=Limits(header_timeout_ms=15_001.0)), [("header-over-idle", "")]),
        (table(limits=Limits(header_bytes=0)), [("zero-limit", "")]),
        (table(limits=Limits(body_bytes=33_554_432)), [("body-over-memory", "")]),
        (table(services=[evolve(POOL, engine=Engine(0, 1))]), [("zero-limit", "pool")]),
        (
            table(services=[evolve(POOL, engine=Engine(64, 116_991))]),
            [("engine-too-small", "pool")],
        ),
        (table(services=[evolve(POOL, engine=Engine(64, 116_992))]), []),
    ],
)
def test_a_fault_is_reported_at_its_entry(reviewed, expected):
    assert findings(reviewed) == expected


def test_what_only_the_record_or_the_settings_tell_is_reported_if_they_are_known():
    assert findings(table(), names=("pool", "pool")) == [("repeated-name", "pool")]
    reviewed = table(route(regions=NORTH | {"east"}), accounts=[ash(regions=SOUTH | {"east"})])
    assert ("excluding-regions", "chat") in findings(reviewed)
    assert findings(reviewed, Deployment()) == []


@pytest.mark.parametrize(("more_bytes", "is_held"), [(0, True), (2, False)])
def test_the_largest_body_is_the_largest_that_routers_hold(more_bytes, is_held):
    """Guards against a bound on bodies that differs, beyond rounding, from what the budget allows."""
    settings = IngressSettings(memory_mb=1, max_wait_ms=1.0)
    size = settings.largest_body_bytes(1_000) + more_bytes
    intake = Intake(settings, iter(range(0, 10_000, 100)).__next__)
    reader = BodyReader(size, size)

    async def read():
        return bytes(size)

    body = intake.read_body(reader, intake.open(lambda: None), (1_000, 0), read)
    with nullcontext() if is_held else pytest.raises(NoMemoryError):
        assert asyncio.run(body) == b""


def test_an_update_has_to_rise_and_must_not_drop_all_accounts_unnoticed():
    before = table()
    assert review_update(evolve(before, version=2), before) == []
    kinds = [str(one.kind) for one in review_update(table(accounts=[]), before)]
    assert kinds == ["old-version", "accounts-removed"]


def test_changes_name_what_differs_and_mask_keys():
    other_key = KEY[::-1]
    before = table(route(), route("old"), accounts=[ash()])
    after = table(
        route(timeout_ms=9_000.0, regions=NORTH, kind=RouteKind.SAFE),
        route("new"),
        services=[Service("pool", cold_per_s=2.5), DESK],
        accounts=[Account("ash", (other_key,), priority=1)],
        limits=Limits(body_bytes=5),
    )
    changes = find_changes(before, after)
    assert [f"{one.action} {one.section} {one.name}" for one in changes] == [
        *("changed route chat", "added route new", "removed route old"),
        *("changed service pool", "added service desk", "changed account ash", "changed limits "),
    ]
    route_details = ("kind: stream -> safe", "timeout_ms: 12000 -> 9000", "regions: all -> 'north'")
    assert changes[0].details == route_details
    assert "engine: slots 32, memory_tokens 473994 -> none" in changes[3].details
    assert "API key added: 'fedc'... of 16 characters" in changes[5].details
    assert KEY not in str(changes) and other_key not in str(changes)
    assert find_changes(before, before) == []

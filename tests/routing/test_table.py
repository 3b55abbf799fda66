"""How long callers wait for an answer, by their request and its route."""

import pytest

from cicadaledge.routing import Call, Route, RouteKind, Service, ServiceWeight, with_objectives

ARRIVED_MS = 5_000.0


def route(kind: RouteKind, **how: float) -> Route:
    fields = {"timeout_ms": 12_000.0, "latency_target_ms": 0.0, **how}
    return Route("r", "h", "/r/", kind, max_attempts=1, split=(ServiceWeight("s", 1),), **fields)


def call(deadline_ms: float | None = None) -> Call:
    return Call("id", "POST", "h", "/r/1", [], b"", ARRIVED_MS, deadline_ms=deadline_ms)


@pytest.mark.parametrize("kind", list(RouteKind))
def test_an_answer_is_due_by_the_deadline_or_the_timeout_whichever_is_first(kind):
    assert route(kind, timeout_ms=1_500.0).expires_ms(call()) == ARRIVED_MS + 1_500
    assert route(kind, timeout_ms=1_500.0).answer_due_ms(call(800.0)) == ARRIVED_MS + 800
    assert route(kind, timeout_ms=1_500.0).answer_due_ms(call(9_000.0)) == ARRIVED_MS + 1_500


@pytest.mark.parametrize(
    ("how", "patience_ms"),
    [
        ({}, 2_000),
        ({"latency_target_ms": 500.0}, 2_000),
        ({"latency_target_ms": 1_000.0}, 4_000),
        ({"latency_target_ms": 600.0, "max_gap_ms": 500.0}, 4_000),
        ({"latency_target_ms": 1_500.0, "max_gap_ms": 500.0}, 6_000),
    ],
)
def test_the_first_event_of_a_stream_is_due_before_its_caller_leaves(how, patience_ms):
    stream = route(RouteKind.STREAM, **how)
    assert stream.answer_due_ms(call()) == ARRIVED_MS + patience_ms
    assert route(RouteKind.UNSAFE, **how).answer_due_ms(call()) == ARRIVED_MS + 12_000


def test_a_service_has_the_shortest_objective_of_its_routes():
    """Long prompts filled an engine for longer than callers of its other routes wait."""
    routes = [
        route(RouteKind.STREAM, latency_target_ms=objective_ms)
        for objective_ms in (1_000.0, 400.0, 0.0)
    ]
    services = with_objectives({"s": Service("s"), "other": Service("other")}, routes)
    assert services["s"].shortest_objective_ms == 400.0
    assert services["other"].shortest_objective_ms == 0.0

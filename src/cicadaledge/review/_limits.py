"""Finds limits that contradict each other or the limits of the VMs and engines."""

from __future__ import annotations

from collections.abc import Iterator

from cicadaledge.review._finding import Deployment, Finding, FindingKind, Place, Section
from cicadaledge.routing import Limits, Route, RouteKind, RoutingTable, Service

# Tokens that a small request takes up in an engine: the smallest kind of the deployments so far has
# 628 prompt tokens of its own and 286 tokens of output. Slots without this much stay empty.
_SMALL_REQUEST_TOKENS = 914


def check_limits(table: RoutingTable, deployment: Deployment) -> Iterator[Finding]:
    """Yield findings on the limits of routes, services and the whole configuration."""
    for index, route in enumerate(table.routes):
        yield from _check_route(route, Place(Section.ROUTE, route.name, index))
    for service in table.services.values():
        yield from _check_engine(service, deployment)
    yield from _check_common(table.limits, deployment)


def _check_route(route: Route, place: Place) -> Iterator[Finding]:
    if route.timeout_ms <= 0:
        yield Finding(FindingKind.ZERO_LIMIT, place, "the timeout is 0; no request is run")
    elif route.latency_target_ms >= route.timeout_ms:
        text = (
            f"the latency objective of {route.latency_target_ms:g} ms is not below the timeout"
            f" of {route.timeout_ms:g} ms"
        )
        yield Finding(FindingKind.OBJECTIVE_OVER_TIMEOUT, place, text)
    if route.max_attempts > 1 and not route.idempotent:
        text = (
            "its requests may run only once; further attempts are made only after servers have"
            f" refused to run them, not all {route.max_attempts}"
        )
        yield Finding(FindingKind.ATTEMPTS_OF_SINGLE_RUN, place, text)
    if route.resumable and route.kind is not RouteKind.STREAM:
        text = "only streams are resumed; for a plain route this means that requests may run again"
        yield Finding(FindingKind.RESUMED_WITHOUT_STREAM, place, text)


def _check_engine(service: Service, deployment: Deployment) -> Iterator[Finding]:
    engine = service.engine
    if engine is None:
        return
    place = Place(Section.SERVICE, service.name)
    if engine.slots == 0:
        yield Finding(FindingKind.ZERO_LIMIT, place, "its engines have no slots")
        return
    usable_tokens = deployment.engine.running_tokens(engine)
    if usable_tokens < engine.slots * _SMALL_REQUEST_TOKENS:
        text = (
            f"running requests may take up {usable_tokens:g} of {engine.memory_tokens} tokens,"
            f" which is less than {_SMALL_REQUEST_TOKENS} for a small request in each of"
            f" {engine.slots} slots"
        )
        yield Finding(FindingKind.ENGINE_TOO_SMALL, place, text)


def _check_common(limits: Limits, deployment: Deployment) -> Iterator[Finding]:
    place = Place(Section.LIMITS)
    named = {
        "largest size of headers": limits.header_bytes,
        "header timeout": limits.header_timeout_ms,
        "idle timeout": limits.idle_timeout_ms,
    }
    for name, value in named.items():
        if value <= 0:
            text = f"the {name} is 0; requests cannot be read"
            yield Finding(FindingKind.ZERO_LIMIT, place, text)
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        text = (
            f"the header timeout of {limits.header_timeout_ms:g} ms is above the idle timeout"
            f" of {limits.idle_timeout_ms:g} ms"
        )
        yield Finding(FindingKind.HEADER_OVER_IDLE, place, text)
    ingress = deployment.ingress
    largest_bytes = max(0, ingress.largest_body_bytes(limits.header_bytes))
    if limits.body_bytes > largest_bytes:
        text = (
            f"bodies of {limits.body_bytes} bytes are allowed; a VM of {ingress.memory_mb} MiB"
            f" holds at most {largest_bytes} bytes beside the headers"
        )
        yield Finding(FindingKind.BODY_OVER_MEMORY, place, text)

"""The configuration in force: routes, services, client accounts and limits."""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable, Mapping

from attrs import evolve, field, frozen

from cicadaledge.routing._call import Call

# Callers abandon a stream, also before its first event, after the longest of three silences.
_MIN_STREAM_PATIENCE_MS = 2_000.0
_PATIENCE_PER_OBJECTIVE = 4.0  # multiple of the route's latency objective
_PATIENCE_PER_GAP = 8.0  # multiple of the longest pause between events that the route declares


class RouteKind(enum.StrEnum):
    """Kind of a route's requests: safe to repeat, unsafe to repeat, or answered by a stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class ServiceWeight:
    """A service and its weight in a traffic split."""

    service: str
    weight: float


@frozen
class Route:
    """How requests of one host and path prefix are routed.

    Args:
        timeout_ms: Time within which a request must get its final answer.
        latency_target_ms: Latency objective; for streams, up to the first event. 0 if the route
            has none.
        max_attempts: Largest number of servers to which one request may be sent.
        split: Services among which the requests are divided.
        needs_key: Whether callers must present an account's key.
        resumable: Whether another server may continue an interrupted stream.
        regions: Regions whose servers may run the request; empty allows all.
        max_gap_ms: Longest pause between the events of a stream; 0 if the route declares none.
        priority: Rank of the route's requests; 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float
    latency_target_ms: float
    max_attempts: int
    split: tuple[ServiceWeight, ...]
    needs_key: bool = True
    resumable: bool = False
    regions: frozenset[str] = frozenset()
    max_gap_ms: float = 0.0
    priority: int = 0

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    def expires_ms(self, call: Call) -> float:
        """Return when a request must have got its final answer."""
        time_ms = self.timeout_ms
        if call.deadline_ms is not None:
            time_ms = min(time_ms, call.deadline_ms)
        return call.started_ms + time_ms

    def answer_due_ms(self, call: Call) -> float:
        """Return until when the caller waits for the answer to begin.

        A plain answer is of use only when it is complete; the caller of a stream leaves if the
        first event takes too long.
        """
        if self.kind is not RouteKind.STREAM:
            return self.expires_ms(call)
        patience_ms = max(
            _MIN_STREAM_PATIENCE_MS,
            _PATIENCE_PER_OBJECTIVE * self.latency_target_ms,
            _PATIENCE_PER_GAP * self.max_gap_ms,
        )
        return min(self.expires_ms(call), call.started_ms + patience_ms)

    def choose_service(self, random_source: random.Random) -> str:
        """Return a service, chosen at random by weight."""
        weights = [one.weight for one in self.split]
        if len(weights) == 1 or sum(weights) <= 0:
            return self.split[0].service
        return random_source.choices(self.split, weights)[0].service


@frozen
class Engine:
    """Limits of each engine of a model service.

    Args:
        slots: Number of requests that an engine runs at once.
        memory_tokens: Tokens of running requests and cached parts that fit into its memory.
    """

    slots: int
    memory_tokens: int


@frozen
class Service:
    """Backend servers that do the same work.

    Args:
        cold_per_s: Requests per second that a cold server can serve; 0 if servers need no warm-up.
        engine: None for plain services.
        shortest_objective_ms: Shortest latency objective of the routes that lead to it; 0 if they
            have none.
    """

    name: str
    cold_per_s: float = 0.0
    engine: Engine | None = None
    shortest_objective_ms: float = 0.0


def with_objectives(services: Mapping[str, Service], routes: Iterable[Route]) -> dict[str, Service]:
    """Return the services, each with the shortest latency objective of the routes to it."""
    shortest_ms: dict[str, float] = {}
    for route in routes:
        if route.latency_target_ms <= 0:
            continue
        for one in route.split:
            known_ms = shortest_ms.get(one.service, route.latency_target_ms)
            shortest_ms[one.service] = min(known_ms, route.latency_target_ms)
    return {
        name: evolve(service, shortest_objective_ms=shortest_ms.get(name, 0.0))
        for name, service in services.items()
    }


@frozen
class Account:
    """A client account.

    Args:
        keys: API keys that belong to it.
        regions: Regions to which it is restricted; empty allows all.
        priority: Rank of its requests, which takes precedence over that of their routes; None if
            it has no rank of its own.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    regions: frozenset[str] = frozenset()
    priority: int | None = None


@frozen
class Limits:
    """Limits on callers' requests, and the capacity of all engines together.

    Args:
        header_bytes: Largest size of the headers.
        body_bytes: Largest size of the body.
        header_timeout_ms: Time, from the first byte, within which headers and body must arrive.
        idle_timeout_ms: Time after which an idle connection is closed.
        tokens_per_s: Capacity of all engines in tokens per second; 0 for no limit.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
    tokens_per_s: float = 0.0


@frozen
class RoutingTable:
    """One version of the configuration.

    Args:
        version: Increases with each change.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: tuple[Account, ...]
    limits: Limits = Limits()
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, eq=False)
    _by_key: dict[str, Account] = field(init=False, repr=False, eq=False)

    @_by_host.default
    def _group_routes(self) -> dict[str, list[Route]]:
        grouped: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            grouped.setdefault(route.host, []).append(route)
        return grouped

    @_by_key.default
    def _index_keys(self) -> dict[str, Account]:
        return {key: account for account in self.accounts for key in account.keys}

    @property
    def has_accounts(self) -> bool:
        """Whether requests must carry keys at all."""
        return bool(self.accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins *path*, or None.

        Args:
            host: Host as named by the caller; a port is ignored.
        """
        for route in self._by_host.get(host.split(":", 1)[0], ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of_key(self, key: str) -> Account | None:
        """Return the account that holds *key*, or None."""
        return self._by_key.get(key)

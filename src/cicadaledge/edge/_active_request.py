"""State of a request that a router handles."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from cicadaledge.rollouts import RequestSide
from cicadaledge.routing import Account, Call, Route, RoutingTable, Service

if TYPE_CHECKING:
    from cicadaledge.edge._attempt import BufferedResponse


@define
class ActiveRequest:
    """A request that a router has admitted.

    Args:
        account: Account that the request belongs to, or None if its route needs no key.
        regions: Regions that may serve the request, or None for all.
        expires_ms: Time at which the request times out.
        tried_servers: Names of the servers that could not be reached or failed the request.
        reached_servers: Names of the servers that it was sent to.
        used_connections: Numbers of the connections that it was sent on.
        attempts: Number of attempts that may have run it.
        longest_attempt_ms: Duration of the longest of these attempts.
        may_have_run: Whether a server may have executed the request.
        cannot_resume: Whether the caller has a partial response that no other server can complete.
        last_failure: The latest error response of a server.
        is_part_trial: Whether it was let through to find out whether a part of its prompt still
            crashes servers.
        side: What the rollout of its service remembers of it.
        fingerprint: Identifies repetitions of the same request; computed on first use.
    """

    call: Call
    route: Route
    service: Service
    table: RoutingTable
    account: Account | None
    regions: frozenset[str] | None
    expires_ms: float
    tried_servers: set[str] = field(factory=set)
    reached_servers: set[str] = field(factory=set)
    used_connections: set[int] = field(factory=set)
    attempts: int = 0
    longest_attempt_ms: float = 0.0
    may_have_run: bool = False
    cannot_resume: bool = False
    last_failure: BufferedResponse | None = None
    is_part_trial: bool = False
    side: RequestSide = field(factory=RequestSide)
    fingerprint: str | None = None

    @property
    def rank(self) -> int:
        """Rank by the configuration; 0 is the highest. The account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def account_name(self) -> str | None:
        """Name of the account, or None."""
        return self.account.name if self.account else None

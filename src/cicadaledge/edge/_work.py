"""One request on its way through a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from cicadaledge.routing import Account, Call, Route, RoutingTable, Service

if TYPE_CHECKING:
    from cicadaledge.edge._attempt import BufferedResponse


@define
class ActiveRequest:
    """One request on its way.

    Args:
        account: The account that it belongs to, or None where none is needed.
        regions: Regions that may run it, or None for all.
        until_ms: When its time runs out.
        is_bound: Whether the caller got a part of an answer that no other server can end.
        failure: The newest failure that a server itself answered with.
        fingerprint: What it is known by when it comes again, once somebody has asked.
    """

    call: Call
    route: Route
    service: Service
    table: RoutingTable
    account: Account | None
    regions: frozenset[str] | None
    expires_ms: float
    tried_servers: set[str] = field(factory=set)
    attempts: int = 0
    may_have_run: bool = False
    cannot_resume: bool = False
    last_failure: BufferedResponse | None = None
    fingerprint: str | None = None

    @property
    def account_name(self) -> str | None:
        """Name of the account, or None."""
        return self.account.name if self.account else None

"""Which requests a router takes, by the configuration and by what their accounts get."""

from __future__ import annotations

import random

from cicadaledge.codes import Code
from cicadaledge.edge._beliefs import ControlPlaneState
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._departure import LEAVING_RETRY_MS, ShutdownSchedule
from cicadaledge.edge._request_lines import RequestLog
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._work import ActiveRequest
from cicadaledge.errors import RefusalError
from cicadaledge.placing import AccountShares, Refused, ShareUse
from cicadaledge.routing import Account, Call, Route, RouteKind, RoutingTable

_STALE_RETRY_MS = 1_000.0  # another router may read the store; this one needs seconds


class Admission:
    """Admits requests, and asks again when the configuration has changed.

    Args:
        lines: Writes why a request was not admitted.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        beliefs: ControlPlaneState,
        shares: AccountShares,
        departure: ShutdownSchedule,
        lines: RequestLog,
    ) -> None:
        self._settings = settings
        self._beliefs = beliefs
        self._shares = shares
        self._departure = departure
        self._lines = lines
        self._chance = random.Random()

    def admit(self, call: Call) -> ActiveRequest:
        """Return the work, or refuse it by the configuration alone."""
        if not self._departure.accepts(clock_ms()):
            raise RefusalError(Code.LEAVING, retry_after_ms=int(LEAVING_RETRY_MS))
        table = self._beliefs.table
        if table is None or not self._beliefs.servers_known:
            raise RefusalError(Code.NOT_READY, retry_after_ms=int(_STALE_RETRY_MS))
        current = self._beliefs.may_use_keys(clock_ms())
        route = table.match(call.host, call.path)
        if route is None:
            if not current:
                raise RefusalError(Code.KEYS_STALE, retry_after_ms=int(_STALE_RETRY_MS))
            raise RefusalError(Code.NOT_FOUND, f"no route for {call.host}{call.path}")
        account = self._account(call, route, table, current)
        service = table.services[route.choose_service(self._chance)]
        time_ms = route.timeout_ms
        if call.deadline_ms is not None:
            time_ms = min(time_ms, call.deadline_ms)
        regions = _allowed_regions(route, account)
        work = ActiveRequest(
            call, route, service, table, account, regions, call.started_ms + time_ms
        )
        if account is not None and service.engine is not None:
            self._shares.record_asked(account.name, call.cost_tokens, call.started_ms)
            self._check_share(work)
        return work

    def _check_share(self, work: ActiveRequest) -> None:
        """Refuse a request at once whose account asks more than its share.

        Raises:
            RefusalError: It is not among the part of the account's requests that is placed.
        """
        now_ms = clock_ms()
        use = self.share_use(work, now_ms)
        if self._chance.random() < use.admitted_fraction:
            return
        retry_ms = self._settings.placing.min_retry_ms
        self._lines.log_not_placed(work, Refused("share is used up", retry_ms), use, now_ms)
        raise RefusalError(Code.NO_CAPACITY, "share is used up", retry_after_ms=int(retry_ms))

    def _account(
        self, call: Call, route: Route, table: RoutingTable, current: bool
    ) -> Account | None:
        """Return whose key the call carries.

        Raises:
            RefusalError: The key is unknown, or may have been revoked.
        """
        account = table.account_of_key(call.key) if call.key else None
        if not table.has_accounts or not route.needs_key:
            return account if current else None
        if not current:
            raise RefusalError(Code.KEYS_STALE, retry_after_ms=int(_STALE_RETRY_MS))
        if account is None:
            raise RefusalError(Code.UNAUTHENTICATED)
        return account

    def recheck(self, work: ActiveRequest) -> None:
        """Follow a newer configuration, read meanwhile.

        Raises:
            RefusalError: It does not allow the request, or keys can no longer be trusted.
        """
        table = self._beliefs.table
        assert table is not None
        route = work.route
        if table is not work.table:
            found = table.match(work.call.host, work.call.path)
            if found is None:
                raise RefusalError(Code.NOT_FOUND, "the route was removed")
            route = found
        current = self._beliefs.may_use_keys(clock_ms())
        work.account = self._account(work.call, route, table, current)
        if table is work.table:
            return
        work.table = table
        work.regions = _allowed_regions(route, work.account)
        name = work.service.name
        if name not in {one.service for one in route.split}:
            if work.attempts and route.kind is RouteKind.STREAM:
                raise RefusalError(Code.BACKEND_LOST, "the route was moved")
            name = route.choose_service(self._chance)
        work.service = table.services[name]
        work.route = route

    def share_use(self, work: ActiveRequest, now_ms: float) -> ShareUse:
        if work.account is None or work.service.engine is None:
            return ShareUse()
        capacity = work.table.limits.tokens_per_s
        return self._shares.share_use(work.account.name, capacity, now_ms)


def _allowed_regions(route: Route, account: Account | None) -> frozenset[str] | None:
    """Return the regions that both allow, or None if neither is bound."""
    bound = [regions for regions in (route.regions, account and account.regions) if regions]
    if not bound:
        return None
    allowed = bound[0]
    for regions in bound[1:]:
        allowed &= regions
    return allowed

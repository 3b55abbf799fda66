"""Decides by configuration, key and account share whether a router accepts a request."""

from __future__ import annotations

import random

from cicadaledge.clock import clock_ms
from cicadaledge.codes import Code
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._control_state import ControlPlaneState
from cicadaledge.edge._departure import LEAVING_RETRY_MS, ShutdownSchedule
from cicadaledge.edge._request_log import RequestLog
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.errors import RefusalError
from cicadaledge.placing import AccountShares, EngineCapacity, Refused, ShareUse
from cicadaledge.routing import Account, Call, Route, RouteKind, RoutingTable

# A caller refused because this router lacks up-to-date data from the store is asked to retry after
# this time. Another router may have the data; this one takes seconds to recover.
_STALE_RETRY_MS = 1_000.0


class Admission:
    """Admits requests and checks admitted ones again after configuration changes.

    Args:
        request_log: Logs why a request was not admitted.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        control_state: ControlPlaneState,
        shares: AccountShares,
        capacity: EngineCapacity,
        shutdown: ShutdownSchedule,
        request_log: RequestLog,
    ) -> None:
        self._settings = settings
        self._control_state = control_state
        self._shares = shares
        self._capacity = capacity
        self._shutdown = shutdown
        self._request_log = request_log
        self._random = random.Random()

    def admit(self, call: Call) -> ActiveRequest:
        """Return the admitted request.

        Raises:
            RefusalError: The router is not ready or is shutting down, or the configuration, the key
                or the share of the account does not allow the request.
        """
        table, route, account = self.check(call)
        service = table.services[route.choose_service(self._random)]
        if self._settings.placing.engine.never_fits(call, service):
            raise RefusalError(Code.TOO_LARGE_FOR_ENGINES)
        regions = _allowed_regions(route, account)
        request = ActiveRequest(
            call, route, service, table, account, regions, route.expires_ms(call)
        )
        if account is not None and service.engine is not None:
            self._shares.record_asked(account.name, call.cost_tokens, call.started_ms)
            self._refuse_over_share(request)
        return request

    def check(self, call: Call) -> tuple[RoutingTable, Route, Account | None]:
        """Check what the head of a request alone decides.

        Raises:
            RefusalError: The router is not ready or is shutting down, or the configuration or the
                key does not allow the request.
        """
        if not self._shutdown.accepts(clock_ms()):
            raise RefusalError(Code.LEAVING, retry_after_ms=int(LEAVING_RETRY_MS))
        table = self._control_state.table
        if table is None or not self._control_state.servers_known:
            raise RefusalError(Code.NOT_READY, retry_after_ms=int(_STALE_RETRY_MS))
        keys_are_fresh = self._control_state.may_use_keys(clock_ms())
        route = table.match(call.host, call.path)
        if route is None:
            if not keys_are_fresh:
                raise RefusalError(Code.KEYS_STALE, retry_after_ms=int(_STALE_RETRY_MS))
            raise RefusalError(Code.NOT_FOUND, f"no route for {call.host}{call.path}")
        return table, route, self._authenticate(call, route, table, keys_are_fresh)

    def _refuse_over_share(self, request: ActiveRequest) -> None:
        """Refuse part of the requests of an account that exceeds its share.

        Raises:
            RefusalError: The request is in the refused part, drawn at random.
        """
        now_ms = clock_ms()
        use = self.share_use(request, now_ms)
        if self._random.random() < use.admitted_fraction:
            return
        retry_ms = self._settings.placing.min_retry_ms
        self._request_log.log_not_placed(
            request, Refused("share is used up", retry_ms), use, now_ms
        )
        raise RefusalError(Code.NO_CAPACITY, "share is used up", retry_after_ms=int(retry_ms))

    def _authenticate(
        self, call: Call, route: Route, table: RoutingTable, keys_are_fresh: bool
    ) -> Account | None:
        """Return the account that the key in the call belongs to.

        Raises:
            RefusalError: The key is unknown, or may have been revoked.
        """
        account = table.account_of_key(call.key) if call.key else None
        if not table.has_accounts or not route.needs_key:
            return account if keys_are_fresh else None
        if not keys_are_fresh:
            raise RefusalError(Code.KEYS_STALE, retry_after_ms=int(_STALE_RETRY_MS))
        if account is None:
            raise RefusalError(Code.UNAUTHENTICATED)
        return account

    def recheck(self, request: ActiveRequest) -> None:
        """Apply a configuration that has been read since the request was admitted.

        Raises:
            RefusalError: It does not allow the request, or the key data is out of date.
        """
        table = self._control_state.table
        assert table is not None
        route = request.route
        if table is not request.table:
            found = table.match(request.call.host, request.call.path)
            if found is None:
                raise RefusalError(Code.NOT_FOUND, "the route was removed")
            route = found
        keys_are_fresh = self._control_state.may_use_keys(clock_ms())
        request.account = self._authenticate(request.call, route, table, keys_are_fresh)
        if table is request.table:
            return
        request.table = table
        request.regions = _allowed_regions(route, request.account)
        name = request.service.name
        if name not in {one.service for one in route.split}:
            if request.attempts and route.kind is RouteKind.STREAM:
                raise RefusalError(Code.BACKEND_LOST, "the route was moved")
            name = route.choose_service(self._random)
        request.service = table.services[name]
        request.route = route

    def share_use(self, request: ActiveRequest, now_ms: float) -> ShareUse:
        if request.account is None or request.service.engine is None:
            return ShareUse()
        capacity_per_s = self._capacity.admissible_per_s(
            request.table.services.values(), request.table.limits.tokens_per_s, now_ms
        )
        return self._shares.share_use(request.account.name, capacity_per_s, now_ms)


def _allowed_regions(route: Route, account: Account | None) -> frozenset[str] | None:
    """Return the regions that route and account both allow, or None if neither is restricted."""
    restrictions = [regions for regions in (route.regions, account and account.regions) if regions]
    if not restrictions:
        return None
    allowed = restrictions[0]
    for regions in restrictions[1:]:
        allowed &= regions
    return allowed

"""Sums of the loads that peers report, from which load views for other routers are built."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from attrs import define, evolve

from cicadaledge.wire import (
    AccountUse,
    DepartingServer,
    LoadView,
    ServerUse,
    SpeedReport,
    ViewScope,
)

# A peer sends ten or more views in this time, or fewer in large fleets, where views are less
# frequent. If none has been received, its load is out of date and no longer counted.
_VIEW_TTL_MS = 1_000.0
# A peer's account rates are no longer counted after this time, which is over three times the
# interval between views with rates in the largest fleet.
_RATES_TTL_MS = 2_500.0


@define
class PeerLoad:
    """The last load reported by one peer, for itself, its zone or all other routers.

    Args:
        received_ms: When the last view was received.
        accounts_ms: When the last view with account rates was received.
    """

    received_ms: float
    routers: int
    servers: dict[str, ServerUse]
    accounts: dict[str, AccountUse]
    accounts_ms: float
    late_ms: int = 0
    shedding: int = 0
    departing: frozenset[DepartingServer] = frozenset()
    begun_per_s: int = 0
    speeds: tuple[SpeedReport, ...] = ()


@define
class ServerSum:
    """Load of several routers on one server, summed."""

    running: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0
    sent_last_s: int = 0
    waited_ms: int = 0
    expected_ms: int = 0
    ended: int = 0
    failed: int = 0

    def add(self, use: ServerUse, sign: int) -> None:
        """Add the load that a view reports, or subtract it if *sign* is -1."""
        self.running += sign * use.running
        self.unread_tokens += sign * use.unread_tokens
        self.context_tokens += sign * use.context_tokens
        self.sent_last_s += sign * use.sent_last_s
        self.waited_ms += sign * use.waited_ms
        self.expected_ms += sign * use.expected_ms
        self.ended += sign * use.ended
        self.failed += sign * use.failed


class LoadSum:
    """Sum of the loads of several peers, updated incrementally."""

    def __init__(self) -> None:
        self.parts: dict[str, PeerLoad] = {}
        self.servers: dict[str, ServerSum] = {}
        self.routers = 0
        self.late_ms = 0
        self.shedding = 0
        self.begun_per_s = 0
        self.departing: dict[str, frozenset[DepartingServer]] = {}
        self.speeds: dict[str, SpeedReport] = {}
        self._oldest_ms = math.inf

    def update(self, peer: str, view: LoadView, now_ms: float) -> None:
        """Replace the load of a peer by that of a newer view."""
        part = _peer_load(self.parts.get(peer), view, now_ms)
        self.remove(peer)
        self.parts[peer] = part
        self.routers += part.routers
        self.late_ms += part.late_ms
        self.shedding += part.shedding
        self.begun_per_s += part.begun_per_s
        self._oldest_ms = min(self._oldest_ms, now_ms)
        if part.departing:
            self.departing[peer] = part.departing
        for name, use in part.servers.items():
            self.servers.setdefault(name, ServerSum()).add(use, 1)
        add_speeds(self.speeds, part.speeds, 1)

    def remove(self, peer: str) -> None:
        """Subtract the load of a peer."""
        part = self.parts.pop(peer, None)
        if part is None:
            return
        self.routers -= part.routers
        self.late_ms -= part.late_ms
        self.shedding -= part.shedding
        self.begun_per_s -= part.begun_per_s
        self.departing.pop(peer, None)
        for name, use in part.servers.items():
            self.servers[name].add(use, -1)
        add_speeds(self.speeds, part.speeds, -1)

    def expire(self, now_ms: float) -> None:
        """Subtract the loads of peers whose last view is too old."""
        if now_ms - self._oldest_ms <= _VIEW_TTL_MS:
            return
        for peer, part in list(self.parts.items()):
            if now_ms - part.received_ms > _VIEW_TTL_MS:
                self.remove(peer)
        if not self.parts:
            self.servers.clear()
        ages = [part.received_ms for part in self.parts.values()]
        self._oldest_ms = min(ages, default=math.inf)

    def account_rates(self, now_ms: float) -> Iterator[AccountUse]:
        """Yield the account rates of all peers; an account may occur several times."""
        for part in self.parts.values():
            if now_ms - part.accounts_ms <= _RATES_TTL_MS:
                yield from part.accounts.values()


def sum_view(own: LoadView, sums: Iterable[LoadSum], scope: ViewScope, now_ms: float) -> LoadView:
    """Return a view of this router's own load plus sums of the loads of others."""
    totals: dict[str, ServerSum] = {}
    accounts = {use.account: use for use in own.accounts}
    routers, late_ms, shedding = own.routers, own.late_ms, own.shedding
    begun_per_s = own.begun_per_s
    departing = set(own.departing)
    speeds: dict[str, SpeedReport] = {}
    add_speeds(speeds, own.speeds, 1)
    for use in own.servers:
        totals.setdefault(use.server, ServerSum()).add(use, 1)
    for load_sum in sums:
        routers += load_sum.routers
        late_ms += load_sum.late_ms
        shedding += load_sum.shedding
        begun_per_s += load_sum.begun_per_s
        departing.update(*load_sum.departing.values())
        add_speeds(speeds, load_sum.speeds.values(), 1)
        for name, total in load_sum.servers.items():
            if _has_activity(total):
                totals.setdefault(name, ServerSum()).add(_server_use(name, total), 1)
        if own.has_rates:
            for rate in load_sum.account_rates(now_ms):
                accounts[rate.account] = _add_rate(accounts.get(rate.account), rate, 1)
    return evolve(
        own,
        scope=int(scope),
        routers=routers,
        servers=[_server_use(name, total) for name, total in totals.items()],
        accounts=list(accounts.values()),
        late_ms=late_ms,
        shedding=shedding,
        departing=list(departing),
        begun_per_s=begun_per_s,
        speeds=list(speeds.values()),
    )


def subtract_load(summed: LoadView, part: PeerLoad, now_ms: float) -> LoadView:
    """Return a view from which the load of one router is subtracted."""
    servers = {use.server: use for use in summed.servers}
    for name, use in part.servers.items():
        if name in servers:
            total = ServerSum()
            total.add(servers[name], 1)
            total.add(use, -1)
            servers[name] = _server_use(name, total)
    speeds = {report.server: report for report in summed.speeds}
    add_speeds(speeds, part.speeds, -1)
    accounts = {use.account: use for use in summed.accounts}
    if summed.has_rates and now_ms - part.accounts_ms <= _RATES_TTL_MS:
        for rate in part.accounts.values():
            accounts[rate.account] = _add_rate(accounts.get(rate.account), rate, -1)
    return evolve(
        summed,
        routers=summed.routers - part.routers,
        late_ms=max(0, summed.late_ms - part.late_ms),
        shedding=max(0, summed.shedding - part.shedding),
        begun_per_s=max(0, summed.begun_per_s - part.begun_per_s),
        servers=[use for use in servers.values() if _has_activity(use)],
        accounts=list(accounts.values()),
        speeds=list(speeds.values()),
    )


def add_speeds(speeds: dict[str, SpeedReport], reports: Iterable[SpeedReport], sign: int) -> None:
    """Add reports to sums, or subtract them; servers without reports are dropped."""
    for report in reports:
        total = speeds.pop(report.server, SpeedReport(report.server))
        count = total.reports + sign * report.reports
        if count > 0:
            percent_sum = max(0, total.percent_sum + sign * report.percent_sum)
            speeds[report.server] = SpeedReport(report.server, count, percent_sum)


def _peer_load(previous: PeerLoad | None, view: LoadView, now_ms: float) -> PeerLoad:
    servers = {use.server: use for use in view.servers}
    accounts: dict[str, AccountUse] = {}
    accounts_ms = -math.inf
    if view.has_rates:
        accounts, accounts_ms = {use.account: use for use in view.accounts}, now_ms
    elif previous is not None:
        accounts, accounts_ms = previous.accounts, previous.accounts_ms
    return PeerLoad(
        now_ms,
        view.routers,
        servers,
        accounts,
        accounts_ms,
        view.late_ms,
        view.shedding,
        frozenset(view.departing),
        view.begun_per_s,
        tuple(view.speeds),
    )


def _has_activity(load: ServerSum | ServerUse) -> bool:
    """Return whether a server has any activity to report."""
    return bool(load.running or load.sent_last_s or load.expected_ms or load.ended)


def _server_use(name: str, total: ServerSum) -> ServerUse:
    return ServerUse(
        name,
        total.running,
        total.unread_tokens,
        total.context_tokens,
        total.sent_last_s,
        total.waited_ms,
        total.expected_ms,
        total.ended,
        total.failed,
    )


def _add_rate(previous: AccountUse | None, rate: AccountUse, sign: int) -> AccountUse:
    asked_per_s = previous.asked_per_s if previous else 0.0
    admitted_per_s = previous.admitted_per_s if previous else 0.0
    return AccountUse(
        rate.account,
        max(0.0, asked_per_s + sign * rate.asked_per_s),
        max(0.0, admitted_per_s + sign * rate.admitted_per_s),
    )

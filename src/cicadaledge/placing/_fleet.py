"""The load that the other routers of the fleet have placed.

Each availability zone has a relay, the first of its routers by rendezvous hash that is heard.
Routers send their load to it; relays exchange the sums of their zones and tell each router of
their zone what all others have placed. No router counts anybody twice: it has one relay, and a
relay leaves the receiver's own part out.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Iterator

from attrs import define, evolve, frozen

from cicadaledge.placing._totals import FirstTokenWaits, ServerOutcomes, ServerTotals
from cicadaledge.wire import AccountUse, DepartingServer, LoadView, ServerUse, ViewScope

_VIEW_LIFE_MS = 1_000.0  # ten views or more; an older part says nothing of today's load
_ACCOUNTS_LIFE_MS = 2_500.0  # over three times between two views with rates in the largest fleet
_STALE_TURNS = 4.0  # a turn at the router, one at each of two relays, and one on the way
_DRAWS = 2**32


@define
class LoadPart:
    """Load of one router, of one zone or of all others.

    Args:
        received_ms: When the newest view came.
    """

    received_ms: float
    routers: int
    servers: dict[str, ServerUse]
    accounts: dict[str, AccountUse]
    accounts_ms: float
    late_ms: int = 0
    shedding: int = 0
    departing: frozenset[DepartingServer] = frozenset()


@frozen
class RouterTotals:
    """State of several routers together.

    Args:
        late_ms: How late their event loops are, summed.
        shedding: How many of them keep new callers away.
    """

    routers: int = 0
    late_ms: int = 0
    shedding: int = 0

    @property
    def mean_late_ms(self) -> float:
        """How late the event loop of one of them is."""
        return self.late_ms / max(1, self.routers)


@define
class _Total:
    running: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0
    sent_last_s: int = 0
    waited_ms: int = 0
    expected_ms: int = 0
    ended: int = 0
    failed: int = 0

    def add(self, use: ServerUse, sign: int) -> None:
        self.running += sign * use.running
        self.unread_tokens += sign * use.unread_tokens
        self.context_tokens += sign * use.context_tokens
        self.sent_last_s += sign * use.sent_last_s
        self.waited_ms += sign * use.waited_ms
        self.expected_ms += sign * use.expected_ms
        self.ended += sign * use.ended
        self.failed += sign * use.failed


class _PartSum:
    """Sum of several parts, corrected with each part that changes."""

    def __init__(self) -> None:
        self.parts: dict[str, LoadPart] = {}
        self.servers: dict[str, _Total] = {}
        self.routers = 0
        self.late_ms = 0
        self.shedding = 0
        self.departing: dict[str, frozenset[DepartingServer]] = {}
        self._oldest_ms = math.inf

    def put(self, peer: str, view: LoadView, now_ms: float) -> None:
        """Replace the part of a peer by a newer view."""
        part = _merge(self.parts.get(peer), view, now_ms)
        self.drop(peer)
        self.parts[peer] = part
        self.routers += part.routers
        self.late_ms += part.late_ms
        self.shedding += part.shedding
        self._oldest_ms = min(self._oldest_ms, now_ms)
        if part.departing:
            self.departing[peer] = part.departing
        for name, use in part.servers.items():
            self.servers.setdefault(name, _Total()).add(use, 1)

    def drop(self, peer: str) -> None:
        """Take the part of a peer out of the sum."""
        part = self.parts.pop(peer, None)
        if part is None:
            return
        self.routers -= part.routers
        self.late_ms -= part.late_ms
        self.shedding -= part.shedding
        self.departing.pop(peer, None)
        for name, use in part.servers.items():
            self.servers[name].add(use, -1)

    def expire(self, now_ms: float) -> None:
        """Drop the parts that have not been renewed."""
        if now_ms - self._oldest_ms <= _VIEW_LIFE_MS:
            return
        for peer, part in list(self.parts.items()):
            if now_ms - part.received_ms > _VIEW_LIFE_MS:
                self.drop(peer)
        if not self.parts:
            self.servers.clear()
        ages = [part.received_ms for part in self.parts.values()]
        self._oldest_ms = min(ages, default=math.inf)

    def account_rates(self, now_ms: float) -> Iterator[AccountUse]:
        """Yield the rates of all parts; accounts may come several times."""
        for part in self.parts.values():
            if now_ms - part.accounts_ms <= _ACCOUNTS_LIFE_MS:
                yield from part.accounts.values()


class FleetLoad:
    """Parts of the fleet's load that this router has heard.

    Args:
        router: Name of this router.
    """

    def __init__(self, router: str = "") -> None:
        self._router = router
        self._turn_ms = 0.0
        self._zone = _PartSum()
        self._far = _PartSum()
        self._rest = _PartSum()
        self._is_relay = True
        self._relay = ""
        self._members = 1
        self._expired_ms = -math.inf

    def set_roles(
        self, relay: str, *, is_relay: bool, members: int, interval_ms: float = 0.0
    ) -> None:
        """Note which router relays for this zone.

        Args:
            members: How many routers the fleet has by its list.
            turn_ms: Time between two views.
        """
        self._turn_ms = interval_ms
        self._relay = relay
        self._is_relay = is_relay
        self._members = max(1, members)

    def apply_view(self, peer: str, view: LoadView, now_ms: float) -> None:
        """Take over a view."""
        match view.scope:
            case ViewScope.SENDER:
                self._zone.put(peer, view, now_ms)
                self._far.drop(peer)
            case ViewScope.ZONE:
                self._far.put(peer, view, now_ms)
                self._zone.drop(peer)
            case ViewScope.ALL_BUT_RECEIVER:
                if peer == self._relay:
                    for former in self._rest.parts.keys() - {peer}:
                        self._rest.drop(former)
                    self._rest.put(peer, view, now_ms)

    def remove_peer(self, peer: str) -> None:
        """Drop what a peer has sent."""
        for one in (self._zone, self._far, self._rest):
            one.drop(peer)

    def is_current(self, now_ms: float) -> bool:
        """Return whether the other routers' load is known."""
        return self._members == 1 or any(one.parts for one in self._sums(now_ms))

    def growth_allowance(self, rate_per_s: float) -> float:
        """Return how much a rate may have grown since the views that tell of it were made."""
        return rate_per_s * _STALE_TURNS * self._turn_ms / 1000

    def is_selected_for(self, server: str, count: float) -> bool:
        """Return whether this router is among about *count* ones chosen for a server.

        All routers agree without hearing each other, as each draws by the same hash.
        """
        text = f"{server}/{self._router}".encode()
        drawn = int.from_bytes(hashlib.blake2b(text, digest_size=4).digest(), "big")
        return drawn * self._members < count * _DRAWS

    def server_totals(
        self, server: str, now_ms: float, own: ServerTotals = ServerTotals()
    ) -> ServerTotals:
        """Return what the others have placed on a server, and *own* on top."""
        running, unread_tokens = own.running, own.unread_tokens
        context_tokens, sent_last_s = own.context_tokens, own.sent_last_s
        for total in self._heard_of(server, now_ms):
            running += total.running
            unread_tokens += total.unread_tokens
            context_tokens += total.context_tokens
            sent_last_s += total.sent_last_s
        return ServerTotals(running, unread_tokens, context_tokens, sent_last_s)

    def server_waits(self, server: str, now_ms: float, own: FirstTokenWaits) -> FirstTokenWaits:
        """Return the first tokens of a server that the others have seen, and *own* on top."""
        waited_ms, expected_ms = own.waited_ms, own.expected_ms
        for total in self._heard_of(server, now_ms):
            waited_ms += total.waited_ms
            expected_ms += total.expected_ms
        return FirstTokenWaits(waited_ms, expected_ms)

    def server_outcomes(self, server: str, now_ms: float, own: ServerOutcomes) -> ServerOutcomes:
        """Return how a server's requests ended at the others, and *own* on top."""
        ended, failed = own.ended, own.failed
        for total in self._heard_of(server, now_ms):
            ended += total.ended
            failed += total.failed
        return ServerOutcomes(ended, failed)

    def account_rates(self, now_ms: float) -> list[AccountUse]:
        """Return the others' rates; accounts may be named several times."""
        return [use for one in self._sums(now_ms) for use in one.account_rates(now_ms)]

    def router_count(self, now_ms: float) -> int:
        """Return how many routers the fleet has, this one included."""
        heard = 1 + sum(one.routers for one in self._sums(now_ms))
        return heard if self.is_current(now_ms) else max(heard, self._members)

    def router_totals(self, now_ms: float) -> RouterTotals:
        """Return the state of the routers that are heard, without this one."""
        sums = self._sums(now_ms)
        return RouterTotals(
            sum(one.routers for one in sums),
            sum(one.late_ms for one in sums),
            sum(one.shedding for one in sums),
        )

    def departing(self, now_ms: float) -> set[DepartingServer]:
        """Return the servers that told one of the others that they leave."""
        found: set[DepartingServer] = set()
        return found.union(*(told for one in self._sums(now_ms) for told in one.departing.values()))

    def max_router_count(self, now_ms: float) -> int:
        """Return how many routers may be there: heard ones, or listed ones if they are more."""
        return max(self.router_count(now_ms), self._members)

    def zone_view(self, own: LoadView, now_ms: float) -> LoadView:
        """Return the sum of this zone, for other relays."""
        self._zone.expire(now_ms)
        return _sum_view(own, [self._zone], ViewScope.ZONE, now_ms)

    def views_without_receiver(
        self, own: LoadView, receivers: Iterable[str], now_ms: float
    ) -> Iterator[tuple[str, LoadView]]:
        """Yield for each receiver of this zone the sum of all routers but itself."""
        for one in (self._zone, self._far):
            one.expire(now_ms)
        whole = _sum_view(own, [self._zone, self._far], ViewScope.ALL_BUT_RECEIVER, now_ms)
        for receiver in receivers:
            part = self._zone.parts.get(receiver)
            yield receiver, whole if part is None else _without(whole, part, now_ms)

    def _heard_of(self, server: str, now_ms: float) -> list[_Total]:
        """Return what the others have told of a server."""
        return [one.servers[server] for one in self._sums(now_ms) if server in one.servers]

    def _sums(self, now_ms: float) -> tuple[_PartSum, ...]:
        sums = (self._zone, self._far) if self._is_relay else (self._rest,)
        if now_ms != self._expired_ms:
            for one in (self._zone, self._far, self._rest):
                one.expire(now_ms)
            self._expired_ms = now_ms
        return sums


def _merge(former: LoadPart | None, view: LoadView, now_ms: float) -> LoadPart:
    servers = {use.server: use for use in view.servers}
    accounts: dict[str, AccountUse] = {}
    accounts_ms = -math.inf
    if view.has_rates:
        accounts, accounts_ms = {use.account: use for use in view.accounts}, now_ms
    elif former is not None:
        accounts, accounts_ms = former.accounts, former.accounts_ms
    return LoadPart(
        now_ms,
        view.routers,
        servers,
        accounts,
        accounts_ms,
        view.late_ms,
        view.shedding,
        frozenset(view.departing),
    )


def _sum_view(own: LoadView, sums: Iterable[_PartSum], scope: ViewScope, now_ms: float) -> LoadView:
    totals: dict[str, _Total] = {}
    accounts = {use.account: use for use in own.accounts}
    routers, late_ms, shedding = own.routers, own.late_ms, own.shedding
    departing = set(own.departing)
    for use in own.servers:
        totals.setdefault(use.server, _Total()).add(use, 1)
    for one in sums:
        routers += one.routers
        late_ms += one.late_ms
        shedding += one.shedding
        departing.update(*one.departing.values())
        for name, total in one.servers.items():
            if _is_telling(total):
                totals.setdefault(name, _Total()).add(_use(name, total), 1)
        if own.has_rates:
            for rate in one.account_rates(now_ms):
                accounts[rate.account] = _add_rate(accounts.get(rate.account), rate, 1)
    return evolve(
        own,
        scope=int(scope),
        routers=routers,
        servers=[_use(name, total) for name, total in totals.items()],
        accounts=list(accounts.values()),
        late_ms=late_ms,
        shedding=shedding,
        departing=list(departing),
    )


def _without(whole: LoadView, part: LoadPart, now_ms: float) -> LoadView:
    """Return a view less the part of one router that it sums."""
    servers = {use.server: use for use in whole.servers}
    for name, use in part.servers.items():
        if name in servers:
            total = _Total()
            total.add(servers[name], 1)
            total.add(use, -1)
            servers[name] = _use(name, total)
    accounts = {use.account: use for use in whole.accounts}
    if whole.has_rates and now_ms - part.accounts_ms <= _ACCOUNTS_LIFE_MS:
        for rate in part.accounts.values():
            accounts[rate.account] = _add_rate(accounts.get(rate.account), rate, -1)
    return evolve(
        whole,
        routers=whole.routers - part.routers,
        late_ms=max(0, whole.late_ms - part.late_ms),
        shedding=max(0, whole.shedding - part.shedding),
        servers=[use for use in servers.values() if _is_telling(use)],
        accounts=list(accounts.values()),
    )


def _is_telling(load: _Total | ServerUse) -> bool:
    """Return whether there is anything to tell of a server."""
    return bool(load.running or load.sent_last_s or load.expected_ms or load.ended)


def _use(name: str, total: _Total) -> ServerUse:
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


def _add_rate(former: AccountUse | None, rate: AccountUse, sign: int) -> AccountUse:
    asked_per_s = former.asked_per_s if former else 0.0
    admitted_per_s = former.admitted_per_s if former else 0.0
    return AccountUse(
        rate.account,
        max(0.0, asked_per_s + sign * rate.asked_per_s),
        max(0.0, admitted_per_s + sign * rate.admitted_per_s),
    )

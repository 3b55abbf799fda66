"""The load that the other routers of the fleet have placed.

Each availability zone has a relay, the first of its routers by rendezvous hash that is heard.
Routers send their load to it; relays exchange the sums of their zones and tell each router of
their zone what all others have placed. No router counts anybody twice: it has one relay, and a
relay leaves the receiver's own part out.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, evolve

from cicadaledge.wire import AccountUse, LoadView, ServerUse, ViewScope

_VIEW_LIFE_MS = 1_000.0  # twenty views; a part that is older says nothing of today's load
_ACCOUNTS_LIFE_MS = 2_500.0  # account rates come with each tenth view


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


class FleetLoad:
    """Parts of the fleet's load that this router has heard."""

    def __init__(self) -> None:
        self._routers: dict[str, LoadPart] = {}
        self._zones: dict[str, LoadPart] = {}
        self._rest: tuple[str, LoadPart] | None = None
        self._is_relay = True
        self._relay = ""
        self._members = 1

    def set_roles(self, relay: str, *, is_relay: bool, members: int) -> None:
        """Note which router relays for this zone, and how many the fleet has by its list."""
        self._relay = relay
        self._is_relay = is_relay
        self._members = max(1, members)

    def take(self, peer: str, view: LoadView, now_ms: float) -> None:
        """Take over a view."""
        match view.scope:
            case ViewScope.SENDER:
                self._routers[peer] = _merge(self._routers.get(peer), view, now_ms)
                self._zones.pop(peer, None)
            case ViewScope.ZONE:
                self._zones[peer] = _merge(self._zones.get(peer), view, now_ms)
                self._routers.pop(peer, None)
            case ViewScope.ALL_BUT_RECEIVER:
                former = self._rest[1] if self._rest and self._rest[0] == peer else None
                if peer == self._relay:
                    self._rest = (peer, _merge(former, view, now_ms))

    def forget(self, peer: str) -> None:
        """Drop what a peer has sent."""
        self._routers.pop(peer, None)
        self._zones.pop(peer, None)
        if self._rest is not None and self._rest[0] == peer:
            self._rest = None

    def is_current(self, now_ms: float) -> bool:
        """Return whether the other routers' load is known."""
        if self._members == 1:
            return True
        return any(True for _ in self._parts(now_ms))

    def use_of(self, server: str, now_ms: float) -> ServerUse | None:
        """Return what the others have placed on a server."""
        total: ServerUse | None = None
        for part in self._parts(now_ms):
            use = part.servers.get(server)
            if use is not None:
                total = use if total is None else _add(total, use)
        return total

    def account_uses(self, now_ms: float) -> list[AccountUse]:
        """Return the others' rates; accounts may be named several times."""
        uses: list[AccountUse] = []
        for part in self._parts(now_ms):
            if now_ms - part.accounts_ms <= _ACCOUNTS_LIFE_MS:
                uses += part.accounts.values()
        return uses

    def routers(self, now_ms: float) -> int:
        """Return how many routers the fleet has, this one included."""
        heard = 1 + sum(part.routers for part in self._parts(now_ms))
        return heard if self.is_current(now_ms) else max(heard, self._members)

    def zone_view(self, own: LoadView, now_ms: float) -> LoadView:
        """Return the sum of this zone, for other relays."""
        return _sum(own, _live(self._routers.values(), now_ms), ViewScope.ZONE, now_ms)

    def rest_view(self, own: LoadView, receiver: str, now_ms: float) -> LoadView:
        """Return the sum of all routers but one of this zone, for that one."""
        parts = [part for peer, part in self._routers.items() if peer != receiver]
        parts += self._zones.values()
        return _sum(own, _live(parts, now_ms), ViewScope.ALL_BUT_RECEIVER, now_ms)

    def _parts(self, now_ms: float) -> list[LoadPart]:
        if self._is_relay:
            return _live([*self._routers.values(), *self._zones.values()], now_ms)
        return _live([self._rest[1]], now_ms) if self._rest else []


def _live(parts: Iterable[LoadPart], now_ms: float) -> list[LoadPart]:
    return [part for part in parts if now_ms - part.received_ms <= _VIEW_LIFE_MS]


def _merge(former: LoadPart | None, view: LoadView, now_ms: float) -> LoadPart:
    servers = {use.server: use for use in view.servers}
    if view.accounts or former is None:
        accounts = {use.account: use for use in view.accounts}
        return LoadPart(now_ms, view.routers, servers, accounts, now_ms)
    return LoadPart(now_ms, view.routers, servers, former.accounts, former.accounts_ms)


def _add(one: ServerUse, other: ServerUse) -> ServerUse:
    return ServerUse(
        one.server,
        one.running + other.running,
        one.unread_tokens + other.unread_tokens,
        one.context_tokens + other.context_tokens,
        one.sent_last_s + other.sent_last_s,
    )


def _sum(own: LoadView, parts: list[LoadPart], scope: ViewScope, now_ms: float) -> LoadView:
    servers = {use.server: use for use in own.servers}
    accounts = {use.account: use for use in own.accounts}
    routers = own.routers
    for part in parts:
        routers += part.routers
        for name, use in part.servers.items():
            servers[name] = _add(servers[name], use) if name in servers else use
        if own.accounts and now_ms - part.accounts_ms <= _ACCOUNTS_LIFE_MS:
            _add_accounts(accounts, part.accounts.values())
    return evolve(
        own,
        scope=int(scope),
        routers=routers,
        servers=list(servers.values()),
        accounts=list(accounts.values()),
    )


def _add_accounts(sums: dict[str, AccountUse], uses: Iterable[AccountUse]) -> None:
    for use in uses:
        former = sums.get(use.account)
        if former is not None:
            use = AccountUse(
                use.account,
                use.asked_per_s + former.asked_per_s,
                use.admitted_per_s + former.admitted_per_s,
            )
        sums[use.account] = use

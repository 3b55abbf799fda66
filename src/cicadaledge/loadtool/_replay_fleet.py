"""How the routers of a replay hear each other."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from attrs import frozen

from cicadaledge.loadtool._replay_day import ReplayDay
from cicadaledge.placing import AccountShares, FleetLoad, LoadTracker
from cicadaledge.wire import LoadView, ViewScope

_FULL_RATE_ROUTERS = 38  # as at the edge: a relay's work is bounded by fewer views
_TAIL_MS = 5_000.0  # views go on while the last requests end
_IN_ZONE_MS = 1.0
_ACROSS_ZONES_MS = 30.0

At = Callable[[float, Callable[[float], None]], None]


class Teller(Protocol):
    """A router that tells others what it has placed."""

    name: str
    fleet: FleetLoad
    load: LoadTracker
    shares: AccountShares


class Exchange(Protocol):
    """Passes views between routers."""

    def start(self) -> None:
        """Begin to do so, from the start of the day to its end."""


@frozen
class DirectExchange:
    """Every router tells every other one, all at the same time."""

    day: ReplayDay
    routers: Sequence[Teller]
    at: At

    def start(self) -> None:
        """Begin to pass views."""
        self._pass_on(0.0, 1)

    def _pass_on(self, now_ms: float, turn: int) -> None:
        if now_ms > self.day.seconds * 1000 + _TAIL_MS:
            return
        told = turn % self.day.accounts_every == 0
        views = [(one.name, own_view(one, now_ms, with_rates=told)) for one in self.routers]

        def deliver(at_ms: float) -> None:
            for router in self.routers:
                for name, view in views:
                    if name != router.name:
                        router.fleet.apply_view(name, view, at_ms)

        self.at(now_ms + self.day.view_delay_ms, deliver)
        self.at(now_ms + self.day.view_ms, lambda at_ms: self._pass_on(at_ms, turn + 1))


class RelayExchange:
    """Routers tell the relay of their zone, and relays each other, each at times of its own."""

    def __init__(self, day: ReplayDay, routers: Sequence[Teller], at: At, seed: int) -> None:
        self._day = day
        self._at = at
        self._chance = random.Random(seed)
        self._turn_ms = day.view_ms * max(1.0, day.routers / _FULL_RATE_ROUTERS)
        self._zones = [list(routers[place :: day.zones]) for place in range(day.zones)]
        self._relays = [self._chance.choice(zone) for zone in self._zones]
        for zone, relay in zip(self._zones, self._relays, strict=True):
            for router in zone:
                router.fleet.set_roles(
                    relay.name,
                    is_relay=router is relay,
                    members=day.routers,
                    interval_ms=self._turn_ms,
                )

    def start(self) -> None:
        """Begin to pass views."""
        for zone, relay in zip(self._zones, self._relays, strict=True):
            for router in zone:
                first_ms = self._chance.random() * self._turn_ms
                if router is relay:
                    self._at(first_ms, self._relayed(relay, zone, 1))
                else:
                    self._at(first_ms, self._told(router, relay, 1))

    def _told(self, router: Teller, relay: Teller, turn: int) -> Callable[[float], None]:
        def tell(now_ms: float) -> None:
            view = own_view(router, now_ms, with_rates=self._has_rates(turn))
            self._send(router, relay, view, now_ms + _IN_ZONE_MS)
            self._again(now_ms, self._told(router, relay, turn + 1))

        return tell

    def _relayed(self, relay: Teller, zone: list[Teller], turn: int) -> Callable[[float], None]:
        def tell(now_ms: float) -> None:
            own = own_view(relay, now_ms, with_rates=self._has_rates(turn))
            summed = relay.fleet.zone_view(own, now_ms)
            for other in self._relays:
                if other is not relay:
                    self._send(relay, other, summed, now_ms + _ACROSS_ZONES_MS)
            named = {one.name: one for one in zone if one is not relay}
            for name, rest in relay.fleet.views_without_receiver(own, named, now_ms):
                self._send(relay, named[name], rest, now_ms + _IN_ZONE_MS)
            self._again(now_ms, self._relayed(relay, zone, turn + 1))

        return tell

    def _has_rates(self, turn: int) -> bool:
        return turn % self._day.accounts_every == 0

    def _send(self, sender: Teller, receiver: Teller, view: LoadView, at_ms: float) -> None:
        self._at(at_ms, lambda now_ms: receiver.fleet.apply_view(sender.name, view, now_ms))

    def _again(self, now_ms: float, turn: Callable[[float], None]) -> None:
        if now_ms <= self._day.seconds * 1000 + _TAIL_MS:
            self._at(now_ms + self._turn_ms, turn)


def own_view(router: Teller, now_ms: float, *, with_rates: bool) -> LoadView:
    """Return what a router tells of itself."""
    return LoadView(
        int(now_ms),
        int(ViewScope.SENDER),
        1,
        False,
        router.load.own_uses(now_ms),
        router.shares.own_rates(now_ms) if with_rates else [],
        has_rates=with_rates,
    )

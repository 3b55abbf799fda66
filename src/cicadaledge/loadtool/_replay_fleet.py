"""Exchange of load views between the routers of a replay."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from attrs import frozen

from cicadaledge.loadtool._replay_day import ReplayDay
from cicadaledge.placing import AccountShares, FleetLoad, LoadTracker
from cicadaledge.wire import LoadView, ViewScope

# Larger fleets exchange views less often, to bound the load of a relay. The value is the same as in
# `cicadaledge.edge._peers`.
_FULL_RATE_ROUTERS = 38
# Routers exchange views for this long after the last arrival, while the last requests end.
_DRAIN_MS = 5_000.0
_IN_ZONE_LATENCY_MS = 1.0
_CROSS_ZONE_LATENCY_MS = 30.0

Schedule = Callable[[float, Callable[[float], None]], None]


class ViewSender(Protocol):
    """A router that sends load views to others."""

    name: str
    fleet: FleetLoad
    load: LoadTracker
    shares: AccountShares


class ViewExchange(Protocol):
    """Exchanges load views between routers."""

    def start(self) -> None:
        """Start the exchange; it ends after the day."""


@frozen
class DirectViewExchange:
    """All routers send their views to all others at the same time."""

    day: ReplayDay
    routers: Sequence[ViewSender]
    schedule: Schedule

    def start(self) -> None:
        """Start the exchange."""
        self._exchange(0.0, 1)

    def _exchange(self, now_ms: float, round_number: int) -> None:
        if now_ms > self.day.seconds * 1000 + _DRAIN_MS:
            return
        include_rates = round_number % self.day.rates_every_views == 0
        views = [
            (one.name, own_view(one, now_ms, with_rates=include_rates)) for one in self.routers
        ]

        def deliver(at_ms: float) -> None:
            for router in self.routers:
                for name, view in views:
                    if name != router.name:
                        router.fleet.apply_view(name, view, at_ms)

        self.schedule(now_ms + self.day.view_delay_ms, deliver)
        self.schedule(
            now_ms + self.day.view_interval_ms,
            lambda at_ms: self._exchange(at_ms, round_number + 1),
        )


class RelayViewExchange:
    """Routers send views to the relay of their zone, and relays send sums to each other.

    Each router starts its interval at a random time.
    """

    def __init__(
        self, day: ReplayDay, routers: Sequence[ViewSender], schedule: Schedule, seed: int
    ) -> None:
        self._day = day
        self._schedule = schedule
        self._random = random.Random(seed)
        self._interval_ms = day.view_interval_ms * max(1.0, day.routers / _FULL_RATE_ROUTERS)
        self._zones = [list(routers[index :: day.zones]) for index in range(day.zones)]
        self._relays = [self._random.choice(zone) for zone in self._zones]
        for zone, relay in zip(self._zones, self._relays, strict=True):
            for router in zone:
                router.fleet.set_roles(
                    relay.name,
                    is_relay=router is relay,
                    members=day.routers,
                    interval_ms=self._interval_ms,
                )

    def start(self) -> None:
        """Start the exchange."""
        for zone, relay in zip(self._zones, self._relays, strict=True):
            for router in zone:
                first_ms = self._random.random() * self._interval_ms
                if router is relay:
                    self._schedule(first_ms, self._relay_round(relay, zone, 1))
                else:
                    self._schedule(first_ms, self._sender_round(router, relay, 1))

    def _sender_round(
        self, router: ViewSender, relay: ViewSender, round_number: int
    ) -> Callable[[float], None]:
        def send_views(now_ms: float) -> None:
            view = own_view(router, now_ms, with_rates=self._has_rates(round_number))
            self._send(router, relay, view, now_ms + _IN_ZONE_LATENCY_MS)
            self._schedule_next(now_ms, self._sender_round(router, relay, round_number + 1))

        return send_views

    def _relay_round(
        self, relay: ViewSender, zone: list[ViewSender], round_number: int
    ) -> Callable[[float], None]:
        def send_views(now_ms: float) -> None:
            own = own_view(relay, now_ms, with_rates=self._has_rates(round_number))
            summed = relay.fleet.zone_view(own, now_ms)
            for other in self._relays:
                if other is not relay:
                    self._send(relay, other, summed, now_ms + _CROSS_ZONE_LATENCY_MS)
            named = {one.name: one for one in zone if one is not relay}
            for name, rest in relay.fleet.views_without_receiver(own, named, now_ms):
                self._send(relay, named[name], rest, now_ms + _IN_ZONE_LATENCY_MS)
            self._schedule_next(now_ms, self._relay_round(relay, zone, round_number + 1))

        return send_views

    def _has_rates(self, round_number: int) -> bool:
        return round_number % self._day.rates_every_views == 0

    def _send(self, sender: ViewSender, receiver: ViewSender, view: LoadView, at_ms: float) -> None:
        self._schedule(at_ms, lambda now_ms: receiver.fleet.apply_view(sender.name, view, now_ms))

    def _schedule_next(self, now_ms: float, action: Callable[[float], None]) -> None:
        if now_ms <= self._day.seconds * 1000 + _DRAIN_MS:
            self._schedule(now_ms + self._interval_ms, action)


def own_view(router: ViewSender, now_ms: float, *, with_rates: bool) -> LoadView:
    """Return the load view of a router's own requests."""
    return LoadView(
        int(now_ms),
        int(ViewScope.SENDER),
        1,
        False,
        router.load.own_uses(now_ms),
        router.shares.own_rates(now_ms) if with_rates else [],
        begun_per_s=round(router.load.own_begun_per_s(now_ms)),
        has_rates=with_rates,
        speeds=router.load.speed_reports.own_reports(now_ms),
    )

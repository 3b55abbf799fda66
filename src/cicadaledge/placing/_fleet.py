"""The load that the other routers of the fleet have placed on backend servers.

Each availability zone has a relay: of its reachable routers, the first by rendezvous hash. Routers
send views of their load to it. Relays exchange the sums of their zones, and send each router of
their zone the sum of all other routers. No load is counted twice: a router uses the views of one
relay only, and the relay subtracts the receiver's own load.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Iterator

from attrs import frozen

from cicadaledge.placing._load_sums import (
    LoadSum,
    ServerSum,
    add_speeds,
    subtract_load,
    sum_view,
)
from cicadaledge.placing._server_stats import FirstTokenWaits, ServerOutcomes, ServerTotals
from cicadaledge.wire import AccountUse, DepartingServer, LoadView, SpeedReport, ViewScope

# A load is at most this many view intervals old when it is used: it waits up to one interval at
# the router, one at each of two relays, and spends one in transit.
_MAX_STALE_INTERVALS = 4.0
# Routers of the largest supported fleet. While a router does not know the fleet's size, it takes no
# more of a shared limit than it would have in such a fleet.
_LARGEST_FLEET = 400
_HASH_RANGE = 2**32


@frozen
class RouterTotals:
    """State of several routers, summed.

    Args:
        late_ms: Sum of the delays of their event loops.
        shedding: Number of routers that shed load and therefore get no new callers.
    """

    routers: int = 0
    late_ms: int = 0
    shedding: int = 0

    @property
    def mean_late_ms(self) -> float:
        """Mean delay of the routers' event loops."""
        return self.late_ms / max(1, self.routers)


class FleetLoad:
    """Load of the other routers, as far as their views have been received.

    Args:
        router: Name of this router.
    """

    def __init__(self, router: str = "") -> None:
        self._router = router
        self._interval_ms = 0.0
        self._own_zone = LoadSum()
        self._other_zones = LoadSum()
        self._other_routers = LoadSum()
        self._is_relay = True
        self._relay = ""
        self._members: int | None = 1
        self._expired_ms = -math.inf

    def set_roles(
        self, relay: str, *, is_relay: bool, members: int | None, interval_ms: float = 0.0
    ) -> None:
        """Set the relay of this zone.

        Args:
            relay: Name of the relay.
            is_relay: Whether this router is the relay.
            members: Number of routers in the fleet's member list; None until the list is known.
            interval_ms: Interval between two views.
        """
        self._interval_ms = interval_ms
        self._relay = relay
        self._is_relay = is_relay
        self._members = None if members is None else max(1, members)

    def apply_view(self, peer: str, view: LoadView, now_ms: float) -> None:
        """Replace a peer's load by that of a view."""
        match view.scope:
            case ViewScope.SENDER:
                self._own_zone.update(peer, view, now_ms)
                self._other_zones.remove(peer)
            case ViewScope.ZONE:
                self._other_zones.update(peer, view, now_ms)
                self._own_zone.remove(peer)
            case ViewScope.ALL_BUT_RECEIVER:
                if peer == self._relay:
                    for previous in self._other_routers.parts.keys() - {peer}:
                        self._other_routers.remove(previous)
                    self._other_routers.update(peer, view, now_ms)

    def remove_peer(self, peer: str) -> None:
        """Remove the load that a peer has reported."""
        for load_sum in (self._own_zone, self._other_zones, self._other_routers):
            load_sum.remove(peer)

    def is_current(self, now_ms: float) -> bool:
        """Return whether this router has a recent view of the others' load, or is known to be alone."""
        return self._members == 1 or any(load_sum.parts for load_sum in self._active_sums(now_ms))

    def growth_allowance(self, rate_per_s: float) -> float:
        """Return how much a rate may have grown since the views that report it were made."""
        return rate_per_s * self.max_view_age_ms / 1000

    @property
    def max_view_age_ms(self) -> float:
        """Largest age of the load that other routers report, when it is used."""
        return _MAX_STALE_INTERVALS * self._interval_ms

    def is_selected_for(self, server: str, count: float) -> bool:
        """Return whether this router is among about *count* routers selected for a server.

        All routers agree on the selection without communication, as they use the same hash.
        """
        text = f"{server}/{self._router}".encode()
        hashed = int.from_bytes(hashlib.blake2b(text, digest_size=4).digest(), "big")
        return hashed * self._possible_members() < count * _HASH_RANGE

    def server_totals(
        self, server: str, now_ms: float, own: ServerTotals = ServerTotals()
    ) -> ServerTotals:
        """Return the others' load on a server plus *own*."""
        running, unread_tokens = own.running, own.unread_tokens
        context_tokens, sent_last_s = own.context_tokens, own.sent_last_s
        for total in self._server_sums(server, now_ms):
            running += total.running
            unread_tokens += total.unread_tokens
            context_tokens += total.context_tokens
            sent_last_s += total.sent_last_s
        return ServerTotals(running, unread_tokens, context_tokens, sent_last_s)

    def server_waits(self, server: str, now_ms: float, own: FirstTokenWaits) -> FirstTokenWaits:
        """Return the first-token times of a server at the others plus *own*."""
        waited_ms, expected_ms = own.waited_ms, own.expected_ms
        for total in self._server_sums(server, now_ms):
            waited_ms += total.waited_ms
            expected_ms += total.expected_ms
        return FirstTokenWaits(waited_ms, expected_ms)

    def server_outcomes(self, server: str, now_ms: float, own: ServerOutcomes) -> ServerOutcomes:
        """Return the outcomes of a server's requests at the others plus *own*."""
        ended, failed = own.ended, own.failed
        for total in self._server_sums(server, now_ms):
            ended += total.ended
            failed += total.failed
        return ServerOutcomes(ended, failed)

    def speed_report(self, server: str, now_ms: float) -> SpeedReport:
        """Return the sum of the others' newest reports of a server's speed."""
        speeds: dict[str, SpeedReport] = {}
        for load_sum in self._active_sums(now_ms):
            if server in load_sum.speeds:
                add_speeds(speeds, (load_sum.speeds[server],), 1)
        return speeds.get(server) or SpeedReport(server)

    def account_rates(self, now_ms: float) -> list[AccountUse]:
        """Return the others' account rates; an account may occur several times."""
        return [
            use for load_sum in self._active_sums(now_ms) for use in load_sum.account_rates(now_ms)
        ]

    def router_count(self, now_ms: float) -> int:
        """Return the number of routers that report load, this one included.

        Without a recent view it is at least the number of listed members, as far as it is known.
        """
        reporting = 1 + sum(load_sum.routers for load_sum in self._active_sums(now_ms))
        return reporting if self.is_current(now_ms) else max(reporting, self._members or 1)

    def router_totals(self, now_ms: float) -> RouterTotals:
        """Return the summed state of the other routers with a recent view."""
        sums = self._active_sums(now_ms)
        return RouterTotals(
            sum(load_sum.routers for load_sum in sums),
            sum(load_sum.late_ms for load_sum in sums),
            sum(load_sum.shedding for load_sum in sums),
        )

    def begun_per_s(self, now_ms: float) -> int:
        """Return the rate, in tokens per second, of the others' requests that engines begin."""
        return sum(load_sum.begun_per_s for load_sum in self._active_sums(now_ms))

    def departing(self, now_ms: float) -> set[DepartingServer]:
        """Return the servers that have told another router that they are shutting down."""
        servers: set[DepartingServer] = set()
        return servers.union(
            *(
                reported
                for load_sum in self._active_sums(now_ms)
                for reported in load_sum.departing.values()
            )
        )

    def max_router_count(self, now_ms: float) -> int:
        """Return the largest number of routers that the fleet may have.

        This is the number of reporting routers or of listed members, whichever is larger, or that of
        the largest supported fleet while the list is not known.
        """
        return max(self.router_count(now_ms), self._possible_members())

    def zone_view(self, own: LoadView, now_ms: float) -> LoadView:
        """Return the load of this zone, for other relays."""
        self._own_zone.expire(now_ms)
        return sum_view(own, [self._own_zone], ViewScope.ZONE, now_ms)

    def views_without_receiver(
        self, own: LoadView, receivers: Iterable[str], now_ms: float
    ) -> Iterator[tuple[str, LoadView]]:
        """Yield for each receiver in this zone the load of all other routers."""
        for load_sum in (self._own_zone, self._other_zones):
            load_sum.expire(now_ms)
        summed = sum_view(
            own, [self._own_zone, self._other_zones], ViewScope.ALL_BUT_RECEIVER, now_ms
        )
        for receiver in receivers:
            part = self._own_zone.parts.get(receiver)
            yield receiver, summed if part is None else subtract_load(summed, part, now_ms)

    def _possible_members(self) -> int:
        return _LARGEST_FLEET if self._members is None else self._members

    def _server_sums(self, server: str, now_ms: float) -> list[ServerSum]:
        """Return the sums that contain load of a server."""
        return [
            load_sum.servers[server]
            for load_sum in self._active_sums(now_ms)
            if server in load_sum.servers
        ]

    def _active_sums(self, now_ms: float) -> tuple[LoadSum, ...]:
        sums = (self._own_zone, self._other_zones) if self._is_relay else (self._other_routers,)
        if now_ms != self._expired_ms:
            for load_sum in (self._own_zone, self._other_zones, self._other_routers):
                load_sum.expire(now_ms)
            self._expired_ms = now_ms
        return sums

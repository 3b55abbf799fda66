"""Discovers the other routers and exchanges load views with them."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from collections.abc import Callable

from attrs import define, evolve

from cicadaledge.clock import clock_ms
from cicadaledge.edge._load_shedder import LoadShedder
from cicadaledge.edge._rollout_exchange import FleetRoles
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.logs import PartLog
from cicadaledge.membership import rank
from cicadaledge.placing import AccountShares, FleetLoad, LoadTracker
from cicadaledge.routing import ServerDirectory
from cicadaledge.store import (
    Change,
    FleetMember,
    MemberRegistry,
    MemberSeen,
    StoreAvailability,
    StoreError,
    StoreRelay,
)
from cicadaledge.wire import DepartingServer, LoadView, PeerLinks, RolloutView, StoreNews, ViewScope

_FLEET_KEY = "cicadaledge-edge"
# A failed write of this router's entry is retried after this delay. A slow retry is enough, as only
# routers that start need the entry; the store may be out of reach for long.
_RETRY_S = 1.0
# Load views contain account rates at this interval. Rates are forwarded over up to three hops,
# which then take less than half a second.
_RATES_INTERVAL_MS = 150.0
# Each zone has this many relay candidates, so that two may fail at the same time.
_CANDIDATES = 3
# If no link is established within this time, the router with the greater name dials, too. A connect
# and handshake across regions takes a tenth of it.
_DIAL_FALLBACK_MS = 1_000.0
# A router without a link for longer than this is absent, and one more router of its zone becomes a
# relay candidate. A restarted process is linked again earlier.
_ABSENT_MS = 2_000.0
# Fleets with more routers than this send load views less often, to bound the load of a relay.
_FULL_RATE_ROUTERS = 38
_log = PartLog("peers")


@define
class _KnownMember:
    member: FleetMember
    changed_ms: float


class PeerKeeper:
    """Maintains links to peer routers and sends load views; the sink of the members topic.

    One router of each zone is its relay: it reads the store for the zone and exchanges load views
    with the relays of other zones.

    Args:
        registry: Where router processes announce themselves.
        fleet: Receives the load views of the peers.

    Attributes:
        links: Links to the peers.
        store_relay: Relays store pages within the zone.
        leaving: Whether this router is shutting down.
        knows_list: Whether the list of routers is known to be complete.
        on_rollout_view: Called with the counts of rollouts that peers send.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        registry: MemberRegistry,
        fleet: FleetLoad,
        load: LoadTracker,
        shares: AccountShares,
        load_shedder: LoadShedder,
        directory: ServerDirectory,
        availability: StoreAvailability,
    ) -> None:
        self.leaving = False
        self.knows_list = False
        self.on_rollout_view: Callable[[str, RolloutView], None] | None = None
        self._settings = settings
        self._registry = registry
        self._fleet = fleet
        self._load = load
        self._shares = shares
        self._load_shedder = load_shedder
        self._directory = directory
        self._known: dict[str, _KnownMember] = {}
        self._last_received_ms: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._relays: dict[str, str] = {}
        self._ranked: dict[str, list[str]] = {}
        self._missing_ms: dict[str, float] = {}
        self._announced_ms = math.inf
        self._announce_again = asyncio.Event()
        self._reads_copy_until_ms = -math.inf
        self._self = FleetMember(
            settings.router,
            settings.peers.host,
            settings.peers.port,
            settings.zone,
            time.time_ns() // 1_000_000,
        )
        self._rank_zones()
        self._fleet.set_roles(settings.router, is_relay=True, members=None)
        self.links = PeerLinks(
            settings.router,
            self._self.started_ms,
            _FLEET_KEY,
            self._on_message,
            self._on_up,
            self._on_down,
        )
        self.store_relay = StoreRelay(self.links.send, availability)

    async def listen(self) -> None:
        """Accept links of peers."""
        await self.links.listen(self._settings.peers.host, self._settings.peers.port)

    async def keep_announced(self) -> None:
        """Write this process's entry to the members topic periodically, forever."""
        while True:
            self._announce_again.clear()
            try:
                await self._registry.announce(self._self)
            except StoreError as error:
                _log.info(
                    "Router could not write its entry to the store and will retry.",
                    error=str(error),
                )
                await asyncio.sleep(_RETRY_S)
                continue
            self._announced_ms = min(self._announced_ms, clock_ms())
            self._self = evolve(self._self, announced=self._self.announced + 1)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.timing.announce_ms / 1000):
                    await self._announce_again.wait()

    async def keep_views(self) -> None:
        """Send load views and maintain the links, forever."""
        round_number = 0
        timing = self._settings.timing
        idle_ms = clock_ms()
        while True:
            round_number += 1
            self._choose_relays()
            views_per_rates = max(1, round(_RATES_INTERVAL_MS / self._view_interval_ms()))
            receivers = self._send_views(with_rates=round_number % views_per_rates == 0)
            now_ms = clock_ms()
            if now_ms - idle_ms >= timing.idle_view_ms:
                idle_ms = now_ms
                self._send_idle_views(receivers)
                self._drop_silent()
                self._dial(now_ms)
            await asyncio.sleep(self._view_interval_ms() / 1000)

    def _view_interval_ms(self) -> float:
        """Return the interval between load views."""
        routers = self._fleet.router_count(clock_ms())
        return self._settings.timing.view_ms * max(1.0, routers / _FULL_RATE_ROUTERS)

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply an entry of the members topic."""
        if not isinstance(change, MemberSeen):
            return
        member = change.member
        if member.router == self._settings.router and member.started_ms != self._self.started_ms:
            self._learn_list("an earlier process of this router is listed")
        known = self._known.get(member.router)
        if known is not None and now_ms < self._reads_copy_until_ms and _is_older(member, known):
            return
        if known is None or known.member != member:
            self._known[member.router] = _KnownMember(member, now_ms)

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Do nothing: entries are not removed but expire by age."""

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Drop routers whose entries have expired, and dial the others."""
        if proof_ms - self._announced_ms >= self._settings.timing.announcement_ms:
            self._learn_list("it was read after this router's announcement")
        lifetime_ms = self._settings.timing.member_life_ms
        for name, known in list(self._known.items()):
            if now_ms - known.changed_ms > lifetime_ms and name not in self._last_received_ms:
                del self._known[name]
        self._rank_zones()
        self._choose_relays()
        self._dial(now_ms)

    def _learn_list(self, reason: str) -> None:
        """Treat the list of routers as complete from now on.

        Until then other routers may be missing from it, as they have just started, too.
        """
        if not self.knows_list:
            self.knows_list = True
            _log.info("List of routers is known.", routers=len(self._known), reason=reason)

    def on_store_recovered(self, outage_ms: float, now_ms: float) -> None:
        """Do nothing: entries do not expire during an outage."""

    def on_epoch_changed(self, now_ms: float) -> None:
        """Write this process's entry again, and ignore older entries than the known ones.

        A list of routers that is not yet known to be complete is so only after the routers that
        started before the restore have announced themselves again.
        """
        timing = self._settings.timing
        self._reads_copy_until_ms = now_ms + timing.epoch_settle_ms
        if not self.knows_list:
            self._announced_ms = math.inf
        delay_s = random.uniform(0.0, timing.rewrite_spread_ms) / 1000
        asyncio.get_running_loop().call_later(delay_s, self._announce_again.set)

    def _rank_zones(self) -> None:
        zones: dict[str, set[str]] = {zone: set() for zone in self._settings.regions_by_zone}
        for name, known in self._known.items():
            zones.setdefault(known.member.zone, set()).add(name)
        zones[self._settings.zone].add(self._settings.router)
        self._ranked = {zone: rank(f"relay/{zone}", names) for zone, names in zones.items()}

    def _dial(self, now_ms: float) -> None:
        """Dial the wanted members that are not linked; established links stay.

        Of two routers that want a link, the one with the lesser name dials. The other one dials
        only if no link is established in time, as its peer may not want the link.
        """
        missing = self._wanted() - set(self.links.peers())
        self._missing_ms = {name: self._missing_ms.get(name, now_ms) for name in missing}
        wanted = set()
        for name, since_ms in self._missing_ms.items():
            if name > self._settings.router or now_ms - since_ms > _DIAL_FALLBACK_MS:
                member = self._known[name].member
                wanted.add((member.host, member.peer_port))
        for address in wanted - self.links.dialed():
            self.links.dial(*address)
        for address in self.links.dialed() - wanted:
            self.links.stop_dialing(*address)

    def _wanted(self) -> set[str]:
        """Return the routers that this one maintains links to.

        All routers of a zone are linked to its relay candidates, and the candidates of all zones
        are linked to each other.
        """
        settings = self._settings
        wanted = set(self._candidates(settings.zone))
        if settings.router in wanted:
            wanted |= set(self._ranked[settings.zone])
            for zone in self._ranked:
                wanted |= set(self._candidates(zone))
        return wanted & self._known.keys() - {settings.router}

    def _candidates(self, zone: str) -> list[str]:
        """Return the relay candidates of a zone; absent routers do not count towards their limit."""
        present = 0
        candidates = []
        now_ms = clock_ms()
        for name in self._ranked.get(zone, ()):
            candidates.append(name)
            present += now_ms - self._missing_ms.get(name, now_ms) <= _ABSENT_MS
            if present >= _CANDIDATES:
                break
        return candidates

    def _choose_relays(self) -> None:
        """Choose as relay of each zone its first-ranked router that is alive and not leaving."""
        now_ms = clock_ms()
        settings = self._settings
        relays = {}
        for zone in settings.regions_by_zone:
            for name in self._ranked.get(zone, ()):
                if name == settings.router or self._is_alive(name, now_ms):
                    relays[zone] = name
                    break
        relays.setdefault(settings.zone, settings.router)
        if relays != self._relays:
            _log.info("Relays of the zones have changed.", relays=relays)
            self._relays = relays
        is_relay = relays[settings.zone] == settings.router
        members = len(self._known.keys() | {settings.router}) if self.knows_list else None
        self._fleet.set_roles(
            relays[settings.zone],
            is_relay=is_relay,
            members=members,
            interval_ms=self._view_interval_ms(),
        )
        is_candidate = settings.router in self._candidates(settings.zone)
        self.store_relay.set_role(self._zone_peers(), is_relay=is_relay, is_candidate=is_candidate)

    def _is_alive(self, name: str, now_ms: float) -> bool:
        limit_ms = self._settings.timing.relay_silence_ms
        received_ms = self._last_received_ms.get(name)
        if received_ms is None or name in self._leaving:
            return False
        return now_ms - received_ms < limit_ms or self.links.is_readable(name)

    def _send_views(self, *, with_rates: bool) -> set[str]:
        """Send load views to the relays or to the zone; return the receivers."""
        now_ms = clock_ms()
        own_view = self._own_view(now_ms, with_rates=with_rates)
        relay = self._relays[self._settings.zone]
        if relay != self._settings.router:
            self.links.send(relay, own_view)
            return {relay}
        zone_view = self._fleet.zone_view(own_view, now_ms)
        for zone, name in self._relays.items():
            if zone != self._settings.zone:
                self.links.send(name, zone_view)
        peers = self._zone_peers()
        for peer, view in self._fleet.views_without_receiver(own_view, peers, now_ms):
            self.links.send(peer, view)
        return {*peers, *self._relays.values()}

    def roles(self) -> FleetRoles:
        """Return the roles in the exchange of counts of rollouts."""
        settings = self._settings
        return FleetRoles(
            settings.router, self._self.started_ms, self._relays, settings.zone, self._zone_peers()
        )

    def send_rollout(self, peer: str, view: RolloutView) -> None:
        """Send counts of a rollout to a linked router."""
        self.links.send(peer, view)

    def _zone_peers(self) -> list[str]:
        zone = self._settings.zone
        linked = self.links.peers()
        return [name for name in linked if name in self._known and self._zone_of(name) == zone]

    def _zone_of(self, name: str) -> str:
        return self._known[name].member.zone

    def _own_view(self, now_ms: float, *, with_rates: bool) -> LoadView:
        return LoadView(
            sent_ms=int(now_ms),
            scope=int(ViewScope.SENDER),
            routers=1,
            leaving=self.leaving,
            servers=self._load.own_uses(now_ms),
            accounts=self._shares.own_rates(now_ms) if with_rates else [],
            late_ms=round(self._load_shedder.late_ms),
            shedding=int(self._load_shedder.is_active),
            begun_per_s=round(self._load.own_begun_per_s(now_ms)),
            departing=[DepartingServer(*item) for item in self._directory.leaving().items()],
            has_rates=with_rates,
            speeds=self._load.speed_reports.own_reports(now_ms),
        )

    def _send_idle_views(self, receivers: set[str]) -> None:
        """Send a heartbeat to the peers that get no load view."""
        view = LoadView(int(clock_ms()), int(ViewScope.NOBODY), 0, self.leaving, [], [])
        for peer in self.links.peers():
            if peer not in receivers:
                self.links.send(peer, view)

    def _drop_silent(self) -> None:
        now_ms = clock_ms()
        limit_ms = self._settings.timing.peer_silence_ms
        for peer in self.links.peers():
            silent_ms = now_ms - self._last_received_ms.get(peer, now_ms)
            if silent_ms > limit_ms and not self.links.is_readable(peer):
                _log.warning(
                    "Peer was silent for longer than peer_silence_ms; its link is dropped.",
                    peer=peer,
                )
                self.links.drop(peer)

    def _on_message(self, peer: str, message: object) -> None:
        now_ms = clock_ms()
        self._last_received_ms[peer] = now_ms
        if isinstance(message, StoreNews):
            self.store_relay.receive(message)
        if isinstance(message, RolloutView) and self.on_rollout_view is not None:
            self.on_rollout_view(peer, message)
        if not isinstance(message, LoadView):
            return
        self.store_relay.record_timestamp(peer, now_ms, message.sent_ms)
        if message.leaving:
            self._leaving.add(peer)
        else:
            self._leaving.discard(peer)
        self._fleet.apply_view(peer, message, now_ms)

    def _on_up(self, peer: str, incarnation: int) -> None:
        self._last_received_ms[peer] = clock_ms()
        self._leaving.discard(peer)
        _log.info("Peer is linked.", peer=peer, incarnation=incarnation)

    def _on_down(self, peer: str) -> None:
        self._last_received_ms.pop(peer, None)
        self._fleet.remove_peer(peer)
        self.store_relay.forget_peer(peer)
        _log.info("Link to the peer has ended; its load view is discarded.", peer=peer)


def _is_older(member: FleetMember, known: _KnownMember) -> bool:
    """Return whether an entry was written before the known one of its router."""
    newest = known.member
    return (member.started_ms, member.announced) < (newest.started_ms, newest.announced)

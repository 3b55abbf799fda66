"""Finds the other routers and shares the fleet's load with them."""

from __future__ import annotations

import asyncio
import time

from attrs import define, evolve

from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._source import FleetMember, MemberRegistry, StoreError
from cicadaledge.logs import PartLog
from cicadaledge.membership import rank
from cicadaledge.placing import AccountShares, FleetLoad, LoadBook
from cicadaledge.wire import LoadView, PeerLinks, ViewScope

_FLEET_KEY = "cicadaledge-edge"
_RETRY_S = 0.3  # the store may just be starting, too
_EAGER_READS = 8  # readings of the member list in quick succession after the start
_ACCOUNTS_EVERY = 10  # views with account rates: rates change within seconds, loads at once
_FAR_LINKS = 3  # routers of another zone that are dialed; the relay is among them
_log = PartLog("peers")


@define
class _Known:
    member: FleetMember
    changed_ms: float


class PeerKeeper:
    """Keeps links to the routers of the own zone and to the first ones of the others.

    Args:
        registry: Where processes find each other.
        fleet: Takes the views of the others.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        registry: MemberRegistry,
        fleet: FleetLoad,
        load: LoadBook,
        shares: AccountShares,
    ) -> None:
        self.leaving = False
        self._settings = settings
        self._registry = registry
        self._fleet = fleet
        self._load = load
        self._shares = shares
        self._known: dict[str, _Known] = {}
        self._heard_ms: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._relays: dict[str, str] = {}
        self._self = FleetMember(
            settings.router,
            settings.peers.host,
            settings.peers.port,
            settings.zone,
            time.time_ns() // 1_000_000,
        )
        self.links = PeerLinks(
            settings.router,
            self._self.started_ms,
            _FLEET_KEY,
            self._on_message,
            self._on_up,
            self._on_down,
        )

    async def listen(self) -> None:
        """Accept links."""
        await self.links.listen(self._settings.peers.host, self._settings.peers.port)

    async def keep_announced(self) -> None:
        """Write this process's entry again and again."""
        while True:
            try:
                await self._registry.announce(self._self)
            except StoreError as error:
                _log.info("Router could not be announced.", error=str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            self._self = evolve(self._self, announced=self._self.announced + 1)
            await asyncio.sleep(self._settings.timing.announce_ms / 1000)

    async def keep_members(self) -> None:
        """Read who else is there and dial them, for ever."""
        reads = 0
        while True:
            try:
                self._note_members(await self._registry.members())
            except (StoreError, ValueError, KeyError, TypeError) as error:
                _log.info("Members could not be read.", error=str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            reads += 1
            eager = reads < _EAGER_READS
            await asyncio.sleep(_RETRY_S if eager else self._settings.timing.member_poll_ms / 1000)

    async def keep_views(self) -> None:
        """Send load views, for ever."""
        turn = 0
        timing = self._settings.timing
        idle_every = max(1, timing.idle_view_ms // timing.view_ms)
        while True:
            turn += 1
            self._choose_relays()
            self._send_views(with_accounts=turn % _ACCOUNTS_EVERY == 0)
            if turn % idle_every == 0:
                self._send_idle_views()
                self._drop_silent()
                self._dial()
            await asyncio.sleep(timing.view_ms / 1000)

    def _note_members(self, members: list[FleetMember]) -> None:
        now_ms = clock_ms()
        for member in members:
            known = self._known.get(member.router)
            if known is None or known.member != member:
                self._known[member.router] = _Known(member, now_ms)
        life_ms = self._settings.timing.member_life_ms
        for name, known in list(self._known.items()):
            if now_ms - known.changed_ms > life_ms and name not in self._heard_ms:
                del self._known[name]
        self._dial()

    def _dial(self) -> None:
        """Dial the wanted members that are not linked; links that are up stay."""
        linked = set(self.links.peers())
        wanted = {
            (one.host, one.peer_port) for one in self._wanted_members() if one.router not in linked
        }
        for address in wanted - self.links.dialed():
            self.links.dial(*address)
        for address in self.links.dialed() - wanted:
            self.links.undial(*address)

    def _wanted_members(self) -> list[FleetMember]:
        """Return whom this router dials: of two that want each other, the lesser name dials."""
        own = self._settings
        is_far_linked = own.router in self._ranked(own.zone)[:_FAR_LINKS]
        names: list[str] = []
        for zone in own.regions_by_zone:
            ranked = self._ranked(zone)
            if zone == own.zone:
                names += [name for name in ranked if name > own.router]
            else:
                far = ranked[:_FAR_LINKS]
                names += [name for name in far if name > own.router or not is_far_linked]
        return [self._known[name].member for name in names]

    def _ranked(self, zone: str) -> list[str]:
        names = {name for name, known in self._known.items() if known.member.zone == zone}
        if zone == self._settings.zone:
            names.add(self._settings.router)
        return rank(f"relay/{zone}", names)

    def _choose_relays(self) -> None:
        """Name the first router of each zone that is heard and not leaving."""
        now_ms = clock_ms()
        own = self._settings
        relays = {}
        for zone in own.regions_by_zone:
            for name in self._ranked(zone):
                if name == own.router or self._is_heard(name, now_ms):
                    relays[zone] = name
                    break
        relays.setdefault(own.zone, own.router)
        if relays != self._relays:
            _log.info("Relays have changed.", relays=relays)
            self._relays = relays
        self._fleet.set_roles(
            relays[own.zone],
            is_relay=relays[own.zone] == own.router,
            members=len(self._known.keys() | {own.router}),
        )

    def _is_heard(self, name: str, now_ms: float) -> bool:
        limit_ms = self._settings.timing.relay_silence_ms
        heard_ms = self._heard_ms.get(name)
        return heard_ms is not None and now_ms - heard_ms < limit_ms and name not in self._leaving

    def _send_views(self, *, with_accounts: bool) -> None:
        now_ms = clock_ms()
        own = self._own_view(now_ms, with_accounts=with_accounts)
        relay = self._relays[self._settings.zone]
        if relay != self._settings.router:
            self.links.send(relay, own)
            return
        zone_view = self._fleet.zone_view(own, now_ms)
        for zone, name in self._relays.items():
            if zone != self._settings.zone:
                self.links.send(name, zone_view)
        for peer, view in self._fleet.rest_views(own, self._zone_peers(), now_ms):
            self.links.send(peer, view)

    def _zone_peers(self) -> list[str]:
        zone = self._settings.zone
        linked = self.links.peers()
        return [name for name in linked if name in self._known and self._zone_of(name) == zone]

    def _zone_of(self, name: str) -> str:
        return self._known[name].member.zone

    def _own_view(self, now_ms: float, *, with_accounts: bool) -> LoadView:
        return LoadView(
            sent_ms=int(now_ms),
            scope=int(ViewScope.SENDER),
            routers=1,
            leaving=self.leaving,
            servers=self._load.own_uses(now_ms),
            accounts=self._shares.own_uses(now_ms) if with_accounts else [],
        )

    def _send_idle_views(self) -> None:
        """Show peers that get no load that this router lives."""
        view = LoadView(int(clock_ms()), int(ViewScope.NOBODY), 0, self.leaving, [], [])
        for peer in self.links.peers():
            self.links.send(peer, view)

    def _drop_silent(self) -> None:
        now_ms = clock_ms()
        for peer in self.links.peers():
            if now_ms - self._heard_ms.get(peer, now_ms) > self._settings.timing.peer_silence_ms:
                _log.warning("Peer is silent.", peer=peer)
                self.links.drop(peer)

    def _on_message(self, peer: str, message: object) -> None:
        now_ms = clock_ms()
        self._heard_ms[peer] = now_ms
        if not isinstance(message, LoadView):
            return
        if message.leaving:
            self._leaving.add(peer)
        else:
            self._leaving.discard(peer)
        self._fleet.take(peer, message, now_ms)

    def _on_up(self, peer: str, incarnation: int) -> None:
        self._heard_ms[peer] = clock_ms()
        self._leaving.discard(peer)
        _log.info("Peer is linked.", peer=peer, incarnation=incarnation)

    def _on_down(self, peer: str) -> None:
        self._heard_ms.pop(peer, None)
        self._fleet.forget(peer)
        _log.info("Peer is not linked.", peer=peer)

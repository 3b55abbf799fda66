"""Finds the other routers and shares load views with them."""

from __future__ import annotations

import asyncio
import time

from cicadaledge.edge._beliefs import Beliefs
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._source import FleetMember, MemberRegistry, StoreError
from cicadaledge.logs import PartLog
from cicadaledge.placing import AccountShares, LoadBook
from cicadaledge.wire import LoadView, PeerLinks

_FLEET_KEY = "cicadaledge-edge"
_NEVER = -1
_RETRY_S = 0.3  # the store may just be starting, too
_WHOLE_VIEWS_EVERY = 10  # views with account rates: rates change within seconds, loads at once
_log = PartLog("peers")


class PeerKeeper:
    """Keeps links to all routers of the fleet and sends them this router's load.

    Args:
        registry: Where processes find each other.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        registry: MemberRegistry,
        beliefs: Beliefs,
        load: LoadBook,
        shares: AccountShares,
    ) -> None:
        self.leaving = False
        self._settings = settings
        self._registry = registry
        self._beliefs = beliefs
        self._load = load
        self._shares = shares
        self._heard_ms: dict[str, float] = {}
        self._their_clock_ms: dict[str, int] = {}
        self._self = FleetMember(
            settings.router, settings.peers.host, settings.peers.port, time.time_ns() // 1_000_000
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

    async def keep_members(self) -> None:
        """Announce this process and dial the others, for ever."""
        await self._announce()
        while True:
            try:
                self._dial(await self._registry.members())
            except (StoreError, ValueError, KeyError) as error:
                _log.info("Members could not be read.", error=str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            await asyncio.sleep(self._settings.timing.member_poll_ms / 1000)

    async def keep_views(self) -> None:
        """Send load views, for ever."""
        turn = 0
        while True:
            turn += 1
            self._send_views(whole=turn % _WHOLE_VIEWS_EVERY == 0)
            self._drop_silent()
            await asyncio.sleep(self._settings.timing.view_ms / 1000)

    async def _announce(self) -> None:
        while True:
            try:
                await self._registry.announce(self._self)
                return
            except StoreError as error:
                _log.info("Router could not be announced.", error=str(error))
                await asyncio.sleep(_RETRY_S)

    def _dial(self, members: list[FleetMember]) -> None:
        """Dial the members with a greater name; the others dial this one."""
        wanted = {
            (one.host, one.peer_port) for one in members if one.router > self._settings.router
        }
        for address in wanted - self.links.dialed():
            self.links.dial(*address)
        for address in self.links.dialed() - wanted:
            self.links.undial(*address)

    def _send_views(self, *, whole: bool) -> None:
        now_ms = clock_ms()
        uses = self._load.own_uses(now_ms)
        accounts = self._shares.own_uses(now_ms) if whole else []
        proof_age_ms = self._beliefs.proof_age_ms(now_ms)
        for peer in self.links.peers():
            view = LoadView(
                sent_ms=int(now_ms),
                echo_ms=self._their_clock_ms.get(peer, _NEVER),
                proof_age_ms=int(proof_age_ms) if proof_age_ms < 1e9 else _NEVER,
                configuration_offset=self._beliefs.control_offset,
                leaving=self.leaving,
                servers=uses,
                accounts=accounts,
            )
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
        if isinstance(message, LoadView):
            self._their_clock_ms[peer] = message.sent_ms
            self._load.take_view(peer, message.servers, now_ms)
            if message.accounts:
                self._shares.take_view(peer, message.accounts, now_ms)

    def _on_up(self, peer: str, incarnation: int) -> None:
        self._heard_ms[peer] = clock_ms()
        self._their_clock_ms.pop(peer, None)
        _log.info("Peer is linked.", peer=peer, incarnation=incarnation)

    def _on_down(self, peer: str) -> None:
        _log.info("Peer is not linked.", peer=peer)

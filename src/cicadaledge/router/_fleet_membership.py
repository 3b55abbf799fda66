"""Joins the fleet, maintains links and heartbeats, and removes silent members."""

from __future__ import annotations

import asyncio

from cicadaledge.config import Record, join_record
from cicadaledge.errors import LogError
from cicadaledge.logs import PartLog
from cicadaledge.membership import Leave, Member, Remove, rank
from cicadaledge.router._context import RouterContext
from cicadaledge.router._control_log import ControlLog
from cicadaledge.suspects import Evidence
from cicadaledge.wire import Crash, Crashes, Heartbeat, Witness

_JOIN_PERIOD_S = 0.5
_REMOVAL_PERIOD_S = 0.5
# A heartbeat counts as due this long before its interval has passed.
_DUE_MARGIN_MS = 50
_log = PartLog("fleet")


class FleetMembership:
    """Membership of this router, and failure detection of the other members."""

    def __init__(self, context: RouterContext, control_log: ControlLog) -> None:
        self._context = context
        self._control_log = control_log
        self._silent_since_ms: dict[tuple[str, int], int] = {}
        self._last_heartbeats: dict[str, tuple[int, int]] = {}
        self._removal_votes: dict[tuple[str, int], dict[str, int]] = {}
        context.handlers[Heartbeat] = self._on_heartbeat
        context.handlers[Witness] = self._on_witness
        context.handlers[Crashes] = self._on_crashes
        context.on_record.append(self._on_record)
        context.on_peer_up.append(self._on_peer_up)
        context.send_heartbeat = self._send_heartbeat

    async def run_join_loop(self) -> None:
        """Join the fleet, and join again after a removal, forever."""
        while True:
            if self._must_join():
                await self._try_append(join_record(self._own_member()), "Join")
            await asyncio.sleep(_JOIN_PERIOD_S)

    async def run_heartbeat_loop(self) -> None:
        """Send heartbeats, at a short interval to near peers and a long one to others, forever."""
        period_s = self._context.settings.timing.heartbeat_interval_ms / 1000
        while True:
            self._update_dialed_peers()
            for peer in self._context.links.peers():
                if self._is_due(peer):
                    self._send_heartbeat(peer)
            self._drop_silent_links()
            await asyncio.sleep(period_s)

    async def run_removal_loop(self) -> None:
        """Vote to remove silent members, and append removals with a majority, forever."""
        while True:
            self._vote_on_silent_members()
            for router in list(self._context.liveness.removal_votes):
                self._send_removal_vote(router)
            await self._propose_removals()
            await asyncio.sleep(_REMOVAL_PERIOD_S)

    async def leave(self) -> bool:
        """Append a leave record; return whether the log confirmed it."""
        record = Leave(self._context.settings.name, self._context.incarnation)
        return await self._try_append(record, "Leave")

    def _own_member(self) -> Member:
        settings = self._context.settings
        return Member(
            router=settings.name,
            incarnation=self._context.incarnation,
            zone=settings.zone,
            region=settings.region,
            host=settings.listen.host,
            peer_port=settings.listen.peer_port,
        )

    def _must_join(self) -> bool:
        if self._context.leaving or self._context.log_read_ms is None:
            return False
        known = self._context.state.members.by_name.get(self._context.settings.name)
        return known is None or known.incarnation != self._context.incarnation

    async def _try_append(self, record: Record, name: str) -> bool:
        try:
            await self._control_log.append(record)
        except LogError as error:
            _log.warning(
                f"{name} record was not confirmed by the log; the router will try again.",
                error=str(error),
            )
            return False
        return True

    def _update_dialed_peers(self) -> None:
        links = self._context.links
        name = self._context.settings.name
        linked = set(links.peers())
        wanted = {
            (member.host, member.peer_port)
            for member in self._context.state.members.by_name.values()
            if member.router > name and member.router not in linked
        }
        if not linked:
            wanted |= {(seed.host, seed.port) for seed in self._context.settings.seeds}
        for host, port in wanted:
            links.dial(host, port)
        if linked:
            for host, port in links.dialed() - wanted:
                links.stop_dialing(host, port)

    def _is_due(self, peer: str) -> bool:
        """Return whether a heartbeat is due now, or must state a changed interval."""
        sent_ms, stated_ms = self._last_heartbeats.get(peer, (0, 0))
        interval_ms = self._interval_ms(peer)
        if interval_ms != stated_ms:
            return True
        return self._context.now_ms() - sent_ms >= interval_ms - _DUE_MARGIN_MS

    def _interval_ms(self, peer: str) -> int:
        timing = self._context.settings.timing
        if self._context.is_near(peer) or self._context.liveness.wants_short_interval(peer):
            return timing.heartbeat_interval_ms
        return timing.far_heartbeat_ms

    def _send_heartbeat(self, peer: str) -> None:
        context = self._context
        now_ms = context.now_ms()
        interval_ms = self._interval_ms(peer)
        self._last_heartbeats[peer] = (now_ms, interval_ms)
        age_ms = -1 if context.log_read_ms is None else now_ms - context.log_read_ms
        heartbeat = Heartbeat(
            sent_ms=now_ms,
            interval_ms=interval_ms,
            near=context.is_near(peer),
            echo_ms=context.liveness.echo_ms(peer),
            control_offset=context.state.offset,
            log_age_ms=age_ms,
            leaving=context.leaving,
            poison_count=context.suspects.size(),
            disowned=peer in context.liveness.removal_votes,
        )
        context.send(peer, heartbeat)

    def _drop_silent_links(self) -> None:
        liveness = self._context.liveness
        for peer in self._context.links.peers():
            silent_ms = liveness.silence_ms(peer, self._context.now_ms())
            if silent_ms is not None and silent_ms > 2 * liveness.silence_limit_ms(peer):
                _log.warning(
                    "Peer has sent nothing for twice its silence limit; closing the link.",
                    peer=peer,
                )
                self._context.links.drop(peer)

    def _on_peer_up(self, peer: str) -> None:
        _log.info("Link to peer is established.", peer=peer)
        self._last_heartbeats.pop(peer, None)
        self._send_heartbeat(peer)

    def _on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        context = self._context
        first = context.liveness.echo_ms(peer) < 0
        newly_near = heartbeat.near and not context.liveness.wants_short_interval(peer)
        context.liveness.on_heartbeat(peer, heartbeat, context.state.offset, context.now_ms())
        if first or newly_near:
            self._send_heartbeat(peer)
        if heartbeat.disowned:
            self._rejoin()
        if heartbeat.poison_count < context.suspects.size():
            context.send(peer, self._crash_evidence())

    def _rejoin(self) -> None:
        context = self._context
        known = context.state.members.by_name.get(context.settings.name)
        if context.leaving or known is None or known.incarnation != context.incarnation:
            return
        if (
            context.liveness.fresh_as_of_ms
            < context.now_ms() - context.settings.timing.freshness_ms
        ):
            return
        _log.warning("A peer has voted to remove this incarnation; joining the fleet as a new one.")
        context.renew_incarnation()

    def _crash_evidence(self) -> Crashes:
        """Return a message with all known evidence about server crashes."""
        known = self._context.suspects.evidence()
        return Crashes(
            [
                Crash(crash, known.ran.get(crash, []), known.cleared.get(crash, []))
                for crash in known.crashed_ms
            ]
        )

    def _on_crashes(self, peer: str, message: Crashes) -> None:
        now_ms = self._context.now_ms()
        evidence = Evidence(
            {one.crash: now_ms for one in message.crashes},
            {one.crash: list(one.ran) for one in message.crashes},
            {one.crash: list(one.cleared) for one in message.crashes},
        )
        self._context.suspects.merge(evidence, now_ms)

    def _on_record(self, record: Record | None) -> None:
        members = self._context.state.members.by_name
        votes = self._context.liveness.removal_votes
        for router, incarnation in list(votes.items()):
            member = members.get(router)
            if member is None or member.incarnation > incarnation:
                del votes[router]
        # Peers that cannot read the log learn of new records from the offset in this heartbeat.
        for peer in self._context.links.peers():
            self._send_heartbeat(peer)

    def _vote_on_silent_members(self) -> None:
        context = self._context
        now_ms = context.now_ms()
        for member in self._watched_members():
            process = (member.router, member.incarnation)
            if self._is_responsive(member.router):
                self._silent_since_ms.pop(process, None)
                continue
            since_ms = self._silent_since_ms.setdefault(process, now_ms)
            if now_ms - since_ms >= context.settings.timing.removal_after_ms:
                context.liveness.removal_votes.setdefault(*process)

    def _watched_members(self) -> list[Member]:
        """Return the members that this router is a witness of."""
        members = self._context.state.members
        name = self._context.settings.name
        return [
            member
            for member in members.of_region(self._context.settings.region)
            if any(one.router == name for one in members.witnesses_of(member.router))
        ]

    def _is_responsive(self, router: str) -> bool:
        context = self._context
        silent_ms = context.liveness.silence_ms(router, context.now_ms())
        if silent_ms is None or context.links.incarnation_of(router) is None:
            return False
        return silent_ms <= context.liveness.silence_limit_ms(router)

    def _send_removal_vote(self, router: str) -> None:
        context = self._context
        member = context.state.members.by_name.get(router)
        if member is None:
            return
        watching = context.state.members.witnesses_of(router)
        live = [witness.router for witness in watching if context.is_live(witness.router)]
        if live:
            proposer = rank(f"remove/{router}", live)[0]
            context.send(proposer, Witness(router, member.incarnation))

    def _on_witness(self, peer: str, vote: Witness) -> None:
        member = self._context.state.members.by_name.get(peer)
        if member is not None:
            witnesses = self._removal_votes.setdefault((vote.router, vote.incarnation), {})
            witnesses[peer] = member.incarnation

    async def _propose_removals(self) -> None:
        members = self._context.state.members
        for (router, incarnation), witnesses in list(self._removal_votes.items()):
            member = members.by_name.get(router)
            if member is None or member.incarnation != incarnation:
                del self._removal_votes[(router, incarnation)]
                continue
            if len(witnesses) * 2 > len(members.witnesses_of(router)) + 1:
                _log.warning(
                    "Most witnesses of a member report it silent; appending its removal.",
                    router=router,
                )
                record = Remove(router, incarnation, dict(witnesses))
                await self._try_append(record, "Removal")

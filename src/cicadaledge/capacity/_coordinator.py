"""Grants leased slots of one pool and zone to waiting requests."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from attrs import define, evolve

from cicadaledge.capacity._fair_queue import FairQueue, RequestKey
from cicadaledge.capacity._held_server import HeldServer, LiveGrant
from cicadaledge.capacity._hints import HintCorrection
from cicadaledge.settings import RouterSettings
from cicadaledge.wire import (
    AccountCost,
    Counters,
    Descriptor,
    Done,
    Grant,
    LeaseItem,
    LeaseReply,
    Outcome,
    Progress,
    Running,
)

_ECHO_MARGIN_MS = 300
_SLOW_FACTOR = 3
_PREFIX_MEMORY = 4096
_SPILL_PER_EXCHANGE = 4


@define
class _RemoteZone:
    source: str
    free_slots: int
    waiting: dict[str, int]
    forwarded: int = 0


class Coordinator:
    """Keeps the fair queue of one pool in one zone and grants its leased slots.

    Two routers may both act as coordinator of the same pool and zone: each grants only
    the slots that were leased to it.

    Args:
        settings: Timing, targets and fairness of this router.
        pool: Pool name.
        zone: Zone whose servers are granted.
    """

    def __init__(self, settings: RouterSettings, pool: str, zone: str) -> None:
        self.pool = pool
        self.zone = zone
        self.queue = FairQueue(settings.fairness)
        self._settings = settings
        self._timing = settings.timing
        self._held: dict[str, HeldServer] = {}
        self._grants: dict[RequestKey, LiveGrant] = {}
        self._forwarded: dict[RequestKey, int] = {}
        self._remotes: dict[str, _RemoteZone] = {}
        self._prefixes: OrderedDict[int, str] = OrderedDict()
        self._hints = HintCorrection()
        self._sequence = 0

    # Leases

    def lease_items(self, servers: Iterable[str]) -> list[LeaseItem]:
        """Return what to ask a home router for; completions are counted once."""
        items = []
        for name in servers:
            held = self._held.setdefault(name, HeldServer(name))
            items.append(LeaseItem(name, held.busy, min(held.completed, 65_535)))
            held.completed = 0
        return items

    def on_lease_reply(self, reply: LeaseReply, now_ms: int) -> None:
        """Take over granted or renewed leases.

        A lease counts from when its request was sent, so a late reply is worth less.
        """
        for grant in reply.grants:
            held = self._held.setdefault(grant.server, HeldServer(grant.server))
            if reply.sent_ms <= held.signed_ms:
                continue
            self._forget(held.take_lease(grant, reply))
            self._reconcile(held)

    def release_items(self) -> list[LeaseItem]:
        """Give up every lease; return what to tell the home routers."""
        items = []
        for held in self._held.values():
            if held.expires_ms > 0:
                items.append(LeaseItem(held.name, held.busy, held.completed))
            held.expires_ms = 0
            held.completed = 0
        return items

    def set_static_slots(self, name: str, slots: int, boot_id: str, now_ms: int) -> None:
        """Hold slots without a lease, as the baselines do."""
        held = self._held.setdefault(name, HeldServer(name))
        held.open_slots = slots
        held.boot_id = boot_id
        held.expires_ms = now_ms + self._timing.lease_ms

    def on_cold_start(self, server: str, boot_id: str, now_ms: int) -> bool:
        """Close a server at once on a sign of cold start; return whether it counted."""
        held = self._held.get(server)
        if held is None or held.boot_id != boot_id:
            return False
        held.open_slots = 0
        held.completed = 0
        held.signed_ms = now_ms
        return True

    # Requests

    def enqueue(self, descriptors: Iterable[Descriptor], now_ms: int) -> None:
        """Add waiting requests; known ones are ignored."""
        for descriptor in descriptors:
            if self._forwarded.get(descriptor.key, 0) > now_ms:
                continue
            self.queue.push(descriptor)

    def withdraw(self, keys: Iterable[RequestKey]) -> None:
        """Take waiting requests out."""
        for key in keys:
            self.queue.withdraw(key)

    def withdraw_of(self, entry: str) -> None:
        """Take out what waits for an entry router that is gone."""
        self.withdraw(self.queue.waiting_of(entry))

    def on_progress(self, entry: str, progress: Progress, now_ms: int) -> None:
        """Note which requests an entry router runs, with their cost so far."""
        for handle, cost in zip(progress.handles, progress.costs, strict=False):
            grant = self._grants.get((entry, handle))
            if grant is not None:
                self._held[grant.server].revive(grant)
                self._note_seen(grant, now_ms)
                self.queue.progress(grant.key, cost)

    def adopt(self, entry: str, running: Iterable[Running], now_ms: int) -> None:
        """Take over requests that run under grants of a former coordinator."""
        for item in running:
            key = (entry, item.handle)
            held = self._held.setdefault(item.server, HeldServer(item.server))
            if key not in self._grants:
                self._start(held, key, item.account, item.hint_cost, item.suspect)
            held.revive(self._grants[key])
            self._note_seen(self._grants[key], now_ms)
            self.queue.progress(key, item.cost)

    def granted_server(self, entry: str, handle: int) -> tuple[str, str] | None:
        """Return server and boot id of a grant that has not ended, or None."""
        grant = self._grants.get((entry, handle))
        return (grant.server, grant.boot_id) if grant else None

    def on_done(self, entry: str, done: Done, now_ms: int) -> None:
        """End a grant and settle its cost."""
        key = (entry, done.handle)
        self.queue.finish(key, done.cost)
        grant = self._grants.pop(key, None)
        if grant is None:
            return
        if done.outcome == Outcome.FINISHED:
            self._hints.learn(grant.account, grant.hint_cost, done.cost)
        held = self._held[grant.server]
        held.live.pop(key, None)
        held.lost.pop(key, None)
        if grant.boot_id == held.boot_id:
            self._settle(held, grant, done, now_ms)
        self._reconcile(held)

    def _settle(self, held: HeldServer, grant: LiveGrant, done: Done, now_ms: int) -> None:
        if done.outcome in (Outcome.LOST, Outcome.DIED):
            # The server may still run it; only a later load report can tell.
            held.lose(grant, now_ms + self._timing.start_by_ms)
        target_ms = self._settings.targets.first_token_ms
        if done.outcome == Outcome.FINISHED and 0 <= done.first_token_ms <= target_ms:
            held.completed += 1

    def _note_seen(self, grant: LiveGrant, now_ms: int) -> None:
        if grant.first_seen_ms is None:
            grant.first_seen_ms = now_ms
        grant.last_seen_ms = now_ms

    def is_slow(self, done: Done) -> bool:
        """Return whether a first token came far over target."""
        return done.first_token_ms > self._settings.targets.first_token_ms * _SLOW_FACTOR

    def on_entry_lost(self, entry: str, now_ms: int) -> None:
        """Account for an entry router that is gone: its requests may run on."""
        self.withdraw_of(entry)
        for held in self._held.values():
            for grant in [one for key, one in held.live.items() if key[0] == entry]:
                held.lose(grant, now_ms + self._timing.start_by_ms)

    def next_grants(
        self, echo: Callable[[str], tuple[int, int] | None], now_ms: int
    ) -> list[tuple[str, Grant]]:
        """Grant free slots in fair order.

        Args:
            echo: Returns an entry router's newest time stamp and its age, or None.

        Returns:
            Entry routers and grants to send.
        """
        grants = []
        while any(held.free_slots(now_ms) > 0 for held in self._held.values()):
            popped = self.queue.pop(lambda request: self._place(request, echo, now_ms))
            if popped is None:
                break
            descriptor, held = popped
            grants.append((descriptor.entry, self._grant(descriptor, held, echo, now_ms)))
        return grants

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self.queue)

    def free_slots(self, now_ms: int) -> int:
        """Return how many slots could be granted now."""
        return sum(held.free_slots(now_ms) for held in self._held.values())

    def slots(self, now_ms: int) -> tuple[int, int]:
        """Return the open and the busy slots under valid leases."""
        valid = [held for held in self._held.values() if held.expires_ms > now_ms]
        return sum(held.open_slots for held in valid), sum(held.busy for held in valid)

    # Other zones

    def counters(self, now_ms: int) -> Counters:
        """Return the counters for the other coordinators of the pool."""
        self._sequence += 1
        costs = self.queue.costs()
        waiting = self.queue.waiting_counts()
        floor = self.queue.floor_cost()
        return Counters(
            pool=self.pool,
            zone=self.zone,
            sequence=self._sequence,
            free_slots=self.free_slots(now_ms),
            floor_cost=-1.0 if floor is None else floor,
            accounts=[
                AccountCost(name, costs.get(name, 0.0), waiting.get(name, 0))
                for name in sorted(costs.keys() | waiting.keys())
            ],
        )

    def on_counters(self, source: str, counters: Counters) -> None:
        """Take over the counters of another zone's coordinator.

        Args:
            source: Names the coordinator's incarnation.
        """
        costs = {item.account: item.cost for item in counters.accounts}
        waiting = {item.account: item.waiting for item in counters.accounts if item.waiting}
        former = self._remotes.get(counters.zone)
        if former is not None and former.source != source:
            self.queue.clear_remote_waiting(former.source)
        self.queue.merge(source, counters.sequence, costs, waiting)
        self._remotes[counters.zone] = _RemoteZone(source, counters.free_slots, waiting)

    def spill(self, now_ms: int) -> list[tuple[str, Descriptor]]:
        """Take out requests that another zone should grant.

        A request is forwarded to a zone with free slots, or to one that serves accounts
        which are ahead of it by more than the spill margin.
        """
        self._forwarded = {key: at for key, at in self._forwarded.items() if at > now_ms}
        forwards: list[tuple[str, Descriptor]] = []
        if self.free_slots(now_ms) > 0:
            return forwards
        for zone, remote in self._remotes.items():
            while self._should_forward(remote):
                popped = self.queue.pop(lambda request: True if request.hops == 0 else None)
                if popped is None:
                    break
                remote.forwarded += 1
                forwards.append((zone, self._forward(popped[0], now_ms)))
        return forwards

    def _should_forward(self, remote: _RemoteZone) -> bool:
        head = self.queue.head()
        if head is None:
            return False
        if remote.forwarded < remote.free_slots:
            return True
        if remote.forwarded >= remote.free_slots + _SPILL_PER_EXCHANGE or not remote.waiting:
            return False
        ahead = min(self.queue.virtual_cost(account) for account in remote.waiting)
        margin = self._settings.fairness.spill_margin_cost
        return self.queue.virtual_cost(head.account) + margin < ahead

    def _forward(self, descriptor: Descriptor, now_ms: int) -> Descriptor:
        self._forwarded[descriptor.key] = now_ms + self._timing.resend_ms
        return evolve(descriptor, hops=descriptor.hops + 1)

    # Placement

    def _place(
        self,
        request: Descriptor,
        echo: Callable[[str], tuple[int, int] | None],
        now_ms: int,
    ) -> HeldServer | None:
        heard = echo(request.entry)
        if heard is None or heard[1] > self._timing.start_by_ms - _ECHO_MARGIN_MS:
            return None
        fit = [held for held in self._held.values() if self._fits(held, request, now_ms)]
        if not fit:
            return None
        preferred = [held for held in fit if held.name not in request.excluded] or fit
        cached = self._prefixes.get(request.prefix_digest)
        for held in preferred:
            if held.name == cached:
                return held
        return min(preferred, key=lambda held: (held.busy / held.open_slots, held.name))

    def _fits(self, held: HeldServer, request: Descriptor, now_ms: int) -> bool:
        if held.free_slots(now_ms) <= 0:
            return False
        occupied = list(held.live.values()) + list(held.lost.values())
        return not (request.suspect and any(grant.suspect for grant in occupied))

    def _grant(
        self,
        descriptor: Descriptor,
        held: HeldServer,
        echo: Callable[[str], tuple[int, int] | None],
        now_ms: int,
    ) -> Grant:
        heard = echo(descriptor.entry)
        assert heard is not None
        self._start(
            held, descriptor.key, descriptor.account, descriptor.hint_cost, descriptor.suspect
        )
        if descriptor.prefix_digest:
            self._remember_prefix(descriptor.prefix_digest, held.name)
        return Grant(
            handle=descriptor.handle,
            pool=self.pool,
            zone=self.zone,
            server=held.name,
            boot_id=held.boot_id,
            echo_ms=heard[0],
        )

    def _start(
        self, held: HeldServer, key: RequestKey, account: str, hint_cost: int, suspect: bool
    ) -> None:
        """Occupy a slot for a request and charge what it is expected to cost."""
        grant = LiveGrant(key, account, held.name, held.boot_id, hint_cost, suspect)
        self._grants[key] = grant
        held.live[key] = grant
        self.queue.start(key, account, self._hints.correct(account, hint_cost))

    def _remember_prefix(self, digest: int, server: str) -> None:
        self._prefixes[digest] = server
        self._prefixes.move_to_end(digest)
        if len(self._prefixes) > _PREFIX_MEMORY:
            self._prefixes.popitem(last=False)

    def _reconcile(self, held: HeldServer) -> None:
        self._forget(held.reconcile(self._timing.progress_interval_ms))

    def _forget(self, ended: Iterable[LiveGrant]) -> None:
        for grant in ended:
            self._grants.pop(grant.key, None)
            self.queue.abandon(grant.key)

"""Assigns leased slots of one pool and zone to waiting requests."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from attrs import define, evolve

from cicadaledge.capacity._fair_queue import FairQueue, RequestKey
from cicadaledge.capacity._hint_correction import HintCorrection
from cicadaledge.capacity._leased_server import LeasedServer, LiveGrant
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
_SLOW_FIRST_TOKEN_FACTOR = 3
_MAX_PREFIXES = 4096
_MAX_SPILLS_PER_EXCHANGE = 4


@define
class _RemoteZone:
    source: str
    free_slots: int
    waiting: dict[str, int]
    forwarded: int = 0


class Coordinator:
    """Fair queue and slot assignment of one pool in one zone.

    The servers' home routers lease slots to the coordinator. Each request arrives at an
    entry router, which sends its descriptor here and runs the request once a slot is
    granted. Two routers may both act as coordinator of the same pool and zone: each
    grants only the slots that were leased to it.

    Args:
        settings: Timing, targets and fairness of this router.
        pool: Pool name.
        zone: Zone whose servers' slots are granted.
    """

    def __init__(self, settings: RouterSettings, pool: str, zone: str) -> None:
        self.pool = pool
        self.zone = zone
        self.queue = FairQueue(settings.fairness)
        self._settings = settings
        self._timing = settings.timing
        self._leased: dict[str, LeasedServer] = {}
        self._grants: dict[RequestKey, LiveGrant] = {}
        self._forwarded: dict[RequestKey, int] = {}
        self._remotes: dict[str, _RemoteZone] = {}
        self._prefixes: OrderedDict[int, str] = OrderedDict()
        self._hints = HintCorrection()
        self._sequence = 0

    # Leases

    def lease_items(self, servers: Iterable[str]) -> list[LeaseItem]:
        """Return the items of a lease request; each completion is reported only once."""
        items = []
        for name in servers:
            leased = self._leased.setdefault(name, LeasedServer(name))
            items.append(LeaseItem(name, leased.busy, min(leased.completed, 65_535)))
            leased.completed = 0
        return items

    def on_lease_reply(self, reply: LeaseReply, now_ms: int) -> None:
        """Apply granted or renewed leases.

        The term of a lease starts when its request was sent, so that a delayed reply
        cannot extend the lease beyond its expiry at the home router.
        """
        for grant in reply.grants:
            leased = self._leased.setdefault(grant.server, LeasedServer(grant.server))
            if reply.sent_ms <= leased.closed_ms:
                continue
            self._abandon(leased.apply_lease(grant, reply, now_ms))
            self._reconcile(leased)

    def release_items(self) -> list[LeaseItem]:
        """End every lease; return the items of the release messages to the home routers."""
        items = []
        for leased in self._leased.values():
            if leased.expires_ms > 0:
                items.append(LeaseItem(leased.name, leased.busy, leased.completed))
            leased.expires_ms = 0
            leased.completed = 0
        return items

    def set_static_slots(self, name: str, slots: int, boot_id: str, now_ms: int) -> None:
        """Set the slots of a server without a lease, for capacity modes that use none."""
        leased = self._leased.setdefault(name, LeasedServer(name))
        leased.open_slots = slots
        leased.boot_id = boot_id
        leased.expires_ms = now_ms + self._timing.lease_ms

    def on_cold_start(self, server: str, boot_id: str, now_ms: int) -> bool:
        """Close a server that shows a cold start; return whether the boot id is the current one."""
        leased = self._leased.get(server)
        if leased is None or leased.boot_id != boot_id:
            return False
        leased.open_slots = 0
        leased.completed = 0
        leased.closed_ms = now_ms
        return True

    # Requests

    def enqueue(self, descriptors: Iterable[Descriptor], now_ms: int) -> None:
        """Add waiting requests; those already queued, running or forwarded are ignored."""
        for descriptor in descriptors:
            if self._forwarded.get(descriptor.key, 0) > now_ms:
                continue
            self.queue.push(descriptor)

    def withdraw(self, keys: Iterable[RequestKey]) -> None:
        """Remove waiting requests."""
        for key in keys:
            self.queue.withdraw(key)

    def withdraw_entry(self, entry: str) -> None:
        """Remove the waiting requests of an entry router that is no longer reachable."""
        self.withdraw(self.queue.waiting_keys(entry))

    def on_progress(self, entry: str, progress: Progress, now_ms: int) -> None:
        """Record which requests an entry router runs, and their cost so far."""
        for handle, cost in zip(progress.handles, progress.costs, strict=False):
            grant = self._grants.get((entry, handle))
            if grant is not None:
                self._leased[grant.server].mark_running(grant)
                self._record_seen(grant, now_ms)
                self.queue.progress(grant.key, cost)

    def adopt(self, entry: str, running: Iterable[Running], now_ms: int) -> None:
        """Take over running requests that a former coordinator granted."""
        for item in running:
            key = (entry, item.handle)
            leased = self._leased.setdefault(item.server, LeasedServer(item.server))
            if key not in self._grants:
                self._occupy(leased, key, item.account, item.hint_cost, item.suspect)
            leased.mark_running(self._grants[key])
            self._record_seen(self._grants[key], now_ms)
            self.queue.progress(key, item.cost)

    def granted_server(self, entry: str, handle: int) -> tuple[str, str] | None:
        """Return the server and boot id of a grant that has not ended, or None."""
        grant = self._grants.get((entry, handle))
        return (grant.server, grant.boot_id) if grant else None

    def on_done(self, entry: str, done: Done, now_ms: int) -> None:
        """End a grant and charge its actual cost."""
        key = (entry, done.handle)
        self.queue.finish(key, done.cost)
        grant = self._grants.pop(key, None)
        if grant is None:
            return
        if done.outcome == Outcome.FINISHED:
            self._hints.learn(grant.account, grant.hint_cost, done.cost)
        leased = self._leased[grant.server]
        leased.live.pop(key, None)
        leased.lost.pop(key, None)
        if grant.boot_id == leased.boot_id:
            self._settle(leased, grant, done, now_ms)
        self._reconcile(leased)

    def _settle(self, leased: LeasedServer, grant: LiveGrant, done: Done, now_ms: int) -> None:
        if done.outcome in (Outcome.LOST, Outcome.DIED):
            # The server may still run the request; only a later load report shows its end.
            leased.mark_lost(grant, now_ms + self._timing.start_by_ms)
        target_ms = self._settings.targets.first_token_ms
        if done.outcome == Outcome.FINISHED and 0 <= done.first_token_ms <= target_ms:
            leased.completed += 1

    def _record_seen(self, grant: LiveGrant, now_ms: int) -> None:
        if grant.first_seen_ms is None:
            grant.first_seen_ms = now_ms
        grant.last_seen_ms = now_ms

    def is_slow(self, done: Done) -> bool:
        """Return whether the first token took several times its target."""
        return (
            done.first_token_ms > self._settings.targets.first_token_ms * _SLOW_FIRST_TOKEN_FACTOR
        )

    def on_entry_lost(self, entry: str, now_ms: int) -> None:
        """Mark the grants of an unreachable entry router as lost; they may still be running."""
        self.withdraw_entry(entry)
        for leased in self._leased.values():
            for grant in [one for key, one in leased.live.items() if key[0] == entry]:
                leased.mark_lost(grant, now_ms + self._timing.start_by_ms)

    def next_grants(
        self, echo: Callable[[str], tuple[int, int] | None], now_ms: int
    ) -> list[tuple[str, Grant]]:
        """Grant free slots in fair order.

        Args:
            echo: Returns the newest timestamp received from an entry router, on its
                clock, and how long ago it was received; None if there is none.

        Returns:
            Pairs of an entry router and the grant to send to it.
        """
        grants = []
        while any(leased.free_slots(now_ms) > 0 for leased in self._leased.values()):
            popped = self.queue.pop(lambda request: self._choose_server(request, echo, now_ms))
            if popped is None:
                break
            descriptor, leased = popped
            grants.append((descriptor.entry, self._grant(descriptor, leased, echo, now_ms)))
        return grants

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self.queue)

    def free_slots(self, now_ms: int) -> int:
        """Return the number of slots that can be granted now."""
        return sum(leased.free_slots(now_ms) for leased in self._leased.values())

    def slots(self, now_ms: int) -> tuple[int, int]:
        """Return the numbers of open and of busy slots under valid leases."""
        valid = [leased for leased in self._leased.values() if leased.expires_ms > now_ms]
        return sum(leased.open_slots for leased in valid), sum(leased.busy for leased in valid)

    # Other zones

    def counters(self, now_ms: int) -> Counters:
        """Return the costs and queue lengths to send to the pool's other coordinators."""
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
        """Apply the counters of another zone's coordinator.

        Args:
            source: Identifies the coordinator and its incarnation.
        """
        costs = {item.account: item.cost for item in counters.accounts}
        waiting = {item.account: item.waiting for item in counters.accounts if item.waiting}
        former = self._remotes.get(counters.zone)
        if former is not None and former.source != source:
            self.queue.clear_remote_waiting(former.source)
        self.queue.merge(source, counters.sequence, costs, waiting)
        self._remotes[counters.zone] = _RemoteZone(source, counters.free_slots, waiting)

    def spill(self, now_ms: int) -> list[tuple[str, Descriptor]]:
        """Remove and return the requests to forward to other zones.

        Requests are forwarded only while this zone has no free slot: to a zone with free
        slots, or to one where every waiting account has a virtual cost that exceeds the
        request's by more than the spill margin. Forwarded requests are not forwarded again.
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
        if remote.forwarded >= remote.free_slots + _MAX_SPILLS_PER_EXCHANGE or not remote.waiting:
            return False
        lowest_remote_cost = min(self.queue.virtual_cost(account) for account in remote.waiting)
        margin = self._settings.fairness.spill_margin_cost
        return self.queue.virtual_cost(head.account) + margin < lowest_remote_cost

    def _forward(self, descriptor: Descriptor, now_ms: int) -> Descriptor:
        self._forwarded[descriptor.key] = now_ms + self._timing.resend_ms
        return evolve(descriptor, hops=descriptor.hops + 1)

    # Placement

    def _choose_server(
        self,
        request: Descriptor,
        echo: Callable[[str], tuple[int, int] | None],
        now_ms: int,
    ) -> LeasedServer | None:
        echoed = echo(request.entry)
        if echoed is None or echoed[1] > self._timing.start_by_ms - _ECHO_MARGIN_MS:
            return None
        candidates = [
            leased for leased in self._leased.values() if self._can_run(leased, request, now_ms)
        ]
        if not candidates:
            return None
        preferred = [
            leased for leased in candidates if leased.name not in request.excluded
        ] or candidates
        cached = self._prefixes.get(request.prefix_digest)
        for leased in preferred:
            if leased.name == cached:
                return leased
        return min(preferred, key=lambda leased: (leased.busy / leased.open_slots, leased.name))

    def _can_run(self, leased: LeasedServer, request: Descriptor, now_ms: int) -> bool:
        if leased.free_slots(now_ms) <= 0:
            return False
        occupied = list(leased.live.values()) + list(leased.lost.values())
        return not (request.suspect and any(grant.suspect for grant in occupied))

    def _grant(
        self,
        descriptor: Descriptor,
        leased: LeasedServer,
        echo: Callable[[str], tuple[int, int] | None],
        now_ms: int,
    ) -> Grant:
        echoed = echo(descriptor.entry)
        assert echoed is not None
        self._occupy(
            leased, descriptor.key, descriptor.account, descriptor.hint_cost, descriptor.suspect
        )
        if descriptor.prefix_digest:
            self._remember_prefix(descriptor.prefix_digest, leased.name)
        return Grant(
            handle=descriptor.handle,
            pool=self.pool,
            zone=self.zone,
            server=leased.name,
            boot_id=leased.boot_id,
            echo_ms=echoed[0],
        )

    def _occupy(
        self, leased: LeasedServer, key: RequestKey, account: str, hint_cost: int, suspect: bool
    ) -> None:
        """Occupy a slot for a request and charge its expected cost."""
        grant = LiveGrant(key, account, leased.name, leased.boot_id, hint_cost, suspect)
        self._grants[key] = grant
        leased.live[key] = grant
        self.queue.start(key, account, self._hints.correct(account, hint_cost))

    def _remember_prefix(self, digest: int, server: str) -> None:
        self._prefixes[digest] = server
        self._prefixes.move_to_end(digest)
        if len(self._prefixes) > _MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def _reconcile(self, leased: LeasedServer) -> None:
        self._abandon(leased.reconcile(self._timing.progress_interval_ms))

    def _abandon(self, ended: Iterable[LiveGrant]) -> None:
        for grant in ended:
            self._grants.pop(grant.key, None)
            self.queue.abandon(grant.key)

"""Requests that entered the fleet at this router: descriptors, grants and outcomes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import defaultdict, deque
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError

from attrs import define, evolve, field

from cicadaledge.codes import Code
from cicadaledge.errors import CallerDisconnectedError, RefusalError
from cicadaledge.router._context import RouterContext, monotonic_ms
from cicadaledge.router._coordinators import ANY_ZONE
from cicadaledge.wire import (
    Adopt,
    Descriptor,
    Done,
    Enqueue,
    Grant,
    Outcome,
    Progress,
    Running,
    Withdraw,
)

# This router submits at most this many waiting requests of an account to a pool's coordinator at a
# time. Further ones wait at this router until one of these is granted or withdrawn.
_MAX_SENT_PER_ACCOUNT = 16
# The first handle of a router process is its incarnation modulo this.
_HANDLE_RANGE = 2**31
# At this interval, changes of coordinators are handled, and progress reports are sent if due.
_TICK_PERIOD_S = 0.2
# A waiting caller's thread checks at this interval whether the caller has closed its connection.
_DISCONNECT_CHECK_MS = 250


@define(eq=False)
class Ticket:
    """One attempt of a request at this router.

    Args:
        request_id: Sent to the backend server, which echoes it in its answer.
        body_digest: Identifies the request among those suspected of crashing servers.

    The caller's thread waits on `granted` and writes `cost` and `first_token_ms`; all other
    fields are written by the control loop.
    """

    request_id: str
    body_digest: str
    descriptor: Descriptor
    granted: Future[Grant] = field(factory=Future)
    cost: int = 0
    first_token_ms: int = -1
    grant: Grant | None = None
    sent: bool = False
    sent_ms: int = 0
    zone: str = ""
    granted_by: str = ""


class EntryQueue:
    """Submits requests to coordinators and passes grants to the callers' threads."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._waiting: dict[int, Ticket] = {}
        self._running: dict[int, Ticket] = {}
        self._unsent: dict[tuple[str, str], deque[Ticket]] = defaultdict(deque)
        self._sent_count: dict[tuple[str, str], int] = defaultdict(int)
        self._known_coordinators: dict[tuple[str, str], tuple[str, int | None]] = {}
        self.account_waiting: dict[str, int] = defaultdict(int)
        # A restarted router must not reuse handles that coordinators still hold.
        self._handles = itertools.count(context.incarnation % _HANDLE_RANGE)
        context.handlers[Grant] = self._on_grant
        context.on_peer_up.append(self._on_peer_up)

    # The methods below run on the threads that serve callers' requests. They leave all access to
    # the queues to functions that they schedule on the control loop.

    def acquire(
        self, ticket: Ticket, deadline_ms: int, is_disconnected: Callable[[], bool]
    ) -> Ticket:
        """Wait until the ticket is granted a slot.

        Args:
            deadline_ms: Time on the process clock at which waiting ends.
            is_disconnected: Returns whether the caller has closed its connection.

        Raises:
            RefusalError: Codes 2001 and 2002; no server ran the request.
            CallerDisconnectedError: The caller has closed its connection.
        """
        self._context.loop.call_soon_threadsafe(self._submit, ticket)
        while True:
            left_ms = deadline_ms - monotonic_ms()
            try:
                ticket.granted.result(max(0, min(left_ms, _DISCONNECT_CHECK_MS)) / 1000)
                return ticket
            except TimeoutError:
                if is_disconnected() and self._try_withdraw(ticket):
                    raise CallerDisconnectedError("the caller has closed its connection") from None
                if left_ms <= 0 and self._try_withdraw(ticket):
                    raise RefusalError(Code.QUEUE_TIMEOUT, retry_after_ms=1000) from None

    def finish(self, ticket: Ticket, outcome: Outcome) -> None:
        """Report the outcome of a granted request to its coordinator."""
        self._context.loop.call_soon_threadsafe(self._finish, ticket, outcome)

    def usable_until_ms(self, ticket: Ticket) -> int:
        """Return the time on the process clock until which the ticket's grant is valid."""
        assert ticket.grant is not None
        return ticket.grant.echo_ms + self._context.settings.timing.start_by_ms

    # The methods below run on the control loop, which alone changes the queues. Only `_try_withdraw`
    # runs on a caller's thread, for `acquire`.

    async def run_report_loop(self) -> None:
        """Report progress to coordinators, resend waiting requests and move them, forever."""
        interval_ms = self._context.settings.timing.progress_interval_ms
        reported_ms = 0
        while True:
            self._handle_coordinator_changes()
            now_ms = self._context.now_ms()
            if now_ms - reported_ms >= interval_ms:
                reported_ms = now_ms
                self._report_progress()
                self._resend_stale()
            await asyncio.sleep(_TICK_PERIOD_S)

    @property
    def active(self) -> int:
        """Number of requests that wait or run."""
        return len(self._waiting) + len(self._running)

    def _submit(self, ticket: Ticket) -> None:
        descriptor = ticket.descriptor
        limit = self._context.settings.limits.queue_per_account
        if self.account_waiting[descriptor.account] >= limit:
            refusal = RefusalError(Code.QUEUE_FULL, retry_after_ms=1000)
            ticket.granted.set_exception(refusal)
            return
        descriptor = evolve(descriptor, handle=next(self._handles))
        ticket.descriptor = descriptor
        self._waiting[descriptor.handle] = ticket
        self.account_waiting[descriptor.account] += 1
        key = (descriptor.pool, descriptor.account)
        self._unsent[key].append(ticket)
        self._send_unsent(key)

    def _send_unsent(self, key: tuple[str, str]) -> None:
        unsent = self._unsent[key]
        tickets = []
        while unsent and self._sent_count[key] < _MAX_SENT_PER_ACCOUNT:
            ticket = unsent.popleft()
            if ticket.descriptor.handle in self._waiting:
                ticket.sent = True
                self._sent_count[key] += 1
                tickets.append(ticket)
        if tickets:
            self._enqueue(key[0], tickets)

    def _enqueue(self, pool: str, tickets: list[Ticket]) -> None:
        location = self._queue_location(pool)
        if location is None:
            return
        zone, router = location
        for ticket in tickets:
            ticket.zone = zone
            ticket.sent_ms = self._context.now_ms()
        descriptors = [ticket.descriptor for ticket in tickets]
        self._context.send(router, Enqueue(pool, zone, descriptors))

    def _queue_location(self, pool: str) -> tuple[str, str] | None:
        context = self._context
        if context.configuration.capacity != "leased":
            return ANY_ZONE, context.settings.name
        zone = context.queue_zone(pool)
        if zone is None:
            return None
        router = context.coordinator_of(pool, zone)
        return (zone, router) if router is not None else None

    def _try_withdraw(self, ticket: Ticket) -> bool:
        """Withdraw a waiting ticket; return False if it has already been granted."""
        done: Future[bool] = Future()
        self._context.loop.call_soon_threadsafe(lambda: done.set_result(self._withdraw(ticket)))
        return done.result()

    def _withdraw(self, ticket: Ticket) -> bool:
        handle = ticket.descriptor.handle
        if handle not in self._waiting:
            return False
        self._remove_waiting(ticket)
        pool = ticket.descriptor.pool
        if ticket.sent and ticket.zone:
            router = self._coordinator_of(pool, ticket.zone)
            if router is not None:
                self._context.send(router, Withdraw(pool, ticket.zone, [handle]))
        return True

    def _remove_waiting(self, ticket: Ticket) -> None:
        descriptor = ticket.descriptor
        del self._waiting[descriptor.handle]
        self.account_waiting[descriptor.account] -= 1
        key = (descriptor.pool, descriptor.account)
        if ticket.sent:
            self._sent_count[key] -= 1
        self._send_unsent(key)

    def _on_grant(self, peer: str, grant: Grant) -> None:
        ticket = self._waiting.get(grant.handle)
        if ticket is None:
            running = self._running.get(grant.handle)
            if running is None or running.grant != grant:
                self._decline(peer, grant)
            return
        self._remove_waiting(ticket)
        ticket.grant = grant
        ticket.granted_by = peer
        self._running[grant.handle] = ticket
        with contextlib.suppress(InvalidStateError):
            ticket.granted.set_result(grant)

    def _decline(self, peer: str, grant: Grant) -> None:
        done = Done(grant.handle, grant.pool, grant.zone, cost=0, outcome=int(Outcome.NOT_STARTED))
        self._context.send(peer, done)

    def _finish(self, ticket: Ticket, outcome: Outcome) -> None:
        grant = ticket.grant
        if grant is None or self._running.pop(grant.handle, None) is None:
            return
        done = Done(
            handle=grant.handle,
            pool=grant.pool,
            zone=grant.zone,
            cost=ticket.cost,
            outcome=int(outcome),
            first_token_ms=ticket.first_token_ms,
        )
        for router in {ticket.granted_by, self._coordinator_of(grant.pool, grant.zone)} - {None}:
            self._context.send(str(router), done)

    def _coordinator_of(self, pool: str, zone: str) -> str | None:
        if zone == ANY_ZONE:
            return self._context.settings.name
        return self._context.coordinator_of(pool, zone)

    def _handle_coordinator_changes(self) -> None:
        context = self._context
        pool_zones = {
            (ticket.grant.pool, ticket.grant.zone)
            for ticket in self._running.values()
            if ticket.grant is not None
        }
        pool_zones |= {(ticket.descriptor.pool, ticket.zone) for ticket in self._waiting.values()}
        for pool, zone in pool_zones:
            router = self._coordinator_of(pool, zone) if zone else None
            incarnation = context.links.incarnation_of(router) if router else None
            if router is None or self._known_coordinators.get((pool, zone)) == (
                router,
                incarnation,
            ):
                continue
            had_coordinator = (pool, zone) in self._known_coordinators
            self._known_coordinators[(pool, zone)] = (router, incarnation)
            if had_coordinator:
                self._report_adoption(pool, zone)
                self._resend(pool, zone)
        self._move_to_current_zone()

    def _resend(self, pool: str, zone: str) -> None:
        tickets = [
            ticket
            for ticket in self._waiting.values()
            if ticket.sent and ticket.zone == zone and ticket.descriptor.pool == pool
        ]
        if tickets:
            self._enqueue(pool, tickets)

    def _move_to_current_zone(self) -> None:
        pools = {ticket.descriptor.pool for ticket in self._waiting.values() if ticket.sent}
        for pool in pools:
            location = self._queue_location(pool)
            if location is None:
                continue
            moved = [
                ticket
                for ticket in self._waiting.values()
                if ticket.sent and ticket.descriptor.pool == pool and ticket.zone != location[0]
            ]
            if moved:
                self._enqueue(pool, moved)

    def _resend_stale(self) -> None:
        resend_ms = self._context.settings.timing.resend_ms
        now_ms = self._context.now_ms()
        stale: dict[str, list[Ticket]] = defaultdict(list)
        for ticket in self._waiting.values():
            if ticket.sent and now_ms - ticket.sent_ms > resend_ms:
                stale[ticket.descriptor.pool].append(ticket)
        for pool, tickets in stale.items():
            self._enqueue(pool, tickets)

    def _report_progress(self) -> None:
        pool_zones: dict[tuple[str, str], list[Ticket]] = defaultdict(list)
        for ticket in self._running.values():
            if ticket.grant is not None:
                pool_zones[(ticket.grant.pool, ticket.grant.zone)].append(ticket)
        for (pool, zone), tickets in pool_zones.items():
            router = self._coordinator_of(pool, zone)
            if router is not None:
                handles = [ticket.descriptor.handle for ticket in tickets]
                costs = [ticket.cost for ticket in tickets]
                self._context.send(router, Progress(pool, zone, handles, costs))

    def _report_adoption(self, pool: str, zone: str) -> None:
        """Report this router's running requests to the new coordinator of a pool and zone."""
        router = self._coordinator_of(pool, zone)
        running = [
            _to_running(ticket)
            for ticket in self._running.values()
            if ticket.grant is not None and (ticket.grant.pool, ticket.grant.zone) == (pool, zone)
        ]
        if router is not None and running:
            self._context.send(router, Adopt(pool, zone, running))

    def _on_peer_up(self, peer: str) -> None:
        """Have everything sent again to a peer, which has lost its state about this router."""
        for pool_zone, (router, _) in list(self._known_coordinators.items()):
            if router == peer:
                self._known_coordinators[pool_zone] = ("", None)


def _to_running(ticket: Ticket) -> Running:
    assert ticket.grant is not None
    descriptor = ticket.descriptor
    return Running(
        handle=descriptor.handle,
        account=descriptor.account,
        server=ticket.grant.server,
        hint_cost=descriptor.hint_cost,
        cost=ticket.cost,
        suspect=descriptor.suspect,
    )

"""Leases the slots of backend servers to coordinators and transfers the right to do so."""

from __future__ import annotations

from attrs import define

from cicadaledge.capacity._warm_up import WarmUp
from cicadaledge.membership import Members
from cicadaledge.settings import RouterSettings
from cicadaledge.wire import (
    LeaseGrant,
    LeaseItem,
    LeaseRelease,
    TransferItem,
    TransferReply,
    TransferRequest,
)
from cicadaledge.world import BackendServer, Configuration

_STALE_REPORT_POLLS = 6
_MAX_FAILED_POLLS = 2


@define
class LoadReport:
    """Load report of a backend server.

    Args:
        running: Number of requests running on the server when the report was made.
        as_of_ms: Earliest time, on this router's clock, at which it can have been made.
    """

    boot_id: str
    running: int
    as_of_ms: int


@define
class _OwnedServer:
    """A server whose home rights this router holds.

    Args:
        holder: Coordinator that holds the lease; empty if there is none.
        unsafe_until_ms: Time until which requests granted under former leases may start.
        inherited_busy: Number of slots that such requests may occupy.
    """

    server: BackendServer
    warm_up: WarmUp
    holder: str = ""
    holder_incarnation: int = 0
    expires_ms: int = 0
    unsafe_until_ms: int = 0
    inherited_busy: int = 0
    leased_slots: int = 0
    report: LoadReport | None = None
    failed_polls: int = 0


@define
class _PendingServer:
    """A server whose home rights this router has requested and not yet received.

    Args:
        epoch_offset: Control offset at which this router became the server's home.
        unanswered: Members that have not yet replied to the transfer request.
        not_before_ms: Earliest time at which the rights may be created; until then, a
            former holder that has left may still act on them.
    """

    epoch_offset: int
    unanswered: set[str]
    not_before_ms: int


class HomeLessor:
    """Leases the slots of the servers for which this router is the home router.

    The home router of a server is chosen by rendezvous hashing among the members of a
    region. It leases slots only while it holds the server's home rights, which at most
    one router holds. A new home router requests them from every member of its region,
    and the holder transfers them together with the state of the lease. If no member
    holds them, they are created once every lease that may exist has expired.

    Args:
        settings: Name, region and timing of this router.
        started_ms: Start time of this process on its own clock.
    """

    def __init__(self, settings: RouterSettings, started_ms: int) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._started_ms = started_ms
        self._owned: dict[str, _OwnedServer] = {}
        self._pending: dict[str, _PendingServer] = {}
        self._no_creation_until_ms = 0
        self._departing_members: set[str] = set()
        self._servers: dict[str, BackendServer] = {}

    @property
    def owned(self) -> list[str]:
        """Names of the servers whose home rights this router holds."""
        return list(self._owned)

    @property
    def pending(self) -> list[str]:
        """Names of the servers whose home rights this router is waiting for."""
        return list(self._pending)

    def servers_to_poll(self) -> list[BackendServer]:
        """Return the servers whose load reports this router needs."""
        return [owned.server for owned in self._owned.values()]

    def update(
        self, members: Members, configuration: Configuration, offset: int, now_ms: int
    ) -> None:
        """Apply a changed member list or configuration.

        Must be called after each record of the control stream, so that every change of
        a home router is seen.
        """
        self._servers = {
            server.name: server
            for server in configuration.servers.values()
            if configuration.region_of(server.zone) == self._settings.region
        }
        for name, owned in list(self._owned.items()):
            if name not in self._servers:
                del self._owned[name]
                continue
            owned.server = self._servers[name]
            owned.warm_up.update_server(owned.server)
        region_members = {member.router for member in members.of_region(self._settings.region)}
        for name in self._servers:
            is_home = members.home_of(name, self._settings.region) == self._settings.name
            self._update_pending(name, is_home, region_members, offset, now_ms)
        for name in [name for name in self._pending if name not in self._servers]:
            del self._pending[name]

    def clear_pending(self) -> None:
        """Drop pending transfers and their replies, after control records were skipped."""
        self._pending.clear()

    def drop_owned(self) -> None:
        """Drop all rights without transferring them, after this router was removed."""
        self._owned.clear()
        self._pending.clear()

    def delay_rights_creation(self, now_ms: int) -> None:
        """Delay the creation of rights after a member left, since its leases may still be valid."""
        self._no_creation_until_ms = now_ms + self._timing.freshness_ms

    def add_departing_member(self, router: str) -> None:
        """Add a member that has left but can still be asked for its rights."""
        self._departing_members.add(router)

    def transfer_requests(self) -> dict[str, TransferRequest]:
        """Return the transfer requests to send now, by member."""
        requests: dict[tuple[str, int], list[str]] = {}
        for name, pending_server in self._pending.items():
            for member in pending_server.unanswered | self._departing_members:
                requests.setdefault((member, pending_server.epoch_offset), []).append(name)
        return {
            member: TransferRequest(epoch, sorted(names))
            for (member, epoch), names in requests.items()
        }

    def on_transfer_request(
        self, peer: str, request: TransferRequest, members: Members, offset: int, now_ms: int
    ) -> TransferReply | None:
        """Transfer the requested rights to *peer* where it is the home router.

        Returns:
            None while this router has not applied the control stream up to the offset
            that the request states.
        """
        if offset < request.control_offset:
            return None
        answered = [
            name for name in request.servers if members.home_of(name, self._settings.region) == peer
        ]
        items = [self._hand_over(name, now_ms) for name in answered if name in self._owned]
        return TransferReply(request.control_offset, answered, items)

    def on_transfer_reply(self, peer: str, reply: TransferReply, now_ms: int) -> None:
        """Accept transferred rights, or record that *peer* does not hold them."""
        received = {item.server: item for item in reply.items}
        for name in reply.servers:
            pending_server = self._pending.get(name)
            if pending_server is None or pending_server.epoch_offset != reply.control_offset:
                continue
            if name in received:
                self._accept(received[name], now_ms)
            else:
                pending_server.unanswered.discard(peer)

    def tick(self, members: Members, now_ms: int) -> None:
        """Create rights that no member holds, once all former leases have expired."""
        if now_ms >= self._no_creation_until_ms:
            self._departing_members.clear()
        for name, pending_server in list(self._pending.items()):
            pending_server.unanswered &= set(members.by_name)
            if pending_server.unanswered or now_ms < max(
                pending_server.not_before_ms, self._no_creation_until_ms
            ):
                continue
            del self._pending[name]
            owned = self._new_owned(name)
            owned.unsafe_until_ms = now_ms + self._lease_lifetime_ms()
            owned.inherited_busy = owned.server.warm_slots
            self._owned[name] = owned

    def on_report(self, name: str, report: LoadReport) -> bool:
        """Apply a load report; return whether the server has a new boot id."""
        owned = self._owned.get(name)
        if owned is None:
            return False
        if owned.report is not None and report.as_of_ms < owned.report.as_of_ms:
            return False
        former_boot = owned.warm_up.boot_id
        new_boot = owned.warm_up.on_boot_id(report.boot_id)
        owned.report = report
        owned.failed_polls = 0
        if new_boot and former_boot:
            # A grant names a boot id, so grants for a former boot can no longer start.
            owned.inherited_busy = 0
            owned.leased_slots = 0
        return new_boot

    def on_poll_failed(self, name: str) -> None:
        """Reset a server whose load report cannot be read; stop leasing it if that repeats."""
        owned = self._owned.get(name)
        if owned is None:
            return
        owned.warm_up.on_cold_start("")
        owned.failed_polls += 1
        if owned.failed_polls >= _MAX_FAILED_POLLS:
            owned.report = None

    def on_cold_start(self, name: str, boot_id: str) -> bool:
        """Reset a server that shows a cold start; return whether the boot id is the current one."""
        owned = self._owned.get(name)
        return owned is not None and owned.warm_up.on_cold_start(boot_id)

    def lease(
        self,
        coordinator: str,
        incarnation: int,
        items: list[LeaseItem],
        configuration: Configuration,
        now_ms: int,
    ) -> list[LeaseGrant]:
        """Grant or renew leases to a coordinator.

        The caller must have checked that this router may use its home rights and that
        it accepts the coordinator for the pool and zone.
        """
        grants = []
        for item in items:
            owned = self._owned.get(item.server)
            if owned is not None and self._may_lease_to(owned, coordinator, incarnation, now_ms):
                owned.warm_up.add_completions(item.completed)
                grants.append(self._grant(owned, coordinator, incarnation, configuration, now_ms))
        return grants

    def release(
        self, coordinator: str, incarnation: int, release: LeaseRelease, now_ms: int
    ) -> None:
        """End the leases that their coordinator releases."""
        for item in release.items:
            owned = self._owned.get(item.server)
            if owned is None or (owned.holder, owned.holder_incarnation) != (
                coordinator,
                incarnation,
            ):
                continue
            owned.warm_up.add_completions(item.completed)
            owned.holder = ""
            owned.expires_ms = now_ms
            owned.inherited_busy = item.busy
            owned.unsafe_until_ms = now_ms + self._timing.start_by_ms

    def open_slots(self, name: str) -> int | None:
        """Return the number of open slots of an owned server, or None."""
        owned = self._owned.get(name)
        return owned.warm_up.open_slots if owned else None

    def _update_pending(
        self, name: str, is_home: bool, region_members: set[str], offset: int, now_ms: int
    ) -> None:
        if not is_home:
            self._pending.pop(name, None)
            return
        if name in self._owned or name in self._pending:
            return
        not_before_ms = max(
            self._started_ms + self._lease_lifetime_ms(), self._no_creation_until_ms
        )
        unanswered = region_members - {self._settings.name}
        self._pending[name] = _PendingServer(offset, unanswered, not_before_ms)

    def _lease_lifetime_ms(self) -> int:
        return self._timing.lease_ms + self._timing.start_by_ms

    def _new_owned(self, name: str) -> _OwnedServer:
        server = self._servers[name]
        return _OwnedServer(server, WarmUp(server, self._settings.targets))

    def _hand_over(self, name: str, now_ms: int) -> TransferItem:
        owned = self._owned.pop(name)
        return TransferItem(
            server=name,
            holder=owned.holder,
            holder_incarnation=owned.holder_incarnation,
            remaining_ms=max(0, owned.expires_ms - now_ms),
            unsafe_ms=max(0, owned.unsafe_until_ms - now_ms),
            boot_id=owned.warm_up.boot_id,
            open_slots=owned.warm_up.open_slots,
            busy=max(owned.inherited_busy, owned.leased_slots if owned.holder else 0),
        )

    def _accept(self, item: TransferItem, now_ms: int) -> None:
        del self._pending[item.server]
        owned = self._new_owned(item.server)
        owned.holder = item.holder
        owned.holder_incarnation = item.holder_incarnation
        owned.expires_ms = now_ms + item.remaining_ms
        owned.unsafe_until_ms = now_ms + item.unsafe_ms
        owned.inherited_busy = item.busy
        owned.leased_slots = item.busy
        if item.boot_id:
            owned.warm_up.restore(item.boot_id, item.open_slots)
        self._owned[item.server] = owned

    def _may_lease_to(
        self, owned: _OwnedServer, coordinator: str, incarnation: int, now_ms: int
    ) -> bool:
        if (owned.holder, owned.holder_incarnation) == (coordinator, incarnation):
            return True
        return not owned.holder or now_ms >= owned.expires_ms

    def _grant(
        self,
        owned: _OwnedServer,
        coordinator: str,
        incarnation: int,
        configuration: Configuration,
        now_ms: int,
    ) -> LeaseGrant:
        renewal = (owned.holder, owned.holder_incarnation) == (coordinator, incarnation)
        if not renewal or now_ms >= owned.expires_ms:
            self._start_lease(owned, coordinator, incarnation, renewal, now_ms)
        owned.expires_ms = now_ms + self._timing.lease_ms
        slots = self._slots_to_lease(owned, configuration, now_ms)
        owned.leased_slots = max(slots, owned.leased_slots if renewal else 0)
        report = owned.report
        usable = report is not None and report.as_of_ms >= owned.unsafe_until_ms
        return LeaseGrant(
            server=owned.server.name,
            open_slots=slots,
            boot_id=owned.warm_up.boot_id,
            running=report.running if report is not None and usable else -1,
            report_age_ms=now_ms - report.as_of_ms if report is not None else -1,
            inherited_busy=owned.inherited_busy,
            new_holder=not renewal,
        )

    def _start_lease(
        self, owned: _OwnedServer, coordinator: str, incarnation: int, renewal: bool, now_ms: int
    ) -> None:
        if not renewal and owned.holder:
            # The former holder may have granted every leased slot until its lease expired.
            owned.inherited_busy = max(owned.inherited_busy, owned.leased_slots)
            owned.unsafe_until_ms = max(
                owned.unsafe_until_ms, owned.expires_ms + self._timing.start_by_ms
            )
        owned.holder = coordinator
        owned.holder_incarnation = incarnation
        owned.leased_slots = 0

    def _slots_to_lease(
        self, owned: _OwnedServer, configuration: Configuration, now_ms: int
    ) -> int:
        report = owned.report
        if report is None or not configuration.takes_work(owned.server.name):
            return 0
        if now_ms - report.as_of_ms > self._timing.load_poll_ms * _STALE_REPORT_POLLS:
            owned.warm_up.on_cold_start("")
        pool = configuration.pools[owned.server.pool]
        return max(0, owned.warm_up.open_slots - pool.old_system_slots)

"""Slot accounting of one leased server at its coordinator."""

from __future__ import annotations

from attrs import define, field

from cicadaledge.capacity._fair_queue import RequestKey
from cicadaledge.wire import LeaseGrant, LeaseReply

_EXPIRY_MARGIN_MS = 50


@define
class LiveGrant:
    """A granted request that has not ended.

    Args:
        first_seen_ms: When an entry router first reported it as running, or None.
        last_seen_ms: When it was last reported as running, or None.
    """

    key: RequestKey
    account: str
    server: str
    boot_id: str
    hint_cost: float
    suspect: bool = False
    first_seen_ms: int | None = None
    last_seen_ms: int | None = None


@define
class LeasedServer:
    """Lease of one server, and the requests granted under it.

    Args:
        running: Requests running according to the last load report; -1 if unknown.
        report_ms: Time of that report.
        lost: Grants whose end the entry router can no longer report.
        orphaned_slots: Slots that grants of a former lease holder may occupy.
        cleanup_after_ms: Only load reports from this time on may clear lost grants and
            orphaned slots, since lost grants can start until then.
        closed_ms: Time of the last cold start; replies to earlier lease requests are stale.
    """

    name: str
    open_slots: int = 0
    expires_ms: int = 0
    boot_id: str = ""
    running: int = -1
    report_ms: int = 0
    live: dict[RequestKey, LiveGrant] = field(factory=dict)
    lost: dict[RequestKey, LiveGrant] = field(factory=dict)
    orphaned_slots: int = 0
    cleanup_after_ms: int = 0
    closed_ms: int = -1
    completed: int = 0

    @property
    def busy(self) -> int:
        """Number of slots that may be occupied on the current boot."""
        live = sum(1 for grant in self.live.values() if grant.boot_id == self.boot_id)
        return live + len(self.lost) + self.orphaned_slots

    def free_slots(self, now_ms: int) -> int:
        """Return the number of requests that may be granted now."""
        if now_ms >= self.expires_ms - _EXPIRY_MARGIN_MS:
            return 0
        return max(0, self.open_slots - self.busy)

    def apply_lease(self, grant: LeaseGrant, reply: LeaseReply, now_ms: int) -> list[LiveGrant]:
        """Apply a granted or renewed lease.

        If the former lease has run out, another coordinator may have held one in between. The home
        router says so in its first reply only, which can be lost.

        Returns:
            Lost grants that ended because the server has restarted.
        """
        ended: list[LiveGrant] = []
        if self.boot_id != grant.boot_id:
            # The server has restarted, so the requests of its former boot have ended.
            ended = list(self.lost.values())
            self.boot_id = grant.boot_id
            self.orphaned_slots = 0
            self.lost.clear()
            self.completed = 0
        if grant.new_holder or now_ms >= self.expires_ms:
            self.orphaned_slots = max(self.orphaned_slots, grant.inherited_busy)
        self.open_slots = grant.open_slots
        self.expires_ms = max(self.expires_ms, reply.sent_ms + reply.lease_ms)
        self.running = grant.running
        self.report_ms = reply.sent_ms - grant.report_age_ms
        return ended

    def mark_lost(self, grant: LiveGrant, last_start_ms: int) -> None:
        """Mark a grant whose end its entry router can no longer report.

        Args:
            last_start_ms: Time after which the granted request can no longer start.
        """
        self.live.pop(grant.key, None)
        self.lost[grant.key] = grant
        self.cleanup_after_ms = last_start_ms

    def mark_running(self, grant: LiveGrant) -> None:
        """Restore a lost grant that an entry router reports as running."""
        if self.lost.pop(grant.key, None) is not None:
            self.live[grant.key] = grant

    def reconcile(self, confirmation_ms: int) -> list[LiveGrant]:
        """Clear orphaned slots and lost grants that a load report shows to have ended.

        The report counts all requests running at its time. Entry routers confirm some of
        them; the rest of the count is the most that lost grants and orphans can occupy.

        Args:
            confirmation_ms: An entry router must have reported a request as running this
                long after the load report for it to count as running at the report's time.

        Returns:
            Lost grants that have ended.
        """
        unconfirmed = self.orphaned_slots + len(self.lost)
        if unconfirmed == 0 or self.running < 0 or self.report_ms < self.cleanup_after_ms:
            return []
        known_running = sum(
            1 for grant in self.live.values() if self._was_running(grant, confirmation_ms)
        )
        remaining = max(0, self.running - known_running)
        ended = list(self.lost.values())[: max(0, unconfirmed - remaining)]
        for grant in ended:
            del self.lost[grant.key]
        self.orphaned_slots = min(self.orphaned_slots, max(0, remaining - len(self.lost)))
        return ended

    def _was_running(self, grant: LiveGrant, confirmation_ms: int) -> bool:
        """Return whether a grant was certainly running when the load report was made."""
        if grant.boot_id != self.boot_id:
            return False
        if grant.first_seen_ms is None or grant.last_seen_ms is None:
            return False
        confirmed_ms = self.report_ms + confirmation_ms
        return grant.first_seen_ms <= self.report_ms and grant.last_seen_ms >= confirmed_ms

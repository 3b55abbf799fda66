"""Accounting of one leased server's slots at its coordinator."""

from __future__ import annotations

from attrs import define, field

from cicadaledge.capacity._fair_queue import RequestKey
from cicadaledge.wire import LeaseGrant, LeaseReply

_EXPIRY_MARGIN_MS = 50


@define
class LiveGrant:
    """A grant that has not ended.

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
    """Lease of one server and what was granted under it.

    Args:
        orphans: Slots that grants unconfirmed here may occupy.
        orphan_safe_ms: Only load reports as of then or later may clear orphans.
        signed_ms: Replies to lease requests sent earlier are out of date.
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
        """Slots that may be occupied on the current boot."""
        live = sum(1 for grant in self.live.values() if grant.boot_id == self.boot_id)
        return live + len(self.lost) + self.orphaned_slots

    def free_slots(self, now_ms: int) -> int:
        """Return how many more requests may be granted now."""
        if now_ms >= self.expires_ms - _EXPIRY_MARGIN_MS:
            return 0
        return max(0, self.open_slots - self.busy)

    def apply_lease(self, grant: LeaseGrant, reply: LeaseReply) -> list[LiveGrant]:
        """Take over a granted or renewed lease.

        Returns:
            Lost grants that ended with a former boot of the server.
        """
        ended: list[LiveGrant] = []
        if self.boot_id != grant.boot_id:
            # The former boot is gone, and with it what ran there.
            ended = list(self.lost.values())
            self.boot_id = grant.boot_id
            self.orphaned_slots = 0
            self.lost.clear()
            self.completed = 0
        if grant.new_holder:
            self.orphaned_slots = max(self.orphaned_slots, grant.inherited_busy)
        self.open_slots = grant.open_slots
        self.expires_ms = max(self.expires_ms, reply.sent_ms + reply.lease_ms)
        self.running = grant.running
        self.report_ms = reply.sent_ms - grant.report_age_ms
        return ended

    def mark_lost(self, grant: LiveGrant, last_start_ms: int) -> None:
        """Note that a grant's end cannot be known from its entry router.

        Args:
            last_start_ms: The grant cannot start any more from then on.
        """
        self.live.pop(grant.key, None)
        self.lost[grant.key] = grant
        self.cleanup_after_ms = last_start_ms

    def mark_running(self, grant: LiveGrant) -> None:
        """Note that an entry router still runs a lost grant."""
        if self.lost.pop(grant.key, None) is not None:
            self.live[grant.key] = grant

    def reconcile(self, confirmation_ms: int) -> list[LiveGrant]:
        """Clear orphans and lost grants that a load report shows to have ended.

        What surely ran when the report was made is known from the entry routers; the
        rest of the report's count bounds what is remaining.

        Args:
            confirmation_ms: An entry router must have reported a request as running this long
                after the load report for it to count as running then.

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
        """Return whether a grant surely ran when the load report was made."""
        if grant.boot_id != self.boot_id:
            return False
        if grant.first_seen_ms is None or grant.last_seen_ms is None:
            return False
        confirmed_ms = self.report_ms + confirmation_ms
        return grant.first_seen_ms <= self.report_ms and grant.last_seen_ms >= confirmed_ms

"""Exchanges the counts of rollouts between routers, and writes their status.

Routers send their counts to the relay of their zone; relays exchange the sums of their zones and
send the fleet's sum to their zone. Nothing is sent while there is no order.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from attrs import asdict, define, field, fields, frozen

from cicadaledge.clock import clock_ms
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._rollout_guard import RolloutGuard
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._wall_clock import wall_ms
from cicadaledge.logs import PartLog
from cicadaledge.membership import rank
from cicadaledge.placing import FleetLoad, LoadTracker
from cicadaledge.rollouts import (
    OutcomeCounts,
    Rollout,
    RolloutCounts,
    RolloutState,
    RolloutStatus,
)
from cicadaledge.store import StatusTopic, StoreError
from cicadaledge.wire import RolloutCell, RolloutView, ViewScope

_UNKNOWN_AGE = -1
_COUNT_NAMES = tuple(one.name for one in fields(OutcomeCounts))
# A failed write of a status is retried after this delay; several attempts fit into the margin that
# is left before a deadline.
_RETRY_MS = 300.0
# Routers that are not relays write a status that no relay has written, spread over this time, so
# that the first of them is seen before most of the others write.
_SPREAD_MS = 6_000.0
_HASH_RANGE = 2**32
_log = PartLog("rollouts")


@frozen
class FleetRoles:
    """The roles of routers in the exchange, as one router knows them.

    Args:
        router: This router.
        relays: Relays of the zones that are known to this router, by zone.
        zone: Zone of this router.
        members: Linked routers of the zone.
    """

    router: str
    incarnation: int
    relays: dict[str, str]
    zone: str
    members: list[str]

    @property
    def is_relay(self) -> bool:
        """Whether this router is the relay of its zone."""
        return self.relays.get(self.zone) == self.router


class FleetPeers(Protocol):
    """Links to the other routers."""

    def roles(self) -> FleetRoles:
        """Return the current roles."""

    def send_rollout(self, peer: str, view: RolloutView) -> None:
        """Send counts to a linked router."""


@define
class _Writing:
    """A status that is to be written.

    Args:
        due_ms: Time at which it became due.
        next_ms: Time of the next attempt.
    """

    status: RolloutStatus
    due_ms: float
    next_ms: float = 0.0
    task: asyncio.Task[None] | None = field(default=None)


class RolloutExchange:
    """Keeps one router's part of the exchange.

    Args:
        topic: Where the status is written; None if the store has no such topic.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        guard: RolloutGuard,
        peers: FleetPeers,
        fleet: FleetLoad,
        load: LoadTracker,
        topic: StatusTopic | None,
        metrics: EdgeMetrics,
        now_ms: Callable[[], float] = clock_ms,
    ) -> None:
        self._settings = settings.rollouts
        self._guard = guard
        self._keeper = guard.keeper
        self._peers = peers
        self._fleet = fleet
        self._load = load
        self._topic = topic
        self._metrics = metrics
        self._now_ms = now_ms
        self._writings: dict[str, _Writing] = {}
        self._synced_ms = 0.0

    def tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the background tasks; there are none where the settings do not ask for rollouts."""
        return [self.keep_decided] if self._settings.is_enabled else []

    async def keep_decided(self) -> None:
        """Decide on all rollouts and exchange counts, forever."""
        while True:
            self.step(self._now_ms())
            await asyncio.sleep(self._settings.tick_ms / 1000)

    def step(self, now_ms: float) -> None:
        """Decide on all rollouts once."""
        self._keeper.refresh_due(now_ms)
        rollouts = self._keeper.rollouts()
        if not rollouts:
            return
        roles = self._peers.roles()
        is_alone = self._fleet.is_current(now_ms) and self._fleet.router_count(now_ms) == 1
        for rollout in rollouts:
            rollout.settle_age(now_ms, round(wall_ms()))
            is_heard = now_ms - rollout.tally.heard_ms <= self._settings.view_age_ms
            is_informed = self._fleet.is_current(now_ms) and (is_alone or is_heard)
            rollout.longest_ms = self._guard.longest_ms(rollout.order.service)
            former = self._keeper.groups(rollout.order.service).former
            wanted = self._keeper.decide(
                rollout,
                sum(self._load.totals(name, now_ms).running for name in former),
                now_ms,
                is_relay=roles.is_relay,
                is_informed=is_informed,
            )
            self._metrics.set_gauge(f"rollout_fraction_{rollout.order.service}", rollout.fraction)
            self._write_due(rollout, wanted, roles, now_ms, is_informed=is_informed)
        if now_ms - self._synced_ms >= self._settings.exchange_ms:
            self._synced_ms = now_ms
            for rollout in rollouts:
                if not rollout.is_over:
                    self._send_counts(rollout, roles, now_ms)

    def receive(self, peer: str, view: RolloutView) -> None:
        """Take over the counts of another router, of a zone or of the fleet."""
        rollout = self._keeper.rollout(view.service)
        if rollout is None or str(rollout.order.to) != view.to:
            return
        now_ms = self._now_ms()
        if view.age_ms != _UNKNOWN_AGE:
            rollout.learn_age(view.age_ms, now_ms)
        counts = _decode_cells(view.cells)
        roles = self._peers.roles()
        match view.scope:
            case ViewScope.SENDER:
                rollout.tally.record_member(peer, view.incarnation, counts, now_ms)
            case ViewScope.ZONE:
                rollout.tally.record_zone(view.zone, counts, now_ms)
            case _ if peer == roles.relays.get(roles.zone):
                rollout.tally.record_fleet(counts, now_ms)

    def _send_counts(self, rollout: Rollout, roles: FleetRoles, now_ms: float) -> None:
        age_ms = rollout.age_ms(now_ms)
        tally = rollout.tally

        def view(scope: ViewScope, counts: RolloutCounts) -> RolloutView:
            return RolloutView(
                int(scope),
                rollout.order.service,
                str(rollout.order.to),
                roles.zone,
                roles.incarnation,
                _UNKNOWN_AGE if age_ms is None else round(age_ms),
                _encode_cells(counts),
            )

        if not roles.is_relay:
            relay = roles.relays.get(roles.zone)
            if relay:
                self._peers.send_rollout(relay, view(ViewScope.SENDER, tally.own))
            return
        zone_view = view(ViewScope.ZONE, tally.zone_sum())
        for zone, relay in roles.relays.items():
            if zone != roles.zone:
                self._peers.send_rollout(relay, zone_view)
        fleet_view = view(ViewScope.ALL_BUT_RECEIVER, tally.fleet_sum(is_relay=True))
        for member in roles.members:
            self._peers.send_rollout(member, fleet_view)

    # Writing the status

    def _write_due(
        self,
        rollout: Rollout,
        wanted: RolloutState,
        roles: FleetRoles,
        now_ms: float,
        *,
        is_informed: bool,
    ) -> None:
        service = rollout.order.service
        status = rollout.due_status(wanted, round(wall_ms()), now_ms)
        if status is None or self._topic is None:
            self._writings.pop(service, None)
            return
        is_decision = status != rollout.status  # and not a known status that the store has lost
        if is_decision and not is_informed and status.state is not RolloutState.ROLLED_BACK:
            return
        writing = self._writings.get(service)
        if writing is None or (writing.status.to, writing.status.state) != (
            status.to,
            status.state,
        ):
            writing = self._writings[service] = _Writing(status, now_ms)
        is_busy = writing.task is not None and not writing.task.done()
        turn_ms = writing.due_ms + self._delay_ms(service, roles)
        if is_busy or now_ms < max(turn_ms, writing.next_ms):
            return
        writing.next_ms = now_ms + _RETRY_MS
        writing.task = asyncio.create_task(self._write(rollout, status))

    def _delay_ms(self, service: str, roles: FleetRoles) -> float:
        """Return after which time this router writes a status that is due.

        The first of the known relays by rendezvous hash is the decider and writes at once. The
        other relays are its deputies, and all other routers theirs.
        """
        if not roles.is_relay:
            digest = hashlib.blake2b(f"{service}/{roles.router}".encode(), digest_size=4).digest()
            position = int.from_bytes(digest, "big") / _HASH_RANGE
            return 2.0 * self._settings.deputy_ms + position * _SPREAD_MS
        is_decider = rank(f"rollout/{service}", set(roles.relays.values()))[0] == roles.router
        return 0.0 if is_decider else self._settings.deputy_ms

    async def _write(self, rollout: Rollout, status: RolloutStatus) -> None:
        assert self._topic is not None
        try:
            await self._topic.write(status)
        except StoreError as error:
            self._metrics.count_rollout("status not written")
            _log.warning(
                "Status of the rollout could not be written and will be retried.",
                service=status.service,
                state=status.state.value,
                error=str(error),
            )
            return
        self._metrics.count_rollout("status written")
        rollout.record_written(status, self._now_ms())
        _log.info(
            "Status of the rollout is written.",
            service=status.service,
            to=status.to,
            state=status.state.value,
            reason=rollout.evidence.reason,
        )


def _encode_cells(counts: RolloutCounts) -> list[RolloutCell]:
    return [
        RolloutCell(route, is_new, **asdict(cell, recurse=False))
        for (route, is_new), cell in counts.cells.items()
    ]


def _decode_cells(cells: list[RolloutCell]) -> RolloutCounts:
    return RolloutCounts(
        {
            (cell.route, cell.is_new): OutcomeCounts(
                *(getattr(cell, name) for name in _COUNT_NAMES)
            )
            for cell in cells
        }
    )

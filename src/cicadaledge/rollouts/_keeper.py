"""The rollouts of all services as known to one router.

Covers orders that come early, late, again, instead of another one or not at all, and routers that
start while a rollout runs.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from attrs import define, field

from cicadaledge.logs import PartLog
from cicadaledge.rollouts._outcomes import AnswerOutcome, OutcomeRecorder
from cicadaledge.rollouts._records import RolloutOrder, RolloutState, RolloutStatus
from cicadaledge.rollouts._rollout import Rollout
from cicadaledge.rollouts._settings import RolloutSettings
from cicadaledge.rollouts._sides import FractionSampler, RequestSide, allowed_servers
from cicadaledge.rollouts._versions import (
    REPLACEMENT_MS,
    VersionGate,
    VersionGroups,
    group_servers,
)
from cicadaledge.routing import ServerDirectory, ServerEntry, Version

# An order that is missing is withdrawn after this time. After a restore of the store, the operator
# writes its records again within about two seconds.
_MISSING_ORDER_MS = 6_000.0
_NOTHING: frozenset[str] = frozenset()
_log = PartLog("rollouts")


@define
class _Service:
    """What is known of the versions of one service.

    Args:
        held: Servers that wait until the operator's records have been read again.
    """

    rollout: Rollout | None = None
    gate: VersionGate = field(factory=VersionGate)
    groups: VersionGroups = VersionGroups()
    held: frozenset[str] = _NOTHING
    sampler: FractionSampler = field(factory=FractionSampler)


class RolloutKeeper:
    """Keeps the rollouts of all services, and groups their servers by version.

    Args:
        region_of: Returns the region of an availability zone.
        orders_known_ms: Returns when the operator's records were last known to be current.
        random_source: Draws the first requests for the new version.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        directory: ServerDirectory,
        region_of: Callable[[str], str],
        orders_known_ms: Callable[[], float],
        random_source: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._region_of = region_of
        self._orders_known_ms = orders_known_ms
        self._random = random_source or random.Random()
        self._services: dict[str, _Service] = {}
        self._statuses: dict[str, RolloutStatus] = {}
        self._outcomes = OutcomeRecorder(directory)
        self._generation = -1
        self._has_read_orders = False

    def rollouts(self) -> list[Rollout]:
        """Return the rollouts that have an order or had one that was withdrawn."""
        return [one.rollout for one in self._services.values() if one.rollout is not None]

    def rollout(self, service: str) -> Rollout | None:
        """Return the rollout of a service, or None."""
        known = self._services.get(service)
        return known.rollout if known else None

    def groups(self, service: str) -> VersionGroups:
        """Return the groups of a service's servers."""
        known = self._services.get(service)
        return known.groups if known else VersionGroups()

    # Orders and status

    def apply_order(self, order: RolloutOrder, now_ms: float, wall_ms: int) -> None:
        """Start a rollout, unless the same order is already known."""
        known = self._services.setdefault(order.service, _Service())
        self.refresh(now_ms)
        previous = known.rollout
        if previous is not None and previous.order.to == order.to and not previous.is_withdrawn:
            previous.missing_ms = None
            previous.order = order  # the operator has written it again, perhaps with more time
            return
        former = self._former_versions(known, order, now_ms)
        is_observed = self._has_read_orders
        rollout = Rollout(order, self._settings, now_ms, is_observed, wall_ms, former)
        self._outcomes.seed(rollout)
        known.rollout = rollout
        known.sampler = FractionSampler(self._random)
        status = self._statuses.get(order.service)
        if status is not None and (previous is None or not previous.is_withdrawn):
            rollout.apply_status(status, now_ms)
        self.refresh(now_ms)
        _log.info(
            "Rollout is ordered.",
            service=order.service,
            to=order.to,
            duration_ms=order.duration_ms,
            former=sorted(map(str, former)),
            state=rollout.state.value,
        )

    def _former_versions(
        self, known: _Service, order: RolloutOrder, now_ms: float
    ) -> frozenset[Version]:
        """Return the versions in use before an order, or nothing if they are not known."""
        previous = known.rollout
        if previous is not None:
            usable = self._directory.usable_by_name(order.service)
            groups = known.groups
            if previous.state is RolloutState.COMPLETED:
                in_use = groups.all_new | groups.replacements or groups.others
                return frozenset(usable[name].version for name in in_use) - {order.to}
            present = frozenset(usable[name].version for name in groups.others)
            return (previous.former or present) - {order.to}
        if not self._has_read_orders:
            return frozenset()
        self._refresh_gate(known, order.service, now_ms)
        return known.gate.versions() - {order.to}

    def withdraw(self, service: str, now_ms: float) -> None:
        """End a rollout whose order's record was deleted."""
        known = self._services.get(service)
        rollout = known.rollout if known is not None else None
        if known is None or rollout is None or rollout.is_withdrawn:
            return
        _log.info("Order of the rollout is withdrawn.", service=service, state=rollout.state.value)
        if rollout.state is RolloutState.COMPLETED:
            known.rollout = None
        else:
            rollout.is_withdrawn = True
            rollout.fraction = 0.0
        self.refresh(now_ms)

    def retain_orders(self, services: set[str], now_ms: float) -> None:
        """Note the orders that a complete read of the operator's records did not return.

        A store that was restored from a copy may lack them until the operator has written them
        again, so that they are withdrawn only if they stay missing.
        """
        for service, known in self._services.items():
            rollout = known.rollout
            if rollout is not None and service not in services and rollout.missing_ms is None:
                rollout.missing_ms = now_ms
        self._has_read_orders = True

    def apply_status(self, status: RolloutStatus, now_ms: float) -> None:
        """Apply a status that was read from the store."""
        self._statuses[status.service] = status
        rollout = self.rollout(status.service)
        if rollout is None or not rollout.apply_status(status, now_ms):
            return
        rollout.fraction = float(rollout.state is RolloutState.COMPLETED)
        self.refresh(now_ms)
        _log.info(
            "Status of the rollout has changed.",
            service=status.service,
            to=status.to,
            state=status.state.value,
        )

    def retain_statuses(self, services: set[str]) -> None:
        """Note which status the store no longer holds, so that it is written again."""
        for service in self._statuses.keys() - services:
            del self._statuses[service]
        for rollout in self.rollouts():
            if rollout.order.service not in services:
                rollout.stored = None

    # Choice of servers

    def allowed_servers(
        self, service: str, route: str, side: RequestSide, tried: set[str], now_ms: float
    ) -> list[frozenset[str]] | None:
        """Return the groups of servers that a request may go to, the preferred one first.

        None allows all.
        """
        known = self._services.setdefault(service, _Service())
        if self._directory.generation != self._generation:
            self.refresh(now_ms)
        if known.rollout is not None:
            known.rollout.expire_fraction(now_ms)
        else:
            usable = self._directory.usable_by_name(service)
            return [frozenset(usable) - known.held] if known.held else None
        return allowed_servers(known.rollout, route, side, known.groups, tried, known.sampler)

    def unused_servers(self, service: str) -> frozenset[str]:
        """Return the usable servers to which no new request is sent now."""
        known = self._services.get(service)
        if known is None or known.rollout is None:
            return known.held if known else _NOTHING
        rollout = known.rollout
        if rollout.fraction >= 1.0:
            return known.groups.former
        canaries = known.groups.canaries(rollout.fraction) if rollout.fraction > 0.0 else _NOTHING
        return known.groups.all_new - canaries

    def refresh(self, now_ms: float) -> None:
        """Group the servers of all services anew."""
        directory = self._directory
        self._generation = directory.generation
        for service, known in self._services.items():
            rollout = known.rollout
            if rollout is None:
                self._refresh_gate(known, service, now_ms)
                continue
            entries = list(directory.usable(service))
            replacements = _NOTHING
            if rollout.state is RolloutState.COMPLETED and rollout.finished_ms is not None:
                latest_ms = rollout.finished_ms + REPLACEMENT_MS
                replacements = frozenset(
                    entry.server
                    for entry in entries
                    if directory.first_seen_ms(entry.server) > latest_ms
                )
            known.groups = group_servers(
                entries,
                rollout.order.to,
                rollout.former,
                lambda name: directory.cold_until_ms(name) > now_ms,
                self._region_of,
                replacements,
            )

    def refresh_due(self, now_ms: float) -> None:
        """Withdraw missing orders, and group the servers anew where the groups change with time."""
        for service, known in self._services.items():
            rollout = known.rollout
            if rollout is None or rollout.missing_ms is None:
                continue
            if now_ms - rollout.missing_ms >= _MISSING_ORDER_MS:
                self.withdraw(service, now_ms)
        if any(one.held or one.rollout is not None for one in self._services.values()):
            self.refresh(now_ms)

    def _refresh_gate(self, known: _Service, service: str, now_ms: float) -> None:
        known.held = known.gate.held(
            list(self._directory.usable(service)),
            self._directory.first_seen_ms,
            self._orders_known_ms(),
            now_ms,
        )

    # Counts and decisions

    def decide(
        self,
        rollout: Rollout,
        former_running: int,
        now_ms: float,
        *,
        is_relay: bool,
        is_informed: bool,
    ) -> RolloutState:
        """Update a rollout from the fleet's counts; return the state that it should have.

        Args:
            former_running: Requests that the fleet runs on the former servers.
        """
        if rollout.is_over:
            return rollout.state
        self._outcomes.settle_lost(rollout, now_ms)
        counts = rollout.tally.fleet_sum(is_relay=is_relay)
        groups = self.groups(rollout.order.service)
        wanted = rollout.update(counts, groups, former_running, now_ms, is_informed=is_informed)
        if rollout.has_news(now_ms):
            new = counts.side(is_new=True)
            _log.info(
                "Fraction for the new version has changed.",
                service=rollout.order.service,
                stage=rollout.stage.value,
                fraction=round(rollout.fraction, 4),
                is_informed=is_informed,
                evidence=round(rollout.evidence.strength, 1),
                reason=rollout.evidence.reason,
                new_sent=new.sent,
                new_answered=new.answered,
                new_failed=new.failed,
                new_slow=new.slow,
                new_servers=len(groups.new),
                former_running=former_running,
            )
        return wanted

    def counted_rollout(self, service: str) -> Rollout | None:
        """Return the rollout for which a service's requests are counted, or None."""
        rollout = self.rollout(service)
        return rollout if rollout is not None and not rollout.is_over else None

    def record_sent(self, service: str, route: str, server: ServerEntry, *, is_first: bool) -> None:
        """Count a request that is about to be sent.

        Args:
            is_first: Whether it is sent for the first time; to the new version, all count.
        """
        rollout = self.counted_rollout(service)
        if rollout is None:
            return
        is_new = server.version == rollout.order.to
        if is_new or is_first:
            rollout.tally.own.cell(route, is_new=is_new).sent += 1

    def record_outcome(self, outcome: AnswerOutcome, now_ms: float) -> bool:
        """Count an outcome; return whether it was a bad answer of the new version."""
        return self._outcomes.record(outcome, self.counted_rollout(outcome.service), now_ms)

"""Applies rollouts to the requests of a router, and the store's records to its rollouts."""

from __future__ import annotations

from cicadaledge.clock import clock_ms
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._attempt import Attempt, AttemptEnd, AttemptResult
from cicadaledge.edge._control_state import ControlPlaneState
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._wall_clock import wall_ms
from cicadaledge.rollouts import AnswerOutcome, RolloutKeeper, RolloutState
from cicadaledge.routing import ServerEntry
from cicadaledge.store import Change, RolloutOrdered, RolloutStatusSeen

_OK = 200
_FIRST_ERROR = 500
# Cost of an answer that does not depend on its length, in tokens.
_BASE_TOKENS = 500
_FAR_SUFFIX = " (other region)"
_ANSWER_ENDS = (AttemptEnd.ANSWERED, AttemptEnd.FAILED, AttemptEnd.LOST)
# A few groups are in use at a time; others have been left by a change of the fraction.
_MAX_COMPLEMENTS = 64
_NOTHING: frozenset[str] = frozenset()


class RolloutGuard:
    """Keeps each request to the versions that it may go to; the sink of orders and status.

    It does nothing unless the settings enable rollouts.

    Attributes:
        keeper: The rollouts.
    """

    def __init__(
        self, settings: EdgeSettings, control_state: ControlPlaneState, metrics: EdgeMetrics
    ) -> None:
        self._settings = settings
        self._control_state = control_state
        self._metrics = metrics
        self._is_enabled = settings.rollouts.is_enabled
        self._generation = -1
        self._complements: dict[frozenset[str], frozenset[str]] = {}
        self.keeper = RolloutKeeper(
            settings.rollouts,
            control_state.directory,
            settings.region_of,
            lambda: clock_ms() - control_state.proof_age_ms(clock_ms()),
        )

    def apply(self, change: Change, now_ms: float) -> None:
        """Apply an order, its withdrawal, or a status."""
        if not self._is_enabled:
            return
        match change:
            case RolloutOrdered(service, None):
                self.keeper.withdraw(service, now_ms)
            case RolloutOrdered(_, order) if order is not None:
                self.keeper.apply_order(order, now_ms, round(wall_ms()))
            case RolloutStatusSeen(status):
                self.keeper.apply_status(status, now_ms)

    def on_complete_read_of_orders(self, changes: list[Change], now_ms: float) -> None:
        """Note which orders a complete read did not return."""
        orders = [one for one in changes if isinstance(one, RolloutOrdered) and one.order]
        self.keeper.retain_orders({one.service for one in orders}, now_ms)

    def on_complete_read(self, changes: list[Change], now_ms: float) -> None:
        """Note which status a complete read did not return."""
        seen = [one for one in changes if isinstance(one, RolloutStatusSeen)]
        self.keeper.retain_statuses({one.status.service for one in seen})

    def record_proof(self, proof_ms: float, now_ms: float) -> None:
        """Do nothing: a router acts on the fleet's counts while the status is out of date."""

    def on_store_recovered(self, outage_ms: float, now_ms: float) -> None:
        """Do nothing: a status does not expire during an outage."""

    def on_epoch_changed(self, now_ms: float) -> None:
        """Do nothing: a status that a restored store lacks is found by the next complete read."""

    def longest_ms(self, service: str) -> float:
        """Return the longest time that a request of a service may take."""
        table = self._control_state.table
        timeouts_ms = [
            route.timeout_ms
            for route in (table.routes if table is not None else ())
            if any(weight.service == service for weight in route.split)
        ]
        return max(timeouts_ms, default=0.0)

    def excluded_servers(self, request: ActiveRequest) -> list[frozenset[str]]:
        """Return the sets of servers that a request must not go to, the preferred set first."""
        if not self._is_enabled:
            return [_NOTHING]
        service = request.service.name
        side = request.side
        side.is_retry = bool(request.reached_servers or request.call.resume_after)
        allowed = self.keeper.allowed_servers(
            service, request.route.name, side, request.tried_servers, clock_ms()
        )
        if allowed is None:
            return [_NOTHING]
        usable = self._control_state.directory.usable_by_name(service)
        if not allowed:
            return [frozenset(usable)]
        return [self._complement(group, usable) for group in allowed]

    def _complement(self, group: frozenset[str], usable: dict[str, ServerEntry]) -> frozenset[str]:
        """Return the usable servers outside a group; waiting requests ask for it often."""
        generation = self._control_state.directory.generation
        if generation != self._generation:
            self._generation = generation
            self._complements.clear()
        if group not in self._complements:
            if len(self._complements) >= _MAX_COMPLEMENTS:
                self._complements.clear()
            self._complements[group] = frozenset(usable) - group
        return self._complements[group]

    def unused_servers(self, service: str) -> frozenset[str]:
        """Return the servers of a service whose version gets no requests now."""
        return self.keeper.unused_servers(service) if self._is_enabled else _NOTHING

    def may_send(self, request: ActiveRequest, server: ServerEntry) -> bool:
        """Return whether a server that was chosen earlier may still get a request."""
        rollout = self.keeper.rollout(request.service.name) if self._is_enabled else None
        if rollout is None:
            return True
        rollout.expire_fraction(clock_ms())
        is_new = server.version == rollout.order.to
        if rollout.state is RolloutState.RUNNING and (not is_new or rollout.fraction > 0.0):
            return True
        return any(server.server not in excluded for excluded in self.excluded_servers(request))

    def record_sent(self, request: ActiveRequest, server: ServerEntry) -> None:
        """Count a request that is about to be sent."""
        service = request.service.name
        rollout = self.keeper.counted_rollout(service) if self._is_enabled else None
        if rollout is None:
            return
        is_first = not request.reached_servers
        self.keeper.record_sent(service, request.route.name, server, is_first=is_first)
        is_new = request.side.is_for_new = server.version == rollout.order.to
        self._metrics.count_rollout("sent to new" if is_new else "sent to former")

    def record_ended(
        self,
        request: ActiveRequest,
        server: ServerEntry,
        attempt: Attempt,
        result: AttemptResult,
        started_ms: float,
    ) -> None:
        """Count the outcome of an attempt."""
        if not self._is_enabled or result.end not in _ANSWER_ENDS:
            return
        took_ms = None
        if result.end is AttemptEnd.ANSWERED and result.status == _OK:
            took_ms = self._took_ms(request, attempt, started_ms)
        outcome = AnswerOutcome(
            request.service.name,
            self._outcome_route(request, server),
            server,
            started_ms,
            failed=result.failed or (result.status or 0) >= _FIRST_ERROR,
            is_lost=result.end is AttemptEnd.LOST,
            took_ms=took_ms,
        )
        self._record(outcome)

    def record_silent(self, request: ActiveRequest, server: ServerEntry, started_ms: float) -> None:
        """Count a request that a server did not answer within its caller's time."""
        if self._is_enabled:
            route = self._outcome_route(request, server)
            self._record(
                AnswerOutcome(request.service.name, route, server, started_ms, is_silent=True)
            )

    def _record(self, outcome: AnswerOutcome) -> None:
        if self.keeper.record_outcome(outcome, clock_ms()):
            self._metrics.count_rollout("bad answer of new")

    def _outcome_route(self, request: ActiveRequest, server: ServerEntry) -> str:
        """Return the name under which outcomes are compared.

        The way to another region takes longer than many answers, so that those from there are
        compared only with each other.
        """
        is_near = self._settings.region_of(server.zone) == self._settings.region
        return request.route.name if is_near else request.route.name + _FAR_SUFFIX

    @staticmethod
    def _took_ms(request: ActiveRequest, attempt: Attempt, started_ms: float) -> float | None:
        """Return the time that an answer took, or None if it cannot be compared.

        The caller's slowness does not count. For engines, the time is given for 1,000 tokens.
        """
        is_whole = not request.side.is_resumed and not request.call.resume_after
        if attempt.first_byte_ms is None or not is_whole:
            return None
        took_ms = (attempt.last_byte_ms or attempt.first_byte_ms) - started_ms
        took_ms = max(took_ms - attempt.caller_wait_ms, 1.0)
        if request.service.engine is None:
            return took_ms
        return took_ms * 1000 / (request.call.cost_tokens + _BASE_TOKENS)

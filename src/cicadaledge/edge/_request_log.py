"""Logs the decisions about a request with their inputs and the age of those inputs."""

from __future__ import annotations

from typing import Any

from cicadaledge.clock import clock_ms
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._attempt import Attempt, AttemptResult
from cicadaledge.edge._control_state import ControlPlaneState
from cicadaledge.logs import PartLog
from cicadaledge.placing import (
    AccountShares,
    Chosen,
    EngineCapacity,
    LoadTracker,
    Refused,
    ShareUse,
)

_log = PartLog("request")


class RequestLog:
    """Logs how one router handles its requests.

    Of the logged fields, `use_of_share` is the rate admitted for the account as a multiple of its
    fair share, `use_of_least` that rate as a multiple of the least served account's,
    `served_fraction` that rate as a fraction of what the account is entitled to, `begun_per_s` the
    tokens per second that all engines begin, `admissible_per_s` the rate that shares divide,
    `engines_used` the mean fraction of the engines' slots or backlog in use, and `learnt_factor` the
    learned correction by which the engine model's prediction was multiplied.

    Args:
        control_state: The router's view of configuration and servers.
        load: Load of the servers.
        shares: Token rates of the accounts.
        capacity: Rate that may be admitted to the engines.
    """

    def __init__(
        self,
        control_state: ControlPlaneState,
        load: LoadTracker,
        shares: AccountShares,
        capacity: EngineCapacity,
    ) -> None:
        self._control_state = control_state
        self._load = load
        self._shares = shares
        self._capacity = capacity

    def log_placed(
        self, request: ActiveRequest, chosen: Chosen, use: ShareUse, now_ms: float
    ) -> None:
        """Log the server chosen for a request."""
        totals = self._load.totals(chosen.server.server, now_ms)
        _log.info(
            "Placed.",
            server=chosen.server.server,
            sequence=chosen.server.sequence,
            attempt=request.attempts + 1,
            unread_tokens=chosen.placement.unread_tokens,
            predicted_ms=round(chosen.predicted_ms),
            learnt_factor=round(chosen.factor, 2),
            reported_factor=round(self._load.speed_reports.factor(chosen.server.server, now_ms), 2),
            running=totals.running,
            running_unread_tokens=totals.unread_tokens,
            proof_age_ms=_rounded_age_ms(self._control_state.proof_age_ms(now_ms)),
            servers_age_ms=_rounded_age_ms(self._control_state.servers_age_ms(now_ms)),
            **self._common_fields(request, use, now_ms),
        )

    def log_not_placed(
        self, request: ActiveRequest, refused: Refused, use: ShareUse, now_ms: float
    ) -> None:
        """Log why no server was chosen for a request."""
        usage = self._shares.latest_rates(request.account_name or "")
        _log.info(
            "No server was chosen.",
            reason=refused.reason,
            limit=refused.limit,
            server=refused.server,
            running=refused.totals.running,
            running_unread_tokens=refused.totals.unread_tokens,
            sent_last_s=refused.totals.sent_last_s,
            asked_per_s=round(usage.asked_per_s),
            admitted_per_s=round(usage.admitted_per_s),
            prompt_tokens=request.call.prompt_tokens,
            **self._common_fields(request, use, now_ms),
        )

    @staticmethod
    def log_attempt_ended(
        request: ActiveRequest,
        chosen: Chosen,
        attempt: Attempt,
        result: AttemptResult,
        sent_ms: float,
    ) -> None:
        """Log how an attempt ended.

        Args:
            sent_ms: Time at which the attempt started.
        """
        first_byte_ms = attempt.first_byte_ms
        _log.info(
            "Attempt to run the request on a server has ended.",
            request_id=request.call.request_id,
            route=request.route.name,
            server=chosen.server.server,
            connection=attempt.connection_number,
            late_responses=attempt.late_responses,
            end=result.end.value,
            status=result.status,
            reason=result.reason,
            predicted_ms=round(chosen.predicted_ms),
            first_ms=first_byte_ms and round(first_byte_ms - sent_ms),
            longest_pause_ms=round(attempt.longest_pause_ms),
            took_ms=round(clock_ms() - sent_ms),
        )

    def _common_fields(
        self, request: ActiveRequest, use: ShareUse, now_ms: float
    ) -> dict[str, Any]:
        """Return the inputs that are common to all placement decisions."""
        used = self._capacity.used_fraction
        return {
            "request_id": request.call.request_id,
            "route": request.route.name,
            "account": request.account_name,
            "cost_tokens": request.call.cost_tokens,
            "use_of_share": round(use.share_multiple, 2),
            "use_of_least": round(use.least_served_multiple, 2),
            "served_fraction": round(use.served_fraction, 2),
            "share_per_s": self._shares.share_per_s,
            "begun_per_s": round(self._load.begun_per_s(now_ms)),
            "admissible_per_s": self._capacity.latest_per_s,
            "engines_used": None if used is None else round(used, 2),
            "rates_age_ms": _rounded_age_ms(self._shares.rates_age_ms(now_ms)),
            "routers": self._load.router_count(now_ms),
            "waited_ms": round(now_ms - request.call.started_ms),
            "version": request.table.version,
        }


def _rounded_age_ms(age_ms: float) -> int | None:
    """Return an age in whole milliseconds, or None before the first reading."""
    return None if age_ms == float("inf") else round(age_ms)

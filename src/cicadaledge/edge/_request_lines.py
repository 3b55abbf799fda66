"""Log lines on what was decided about a request, with the inputs and their age."""

from __future__ import annotations

from typing import Any

from cicadaledge.edge._attempt import AttemptResult
from cicadaledge.edge._beliefs import ControlPlaneState
from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._work import ActiveRequest
from cicadaledge.logs import PartLog
from cicadaledge.placing import AccountShares, Chosen, LoadTracker, Refused, ShareUse

_log = PartLog("request")


class RequestLog:
    """Writes the lines of one router's requests.

    Args:
        beliefs: Configuration and servers that decided.
        load: Load of the servers that decided.
        shares: Accounts' rates that decided.
    """

    def __init__(
        self, beliefs: ControlPlaneState, load: LoadTracker, shares: AccountShares
    ) -> None:
        self._beliefs = beliefs
        self._load = load
        self._shares = shares

    def log_placed(self, work: ActiveRequest, chosen: Chosen, use: ShareUse, now_ms: float) -> None:
        """Say where a request goes."""
        totals = self._load.totals(chosen.server.server, now_ms)
        _log.info(
            "Placed.",
            server=chosen.server.server,
            sequence=chosen.server.sequence,
            attempt=work.attempts + 1,
            unread_tokens=chosen.placement.unread_tokens,
            predicted_ms=round(chosen.predicted_ms),
            learnt_factor=round(chosen.factor, 2),
            running=totals.running,
            running_unread_tokens=totals.unread_tokens,
            proof_age_ms=_rounded(self._beliefs.proof_age_ms(now_ms)),
            servers_age_ms=_rounded(self._beliefs.servers_age_ms(now_ms)),
            **self._inputs(work, use, now_ms),
        )

    def log_not_placed(
        self, work: ActiveRequest, refused: Refused, use: ShareUse, now_ms: float
    ) -> None:
        """Say why no server was chosen."""
        rates = self._shares.latest_rates(work.account_name or "")
        _log.info(
            "No server was chosen.",
            reason=refused.reason,
            limit=refused.limit,
            server=refused.server,
            running=refused.totals.running,
            running_unread_tokens=refused.totals.unread_tokens,
            sent_last_s=refused.totals.sent_last_s,
            asked_per_s=round(rates.asked_per_s),
            admitted_per_s=round(rates.admitted_per_s),
            prompt_tokens=work.call.prompt_tokens,
            **self._inputs(work, use, now_ms),
        )

    @staticmethod
    def log_attempt_ended(
        work: ActiveRequest,
        chosen: Chosen,
        result: AttemptResult,
        first_ms: float | None,
        sent_ms: float,
    ) -> None:
        """Say how an attempt ended.

        Args:
            first_ms: When the first byte came, or None.
            sent_ms: When the attempt began.
        """
        _log.info(
            "Attempt has ended.",
            request_id=work.call.request_id,
            server=chosen.server.server,
            end=result.end.value,
            status=result.status,
            reason=result.reason,
            predicted_ms=round(chosen.predicted_ms),
            first_ms=first_ms and round(first_ms - sent_ms),
            took_ms=round(clock_ms() - sent_ms),
        )

    def _inputs(self, work: ActiveRequest, use: ShareUse, now_ms: float) -> dict[str, Any]:
        """Return what any decision on placing depends on."""
        return {
            "request_id": work.call.request_id,
            "route": work.route.name,
            "account": work.account_name,
            "cost_tokens": work.call.cost_tokens,
            "use_of_share": round(use.share_multiple, 2),
            "use_of_least": round(use.least_served_multiple, 2),
            "share_per_s": self._shares.share_per_s,
            "rates_age_ms": _rounded(self._shares.rates_age_ms(now_ms)),
            "routers": self._load.router_count(now_ms),
            "waited_ms": round(now_ms - work.call.started_ms),
            "version": work.table.version,
        }


def _rounded(age_ms: float) -> int | None:
    """Return an age as whole milliseconds, or None before the first reading."""
    return None if age_ms == float("inf") else round(age_ms)

"""Load that this router and its peers have placed on the backend servers."""

from __future__ import annotations

from attrs import define, field

from cicadaledge.placing._fleet import FleetLoad
from cicadaledge.placing._rates import RateWindow, SlidingSum
from cicadaledge.placing._server_stats import FirstTokenWaits, ServerOutcomes, ServerTotals
from cicadaledge.placing._speed_reports import SpeedReports, SpeedReportSettings
from cicadaledge.wire import DepartingServer, ServerUse

_RATE_WINDOW_MS = 1_000.0
_NO_LOAD = ServerTotals()
# Answers that engines begin are counted over this time. Long prompts begin rarely, and each counts
# for thousands of tokens.
_BEGUN_WINDOW_MS = 2_000.0
# First-token times and outcomes count for this time: a slow or failing server is detected within
# one second, and gets another chance after three.
_EVIDENCE_WINDOW_MS = 3_000.0
# A first-token time counts as at most this multiple of the expected one, to bound the effect of a
# single request that queued behind load unknown to the router.
_MAX_WAIT_FACTOR = 4.0
# Without recent views, the routers divide this fraction of a rate limit among themselves. The whole
# limit could be exceeded, as the number of routers selected by hash varies, and unreachable routers
# may be missing from the count.
_LIMIT_FRACTION_WITHOUT_VIEWS = 0.5


@define(eq=False)
class Placement:
    """One request on one server.

    Args:
        unread_tokens: Prompt tokens that the server has to process before the first token.
        context_tokens: Tokens that the request occupies in the server's memory until it ends.
        expected_ms: Time to the first token by the engine model, without learned corrections; 0 if
            the measured time would say nothing about the engine's speed.
        awaits_first_token: Whether the first token has not been received.
        ended: Whether the request no longer runs.
    """

    server: str
    unread_tokens: int
    context_tokens: int
    expected_ms: float = 0.0
    awaits_first_token: bool = True
    ended: bool = False


@define
class _OwnLoad:
    running: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0
    sent: RateWindow = field(factory=lambda: RateWindow(_RATE_WINDOW_MS))
    waited_ms: SlidingSum = field(factory=lambda: SlidingSum(_EVIDENCE_WINDOW_MS))
    expected_ms: SlidingSum = field(factory=lambda: SlidingSum(_EVIDENCE_WINDOW_MS))
    ended: SlidingSum = field(factory=lambda: SlidingSum(_EVIDENCE_WINDOW_MS))
    failed: SlidingSum = field(factory=lambda: SlidingSum(_EVIDENCE_WINDOW_MS))


class LoadTracker:
    """Tracks the load and outcomes of each server, of this router and the others together.

    Args:
        others: The other routers' load.
        speed_reports: How the speeds that servers report are used.

    Attributes:
        speed_reports: The speeds that the servers report.
    """

    def __init__(
        self, others: FleetLoad, speed_reports: SpeedReportSettings = SpeedReportSettings()
    ) -> None:
        self.speed_reports = SpeedReports(speed_reports, others)
        self._own: dict[str, _OwnLoad] = {}
        self._begun = SlidingSum(_BEGUN_WINDOW_MS)
        self._others = others

    def record_start(self, placement: Placement, now_ms: float) -> None:
        """Record a request that is about to be sent."""
        own = self._own.setdefault(placement.server, _OwnLoad())
        own.running += 1
        own.unread_tokens += placement.unread_tokens
        own.context_tokens += placement.context_tokens
        own.sent.add(now_ms)

    def record_first_token(self, placement: Placement) -> None:
        """Record that the server has processed the prompt."""
        if placement.awaits_first_token:
            placement.awaits_first_token = False
            self._own[placement.server].unread_tokens -= placement.unread_tokens

    def record_begun(self, cost_tokens: int, now_ms: float) -> None:
        """Record that an engine has begun an answer.

        Args:
            cost_tokens: Cost of the request for the engine.
        """
        self._begun.add(cost_tokens, now_ms)

    def record_first_token_wait(
        self, placement: Placement, waited_ms: float, now_ms: float
    ) -> None:
        """Record how long a request has waited for its first token."""
        if placement.expected_ms:
            own = self._own[placement.server]
            own.waited_ms.add(min(waited_ms, placement.expected_ms * _MAX_WAIT_FACTOR), now_ms)
            own.expected_ms.add(placement.expected_ms, now_ms)

    def record_attempt_outcome(self, server: str, now_ms: float, *, failed: bool) -> None:
        """Record whether a request to a server has failed."""
        own = self._own.setdefault(server, _OwnLoad())
        own.ended.add(1.0, now_ms)
        own.failed.add(float(failed), now_ms)

    def record_end(self, placement: Placement) -> None:
        """Record that a request no longer runs."""
        if placement.ended:
            return
        self.record_first_token(placement)
        placement.ended = True
        own = self._own[placement.server]
        own.running -= 1
        own.context_tokens -= placement.context_tokens

    def allows_request(self, server: str, limit_per_s: float, now_ms: float) -> bool:
        """Return whether a limit on the fleet's rate allows one more request to a server.

        Without recent views of the other routers, this router's quota of half the limit decides. It
        counts only routers that are listed or report load, so that a fleet that cannot read its
        list serves callers.
        """
        if not self._others.is_current(now_ms):
            routers = self._others.router_count(now_ms)
            quota_per_s = limit_per_s * _LIMIT_FRACTION_WITHOUT_VIEWS
            return self._quota_allows(server, quota_per_s, routers, now_ms)
        sent = self.totals(server, now_ms).sent_last_s
        return sent + self._others.growth_allowance(sent) + 1 <= max(1.0, limit_per_s)

    def allows_request_by_quota(self, server: str, limit_per_s: float, now_ms: float) -> bool:
        """Return whether this router's quota of a rate limit allows one more request.

        All routers together stay within the limit even if they receive no views of each other and
        cannot read the list of routers. If the quota is less than one request per second, only a
        few selected routers may send.
        """
        routers = self._others.max_router_count(now_ms)
        return self._quota_allows(server, limit_per_s, routers, now_ms)

    def _quota_allows(self, server: str, limit_per_s: float, routers: int, now_ms: float) -> bool:
        sent = self._own_totals(server, now_ms).sent_last_s
        if routers <= limit_per_s:
            return sent + 1 <= limit_per_s / routers
        return sent < 1 and self._others.is_selected_for(server, limit_per_s)

    def totals(self, server: str, now_ms: float) -> ServerTotals:
        """Return the load of a server.

        Without recent views, each of the other routers is assumed to place as much as this one.
        """
        own = self._own_totals(server, now_ms)
        if not self._others.is_current(now_ms):
            return own.scaled(self._others.router_count(now_ms))
        return self._others.server_totals(server, now_ms, own)

    def _own_totals(self, server: str, now_ms: float) -> ServerTotals:
        own = self._own.get(server)
        if own is None:
            return _NO_LOAD
        return ServerTotals(
            own.running,
            own.unread_tokens,
            own.context_tokens,
            own.sent.count(now_ms),
        )

    def first_token_waits(self, server: str, now_ms: float) -> FirstTokenWaits:
        """Return the recent first-token times of a server, at all reporting routers."""
        own = self._own.get(server)
        measured = FirstTokenWaits()
        if own is not None:
            measured = FirstTokenWaits(own.waited_ms.total(now_ms), own.expected_ms.total(now_ms))
        return self._others.server_waits(server, now_ms, measured)

    def outcomes(self, server: str, now_ms: float) -> ServerOutcomes:
        """Return the recent outcomes of a server's requests, at all reporting routers."""
        own = self._own.get(server)
        measured = ServerOutcomes()
        if own is not None:
            measured = ServerOutcomes(own.ended.total(now_ms), own.failed.total(now_ms))
        return self._others.server_outcomes(server, now_ms, measured)

    def departing(self, now_ms: float) -> set[DepartingServer]:
        """Return the servers that have told another router that they are shutting down."""
        return self._others.departing(now_ms)

    def is_selected_for(self, server: str, count: float) -> bool:
        """Return whether this router is among about *count* routers selected for a server."""
        return self._others.is_selected_for(server, count)

    def own_sent_last_s(self, server: str, now_ms: float) -> int:
        """Return how many requests this router sent to a server within the last second."""
        return self._own_totals(server, now_ms).sent_last_s

    def own_begun_per_s(self, now_ms: float) -> float:
        """Return the rate, in tokens per second, of this router's requests that engines begin."""
        return self._begun.per_s(now_ms)

    def begun_per_s(self, now_ms: float) -> float:
        """Return the rate, in tokens per second, of the fleet's requests that engines begin."""
        return self.own_begun_per_s(now_ms) + self._others.begun_per_s(now_ms)

    def own_uses(self, now_ms: float) -> list[ServerUse]:
        """Return the load that this router has placed, for its peers."""
        uses = []
        for server, own in list(self._own.items()):
            sent = own.sent.count(now_ms)
            waited_ms = round(own.waited_ms.total(now_ms))
            expected_ms = round(own.expected_ms.total(now_ms))
            ended = round(own.ended.total(now_ms))
            if own.running or sent or expected_ms or ended:
                uses.append(
                    ServerUse(
                        server,
                        own.running,
                        own.unread_tokens,
                        own.context_tokens,
                        sent,
                        waited_ms,
                        expected_ms,
                        ended,
                        round(own.failed.total(now_ms)),
                    )
                )
            else:
                del self._own[server]
        return uses

    @property
    def max_view_age_ms(self) -> float:
        """Largest age of the load that other routers report, when it is used."""
        return self._others.max_view_age_ms

    def router_count(self, now_ms: float) -> int:
        """Return the number of routers that report load, this one included."""
        return self._others.router_count(now_ms)

    def max_router_count(self, now_ms: float) -> int:
        """Return the largest number of routers that may place requests.

        Includes listed members of which no view is known, and those that may be missing from a list
        that is not known.
        """
        return self._others.max_router_count(now_ms)

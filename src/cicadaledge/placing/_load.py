"""What this router and its peers have placed on the backend servers."""

from __future__ import annotations

from attrs import define, field

from cicadaledge.placing._fleet import FleetLoad
from cicadaledge.placing._rates import RateWindow, SlidingSum
from cicadaledge.placing._totals import FirstTokenWaits, ServerOutcomes, ServerTotals
from cicadaledge.wire import DepartingServer, ServerUse

_SECOND_MS = 1_000.0
_NOTHING = ServerTotals()
_EVIDENCE_MS = 3_000.0  # a slow or failing server is found in one, and gets a chance after three
_MOST_LATE = 4.0  # times what was expected: one request that queued unseen must not say more
_BLIND_PART = 0.5  # routers are drawn by chance, and some that are cut off are not counted


@define(eq=False)
class Placement:
    """One request on one server.

    Args:
        unread_tokens: Prompt tokens that the server has to read before the first token.
        context_tokens: Tokens that it keeps in the server's memory until it ends.
        expected_ms: Time to the first token by the engine's model, before what was learnt; 0
            where the real one tells nothing of the engine's speed.
    """

    server: str
    unread_tokens: int
    context_tokens: int
    expected_ms: float = 0.0
    awaits_first_token: bool = True
    ended: bool = False


@define
class _OwnUse:
    running: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0
    sent: RateWindow = field(factory=lambda: RateWindow(_SECOND_MS))
    waited_ms: SlidingSum = field(factory=lambda: SlidingSum(_EVIDENCE_MS))
    expected_ms: SlidingSum = field(factory=lambda: SlidingSum(_EVIDENCE_MS))
    ended: SlidingSum = field(factory=lambda: SlidingSum(_EVIDENCE_MS))
    failed: SlidingSum = field(factory=lambda: SlidingSum(_EVIDENCE_MS))


class LoadTracker:
    """Sums what runs on each server from own placements and those of the other routers.

    Args:
        others: The other routers' load.
    """

    def __init__(self, others: FleetLoad) -> None:
        self._own: dict[str, _OwnUse] = {}
        self._others = others

    def record_start(self, placement: Placement, now_ms: float) -> None:
        """Count a request that is about to be sent."""
        own = self._own.setdefault(placement.server, _OwnUse())
        own.running += 1
        own.unread_tokens += placement.unread_tokens
        own.context_tokens += placement.context_tokens
        own.sent.add(now_ms)

    def record_first_token(self, placement: Placement) -> None:
        """Note that the server has read the prompt."""
        if placement.awaits_first_token:
            placement.awaits_first_token = False
            self._own[placement.server].unread_tokens -= placement.unread_tokens

    def record_first_token_wait(
        self, placement: Placement, waited_ms: float, now_ms: float
    ) -> None:
        """Note how long a request has waited for its first token."""
        if placement.expected_ms:
            own = self._own[placement.server]
            own.waited_ms.add(min(waited_ms, placement.expected_ms * _MOST_LATE), now_ms)
            own.expected_ms.add(placement.expected_ms, now_ms)

    def record_attempt_outcome(self, server: str, now_ms: float, *, failed: bool) -> None:
        """Note how a request to a server has ended."""
        own = self._own.setdefault(server, _OwnUse())
        own.ended.add(1.0, now_ms)
        own.failed.add(float(failed), now_ms)

    def record_end(self, placement: Placement) -> None:
        """Note that a request no longer runs."""
        if placement.ended:
            return
        self.record_first_token(placement)
        placement.ended = True
        own = self._own[placement.server]
        own.running -= 1
        own.context_tokens -= placement.context_tokens

    def allows_request(self, server: str, limit_per_s: float, now_ms: float) -> bool:
        """Return whether the fleet, as far as it is heard, may send a server one more request."""
        if not self._others.is_current(now_ms):
            return self.allows_request_by_quota(server, limit_per_s * _BLIND_PART, now_ms)
        sent = self.totals(server, now_ms).sent_last_s
        return sent + self._others.growth_allowance(sent) + 1 <= max(1.0, limit_per_s)

    def allows_request_by_quota(self, server: str, limit_per_s: float, now_ms: float) -> bool:
        """Return whether this router's part of a rate allows one more request.

        All routers together stay below the rate whatever they hear of each other. Where it
        allows less than one request a second to each, a few routers are chosen.
        """
        sent = self._own_totals(server, now_ms).sent_last_s
        routers = self._others.max_router_count(now_ms)
        if routers <= limit_per_s:
            return sent + 1 <= limit_per_s / routers
        return sent < 1 and self._others.is_selected_for(server, limit_per_s)

    def totals(self, server: str, now_ms: float) -> ServerTotals:
        """Return the load of a server.

        While the others cannot be heard, each of them is taken to place as much as this one.
        """
        own = self._own_totals(server, now_ms)
        if not self._others.is_current(now_ms):
            return own.scaled(self._others.router_count(now_ms))
        return self._others.server_totals(server, now_ms, own)

    def _own_totals(self, server: str, now_ms: float) -> ServerTotals:
        own = self._own.get(server)
        if own is None:
            return _NOTHING
        return ServerTotals(
            own.running,
            own.unread_tokens,
            own.context_tokens,
            own.sent.count(now_ms),
        )

    def first_token_waits(self, server: str, now_ms: float) -> FirstTokenWaits:
        """Return the first tokens of a server that this router and those heard have seen."""
        own = self._own.get(server)
        seen = FirstTokenWaits()
        if own is not None:
            seen = FirstTokenWaits(own.waited_ms.total(now_ms), own.expected_ms.total(now_ms))
        return self._others.server_waits(server, now_ms, seen)

    def outcomes(self, server: str, now_ms: float) -> ServerOutcomes:
        """Return how a server's requests ended, as this router and those heard have seen it."""
        own = self._own.get(server)
        seen = ServerOutcomes()
        if own is not None:
            seen = ServerOutcomes(own.ended.total(now_ms), own.failed.total(now_ms))
        return self._others.server_outcomes(server, now_ms, seen)

    def departing(self, now_ms: float) -> set[DepartingServer]:
        """Return the servers that told another router that they leave."""
        return self._others.departing(now_ms)

    def is_selected_for(self, server: str, count: float) -> bool:
        """Return whether this router is among about *count* ones chosen for a server."""
        return self._others.is_selected_for(server, count)

    def own_uses(self, now_ms: float) -> list[ServerUse]:
        """Return this router's part, for its peers."""
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

    def router_count(self, now_ms: float) -> int:
        """Return how many routers place requests, this one included."""
        return self._others.router_count(now_ms)

    def max_router_count(self, now_ms: float) -> int:
        """Return how many routers may place requests, those that are not heard included."""
        return self._others.max_router_count(now_ms)

"""What this router and its peers have placed on the backend servers."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

from cicadaledge.placing._rates import RateWindow
from cicadaledge.wire import ServerUse

_VIEW_LIFE_MS = 2_000.0  # a peer that is silent for longer is cut off or gone
_SECOND_MS = 1_000.0


@define(eq=False)
class Placement:
    """One request on one server.

    Args:
        unread_tokens: Prompt tokens that the server has to read before the first token.
        context_tokens: Tokens that it keeps in the server's memory until it ends.
    """

    server: str
    unread_tokens: int
    context_tokens: int
    waits_for_first: bool = True
    ended: bool = False


@frozen
class ServerTotals:
    """Load of one server, of all routers together."""

    running: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0
    sent_last_s: int = 0


@define
class _OwnUse:
    running: int = 0
    unread_tokens: int = 0
    context_tokens: int = 0
    sent: RateWindow = field(factory=lambda: RateWindow(_SECOND_MS))


@define
class _PeerView:
    received_ms: float
    servers: dict[str, ServerUse]


class LoadBook:
    """Sums what runs on each server from own placements and the peers' views."""

    def __init__(self) -> None:
        self._own: dict[str, _OwnUse] = {}
        self._peers: dict[str, _PeerView] = {}

    def start(self, placement: Placement, now_ms: float) -> None:
        """Count a request that is about to be sent."""
        own = self._own.setdefault(placement.server, _OwnUse())
        own.running += 1
        own.unread_tokens += placement.unread_tokens
        own.context_tokens += placement.context_tokens
        own.sent.add(now_ms)

    def first_token(self, placement: Placement) -> None:
        """Note that the server has read the prompt."""
        if placement.waits_for_first:
            placement.waits_for_first = False
            self._own[placement.server].unread_tokens -= placement.unread_tokens

    def end(self, placement: Placement) -> None:
        """Note that a request no longer runs."""
        if placement.ended:
            return
        self.first_token(placement)
        placement.ended = True
        own = self._own[placement.server]
        own.running -= 1
        own.context_tokens -= placement.context_tokens

    def own_sent_last_s(self, server: str, now_ms: float) -> int:
        """Return how many requests this router sent to a server within the last second."""
        own = self._own.get(server)
        return own.sent.count(now_ms) if own else 0

    def totals(self, server: str, now_ms: float) -> ServerTotals:
        """Return the load of a server."""
        own = self._own.get(server)
        running = own.running if own else 0
        unread_tokens = own.unread_tokens if own else 0
        context_tokens = own.context_tokens if own else 0
        sent = own.sent.count(now_ms) if own else 0
        for view in self._peers.values():
            use = view.servers.get(server)
            if use is None or now_ms - view.received_ms > _VIEW_LIFE_MS:
                continue
            running += use.running
            unread_tokens += use.unread_tokens
            context_tokens += use.context_tokens
            sent += use.sent_last_s
        return ServerTotals(running, unread_tokens, context_tokens, sent)

    def own_uses(self, now_ms: float) -> list[ServerUse]:
        """Return this router's part, for its peers."""
        uses = []
        for server, own in list(self._own.items()):
            sent = own.sent.count(now_ms)
            if own.running or sent:
                uses.append(
                    ServerUse(server, own.running, own.unread_tokens, own.context_tokens, sent)
                )
            else:
                del self._own[server]
        return uses

    def take_view(self, peer: str, uses: Iterable[ServerUse], now_ms: float) -> None:
        """Take over a peer's part."""
        self._peers[peer] = _PeerView(now_ms, {use.server: use for use in uses})

    def live_peers(self, now_ms: float) -> int:
        """Return how many peers were heard lately."""
        return sum(1 for view in self._peers.values() if now_ms - view.received_ms <= _VIEW_LIFE_MS)

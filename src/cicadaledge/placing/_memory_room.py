"""Keeps room in the memory of engines for what other routers place before their views arrive.

Answers bursts in which many routers place requests on the same engine at once. Each sees the same
free memory, and the engine crashes if the requests together exceed it, waiting ones included.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen
from attrs.validators import gt, le

from cicadaledge.placing._load_tracker import LoadTracker
from cicadaledge.placing._server_stats import ServerTotals
from cicadaledge.routing import Call

# Placements of this router count as evidence of the usual load for this time. An engine that
# serves one client of one router gets requests from it at least this often, or few of them.
_EVIDENCE_MS = 5_000.0
_SAFE_AGE_MS = 50.0  # Shortest age of views that is assumed; on links without delay it is 0.


@frozen
class MemorySettings:
    """How much memory is kept free for requests that this router cannot know of.

    Args:
        burst_factor: Multiple of the usual rate at which the others may send during a burst.
        selected_fraction: Fraction of the free memory that the routers selected for a server may
            fill: their number varies, as they are selected by hash.
    """

    burst_factor: float = field(default=3.0, validator=gt(1))
    selected_fraction: float = field(default=0.5, validator=[gt(0), le(1)])


@frozen
class _Sent:
    """A request that this router has placed on a server.

    Args:
        part: Digest of its last shared prompt part, or "".
        shared_tokens: Tokens of its shared parts, which an engine holds once.
        private_tokens: All others that it may occupy.
    """

    at_ms: float
    part: str
    shared_tokens: int
    private_tokens: int


@define
class MemoryRoom:
    """Decides whether an engine's memory has room, beyond what is known to run there.

    Args:
        load: Load of the fleet.
    """

    _settings: MemorySettings
    _load: LoadTracker
    _sent: dict[str, deque[_Sent]] = field(factory=dict, init=False)

    def record_sent(self, server: str, call: Call, now_ms: float) -> None:
        """Record a request that is about to be sent."""
        self._sent.setdefault(server, deque()).append(_sent(call, now_ms))

    def has_room(
        self,
        server: str,
        call: Call,
        memory_tokens: int,
        totals: ServerTotals,
        now_ms: float,
        *,
        is_settled: bool,
    ) -> bool:
        """Return whether a request fits, with what the others may have placed unknown to it.

        Args:
            totals: The known load of the server.
            is_settled: Whether the server has been in use for some seconds, so that few routers
                have requests that wait for it.
        """
        routers = self._load.router_count(now_ms)
        if routers <= 1:
            return True
        age_ms = max(self._load.max_view_age_ms, _SAFE_AGE_MS)
        earlier, unseen = self._split_own(server, now_ms, age_ms)
        others_sent = max(0, totals.sent_last_s - self._load.own_sent_last_s(server, now_ms))
        request = _sent(call, now_ms)
        context_tokens = request.shared_tokens + request.private_tokens
        free_tokens = memory_tokens - totals.context_tokens
        is_first = is_settled and not unseen
        if not others_sent and not earlier and not is_first:
            return self._has_room_for_all(server, [*unseen, request], free_tokens, routers, now_ms)
        mean_tokens = totals.context_tokens / totals.running if totals.running else context_tokens
        # The known load counts shared parts for each request; the unknown one counts them once.
        mean_tokens *= request.private_tokens / max(1, context_tokens)
        unknown = self._settings.burst_factor * others_sent * age_ms / 1000
        return context_tokens + unknown * mean_tokens <= free_tokens

    def retain_servers(self, kept: set[str]) -> None:
        """Drop the records of servers that are not in *kept*."""
        for server in self._sent.keys() - kept:
            del self._sent[server]

    def _has_room_for_all(
        self, server: str, placed: list[_Sent], free_tokens: float, routers: int, now_ms: float
    ) -> bool:
        """Return whether there is room if each router places as much as this one.

        That is assumed of a server of whose use nothing is known, such as one that has restarted
        while requests wait for it at all routers. If the memory does not suffice, selected
        routers may place a single request, others in the next interval.
        """
        shared_tokens = sum({one.part: one.shared_tokens for one in placed}.values())
        private_tokens = sum(one.private_tokens for one in placed)
        left_tokens = free_tokens - shared_tokens
        if routers * private_tokens <= left_tokens:
            return True
        if len(placed) > 1:
            return False
        age_ms = max(self._load.max_view_age_ms, _SAFE_AGE_MS)
        interval = int(now_ms // age_ms)
        count = self._settings.selected_fraction * left_tokens / private_tokens
        return self._load.is_selected_for(f"{server}/{interval}", count)

    def _split_own(
        self, server: str, now_ms: float, age_ms: float
    ) -> tuple[list[_Sent], list[_Sent]]:
        """Return this router's recent requests that all others know of, and those they may not."""
        sent = self._sent.get(server)
        if not sent:
            return [], []
        while sent and sent[0].at_ms < now_ms - _EVIDENCE_MS:
            sent.popleft()
        earlier = [one for one in sent if one.at_ms < now_ms - age_ms]
        return earlier, [one for one in sent if one.at_ms >= now_ms - age_ms]


def _sent(call: Call, now_ms: float) -> _Sent:
    shared = call.shared_parts
    shared_tokens = min(sum(part.tokens for part in shared), call.prompt_tokens)
    private_tokens = call.prompt_tokens + call.output_tokens - shared_tokens
    return _Sent(now_ms, shared[-1].digest if shared else "", shared_tokens, private_tokens)

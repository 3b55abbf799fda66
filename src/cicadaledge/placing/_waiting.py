"""Requests that wait at one router until a server can take them.

Answers bursts: requests that arrive faster than servers take them, for less than the time that
their callers have. In a lasting overload, long waits would only make every answer late, so that
they are cut to a fraction of that time. See "Controlling Queue Delay" (Nichols and Jacobson, ACM
Queue 2012) on queues that absorb bursts and queues that stand.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from attrs import define, field, frozen
from attrs.validators import gt, le

from cicadaledge.placing._choice import Chosen, Refused
from cicadaledge.placing._rates import RateWindow
from cicadaledge.placing._shares import ShareUse

_RATE_WINDOW_MS = 1_000.0
# With fewer starts in the window, their rate predicts too little.
_MIN_STARTS = 4
# At most this many waiting requests are tried each time. Each try takes about 0.1 ms, and there are
# up to twenty times a second.
_MAX_TRIES = 64


@frozen
class WaitingSettings:
    """Limits on waiting.

    Args:
        standing_ms: A queue that is not empty for so long shows an overload, which ends after as
            long without a request that waited in vain. Callers of streams wait at least so long
            for the first event.
        overload_ratio: Fraction of the time until its latest start that a request waits in an
            overload. It evens out arrivals; waits of the whole time serve few more requests and
            begin every answer late.
        max_requests: Limit on the requests of one service that wait at one router.
        max_bytes: Limit on the size of their bodies, a tenth of a small router's memory.
    """

    standing_ms: float = field(default=2_000.0, validator=gt(0))
    overload_ratio: float = field(default=0.25, validator=[gt(0), le(1)])
    max_requests: int = field(default=256, validator=gt(0))
    max_bytes: int = field(default=16 * 1_048_576, validator=gt(0))


@define(eq=False)
class WaitingRequest:
    """A request that no server could take yet.

    Args:
        group: Requests of one group need the same server or the same share of capacity; if one of
            them finds no server, neither do the others.
        rank: Rank by the configuration; 0 is the highest.
        is_over_share: Whether its account gets more than its fair share.
        work_ms: Expected time until a server begins the answer of a stream or ends a plain one.
        latest_start_ms: Time after which it can no longer be answered in its caller's time.
        refused: Why no server could take it at the latest try.
        objective_start_ms: Time after which its answer would probably begin later than its route's
            latency objective.
    """

    group: str
    rank: int
    is_over_share: bool
    work_ms: float
    joined_ms: float
    latest_start_ms: float
    refused: Refused
    size_bytes: int = 0
    objective_start_ms: float = math.inf

    @property
    def order(self) -> tuple[int, bool, float]:
        """Sorts requests in the order in which they are served."""
        return self.rank, self.is_over_share, self.latest_start_ms


def waiting_group(engine: str, account: str, use: ShareUse) -> str:
    """Return the group of a request.

    Args:
        engine: The only engine that the request goes to, or an empty string.
        account: Its account. Accounts that get less of an engine than others wait by themselves.
    """
    is_throttled = use.admitted_fraction < 1.0 or use.share_multiple > 1.0
    return f"{engine}/{account}" if is_throttled else engine


class WaitingQueue:
    """Orders the waiting requests of one service and limits their waits.

    Requests are served by rank, then accounts within their share before others, then by the latest
    time at which they can start.

    Args:
        settings: Limits.
    """

    def __init__(self, settings: WaitingSettings) -> None:
        self._settings = settings
        self._requests: list[WaitingRequest] = []
        self._starts = RateWindow(_RATE_WINDOW_MS)
        self._standing_since_ms = math.inf
        self._last_vain_ms = -math.inf

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._requests)

    def has_group(self, group: str) -> bool:
        """Return whether a request of the group is waiting."""
        return any(request.group == group for request in self._requests)

    def add(self, request: WaitingRequest, now_ms: float) -> None:
        """Add a request."""
        if not self._requests:
            self._standing_since_ms = now_ms
        self._requests.append(request)

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request, if it is still waiting."""
        if request in self._requests:
            self._requests.remove(request)
        if not self._requests:
            self._standing_since_ms = math.inf

    def is_overloaded(self, now_ms: float) -> bool:
        """Return whether requests arrive faster than servers take them for more than a burst."""
        standing_ms = self._settings.standing_ms
        return (
            now_ms - self._standing_since_ms >= standing_ms
            or now_ms - self._last_vain_ms < standing_ms
        )

    def serve(
        self, place: Callable[[WaitingRequest], Chosen | Refused | None], now_ms: float
    ) -> list[tuple[WaitingRequest, Chosen]]:
        """Try to place the waiting requests in order; remove and return those that were placed.

        Args:
            place: Returns the choice for a request, or None to leave it out for now.
        """
        placed: list[tuple[WaitingRequest, Chosen]] = []
        blocked: set[str] = set()
        tries = 0
        for request in self._in_order():
            if request.group in blocked or request not in self._requests:
                continue
            if tries >= _MAX_TRIES:
                break
            tries += 1
            choice = place(request)
            if isinstance(choice, Chosen):
                self.remove(request)
                self._starts.add(now_ms)
                placed.append((request, choice))
            elif choice is not None:
                request.refused = choice
                blocked.add(request.group)
        return placed

    def take_hopeless(self, now_ms: float) -> list[WaitingRequest]:
        """Remove and return the requests that should not wait any longer."""
        hopeless = []
        kept_bytes = 0
        kept = 0
        starts = self._starts.count(now_ms)
        measured_ms = min(now_ms - self._standing_since_ms, _RATE_WINDOW_MS)
        for request in self._in_order():
            kept_bytes += request.size_bytes
            expected_start_ms = now_ms
            if starts >= _MIN_STARTS:
                expected_start_ms += kept * measured_ms / starts
            if (
                expected_start_ms > self._wait_until_ms(request, now_ms)
                or kept >= self._settings.max_requests
                or kept_bytes > self._settings.max_bytes
            ):
                kept_bytes -= request.size_bytes
                hopeless.append(request)
            else:
                kept += 1
        for request in hopeless:
            self.remove(request)
        if hopeless:
            self._last_vain_ms = now_ms
        return hopeless

    def _in_order(self) -> list[WaitingRequest]:
        return sorted(self._requests, key=lambda request: request.order)

    def _wait_until_ms(self, request: WaitingRequest, now_ms: float) -> float:
        if not self.is_overloaded(now_ms):
            return request.latest_start_ms
        time_ms = request.latest_start_ms - request.joined_ms
        wait_ms = time_ms * self._settings.overload_ratio
        # In an overload some requests are refused in any case. Those that wait past their objective
        # would only make the answers late that take their place in the queue.
        wait_ms = min(wait_ms, request.objective_start_ms - request.joined_ms)
        wait_ms = max(request.work_ms, wait_ms)
        return min(request.latest_start_ms, request.joined_ms + wait_ms)

"""Memory budget for what callers send; answers crowds whose requests stay incomplete."""

from __future__ import annotations

from collections.abc import Callable

from cicadaledge.ingress._settings import IngressSettings

# After a search that found nobody to give way, the next one starts no earlier than this much later,
# as a search looks at every holding.
_SEARCH_PAUSE_MS = 10.0


class Holding:
    """Memory that one connection holds.

    Attributes:
        size_bytes: Memory that counts against the budget.
        received_bytes: Bytes received from the caller.
        is_evicted: Whether the memory was given to others; the request must be refused.
        is_waiting: Whether the connection waits for memory, so that it is not the caller who stalls.
        is_complete: Whether the request was read completely; it then never gives way.
    """

    __slots__ = (
        "_on_evict",
        "is_complete",
        "is_evicted",
        "is_waiting",
        "progress_ms",
        "received_bytes",
        "size_bytes",
        "started_ms",
    )

    def __init__(self, on_evict: Callable[[], None], started_ms: float) -> None:
        self._on_evict = on_evict
        self.size_bytes = 0
        self.received_bytes = 0
        self.started_ms = started_ms
        self.progress_ms = started_ms
        self.is_evicted = False
        self.is_waiting = False
        self.is_complete = False

    def record_received(self, size_bytes: int, now_ms: float) -> None:
        """Record bytes that the caller has sent."""
        self.received_bytes += size_bytes
        self.progress_ms = now_ms

    def rate(self, now_ms: float) -> float:
        """Return the bytes per second that the caller has sent so far."""
        return self.received_bytes * 1000 / max(1.0, now_ms - self.started_ms)

    def evict(self) -> None:
        """Tell the connection to drop what it holds."""
        self.is_evicted = True
        self._on_evict()


class IngressBudget:
    """Shares a fixed amount of memory between incomplete requests.

    When it is used up, callers that have stalled give way, the one stalled longest first; then slow
    ones, the slowest first; then, after a wait, the largest holding if it is larger than that of
    the request which needs memory. Requests that were read completely keep their memory.

    Args:
        settings: Size of the budget, and who counts as stalled or slow.

    Attributes:
        used_bytes: Memory in use.
        evicted: Number of holdings that have given way.
    """

    def __init__(self, settings: IngressSettings) -> None:
        self.used_bytes = 0
        self.evicted = 0
        self._settings = settings
        self._limit_bytes = settings.memory_bytes
        self._holdings: dict[Holding, None] = {}
        self._next_search_ms = 0.0

    def open(self, on_evict: Callable[[], None], now_ms: float) -> Holding:
        """Return an empty holding.

        Args:
            on_evict: Called when the holding gives way; its memory must be freed at once.
        """
        holding = Holding(on_evict, now_ms)
        self._holdings[holding] = None
        return holding

    def close(self, holding: Holding) -> None:
        """Give all memory of a holding back."""
        if holding in self._holdings:
            del self._holdings[holding]
            self.used_bytes -= holding.size_bytes
            holding.size_bytes = 0

    def try_resize(
        self, holding: Holding, size_bytes: int, now_ms: float, waited_ms: float = 0.0
    ) -> bool:
        """Change the size of a holding; return False if there is no room for it.

        Args:
            waited_ms: How long the holding has been waiting for this.
        """
        if holding.is_evicted:
            return False
        more_bytes = size_bytes - holding.size_bytes
        if self.used_bytes + more_bytes > self._limit_bytes and not self._make_room(
            holding, size_bytes, now_ms, waited_ms
        ):
            return False
        holding.size_bytes = size_bytes
        self.used_bytes += more_bytes
        return True

    def _make_room(self, asking: Holding, size_bytes: int, now_ms: float, waited_ms: float) -> bool:
        if now_ms < self._next_search_ms:
            return False
        goal_bytes = self._limit_bytes - (size_bytes - asking.size_bytes)
        for victim in self._order(asking, size_bytes, now_ms, waited_ms):
            if self.used_bytes <= goal_bytes:
                break
            self.close(victim)
            self.evicted += 1
            victim.evict()
        if self.used_bytes <= goal_bytes:
            return True
        self._next_search_ms = now_ms + _SEARCH_PAUSE_MS
        return False

    def _order(
        self, asking: Holding, size_bytes: int, now_ms: float, waited_ms: float
    ) -> list[Holding]:
        """Return the holdings that give way to the asking one, the first to do so first."""
        settings = self._settings
        stalled, slow, larger = [], [], []
        for one in self._holdings:
            if one is asking or one.is_complete or not one.size_bytes:
                continue
            age_ms = now_ms - one.started_ms
            if not one.is_waiting and now_ms - one.progress_ms >= settings.stall_ms:
                stalled.append(one)
            elif age_ms >= settings.stall_ms and one.rate(now_ms) < settings.slow_bytes_per_s:
                slow.append(one)
            elif one.size_bytes > size_bytes and waited_ms >= settings.fair_wait_ms:
                larger.append(one)
        stalled.sort(key=lambda one: one.progress_ms)
        slow.sort(key=lambda one: one.rate(now_ms))
        larger.sort(key=lambda one: -one.size_bytes)
        return stalled + slow + larger

"""The epoch of the store, which rises when the store has been restored from an older copy.

After a restore, offsets are assigned again and acknowledged writes may be missing. All that is kept
from the store by offset is therefore read again, and all that this router wrote is written again.
This module makes no calls; it is told of the epoch in each answer of the store.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from cicadaledge.clock import clock_ms
from cicadaledge.logs import PartLog

# Epoch of answers and pages without one: the store has no epochs, or a router of a former build,
# which does not know of them, has relayed the page.
NO_EPOCH = -1
# Pages without an epoch are dropped for this long after a change of epoch, as they may have been
# read before it. A read takes at most a long poll of 2 s and a call timeout of 0.9 s, and a relayed
# page arrives within 0.1 s.
_UNMARKED_PAGES_DROPPED_MS = 5_000.0
_log = PartLog("store")


class StoreEpoch:
    """The newest known epoch of the store, shared by all calls of one router to it.

    Attributes:
        current: The epoch; `NO_EPOCH` while the store has not shown any.
        counts: Number of changes, and of pages that were dropped, by name.
    """

    def __init__(self) -> None:
        self.current = NO_EPOCH
        self.counts: Counter[str] = Counter()
        self._changed_ms = float("-inf")
        self._announced = NO_EPOCH
        self._has_logged_drop = False
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, on_change: Callable[[float], None]) -> None:
        """Call a function with the current time whenever the epoch has changed."""
        self._listeners.append(on_change)

    def observe(self, epoch: int, sent_ms: float) -> None:
        """Take over the epoch of an answer of the store.

        A lower epoch in the answer to a call that was sent before the last change is late. In the
        answer to a later call it is taken over: a wrong high value would otherwise stop this router
        from reading the store until its restart.

        Args:
            sent_ms: When the call was sent.
        """
        if epoch in (NO_EPOCH, self.current):
            return
        if epoch < self.current and sent_ms <= self._changed_ms:
            return
        former, self.current = self.current, epoch
        self._changed_ms = clock_ms()
        self._has_logged_drop = False
        if former != NO_EPOCH:
            self.counts["changed"] += 1
            _log.warning(
                "Store has a new epoch, as it was restored from a copy; reading all topics again.",
                epoch=epoch,
                former_epoch=former,
            )
        for listener in self._listeners:
            listener(self._changed_ms)

    def is_current(self, epoch: int) -> bool:
        """Return whether an answer of an epoch shows the present contents of the store."""
        return epoch in (NO_EPOCH, self.current)

    def is_newer(self, epoch: int) -> bool:
        """Return whether a relayed page shows an epoch that this router has not read itself."""
        return epoch > self.current

    def is_first_announcement(self, epoch: int) -> bool:
        """Return whether a newer epoch is shown by a relayed page for the first time."""
        is_first = epoch > self._announced
        self._announced = max(self._announced, epoch)
        return is_first

    def drops_relayed(self, epoch: int) -> bool:
        """Return whether a relayed page is dropped because it may be older than the last change."""
        if epoch == NO_EPOCH:
            dropped = clock_ms() - self._changed_ms < _UNMARKED_PAGES_DROPPED_MS
        else:
            dropped = epoch < self.current
        self.counts["page_dropped"] += dropped
        if dropped and not self._has_logged_drop:
            self._has_logged_drop = True
            _log.info(
                "Relayed pages from before the store's restore are dropped.",
                epoch=epoch,
                current_epoch=self.current,
            )
        return dropped

"""Relays pages that one router of a zone has read from the store to the others.

The zone's relay reads the store. The other routers apply its pages, and read the store themselves
only while no pages arrive or one is missing. If the store does not answer the relay, the other relay
candidates are the first to read it, and forward what they read.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from cicadaledge.clock import clock_ms
from cicadaledge.logs import PartLog
from cicadaledge.store._reach import StoreAvailability
from cicadaledge.store._source import ChangePage
from cicadaledge.wire import StoreNews

# At most this many timestamps, the latest ones, are kept for each peer. Fewer arrive during a long
# poll of the store, so that the last one before the poll is still known at its end.
_MAX_TIMESTAMPS = 64
_NO_TIMESTAMP = -1
# Without fresh pages, other routers read the store this much later than the relay candidates, so
# that a candidate can read and forward in the relay's place.
_CANDIDATE_HEAD_START_MS = 800.0
_log = PartLog("news")


class RelayReader(Protocol):
    """Follower of one topic that receives relayed pages."""

    @property
    def topic(self) -> str:
        """Name of the topic."""

    @property
    def silence_ms(self) -> float:
        """Age of the newest relayed page after which relay candidates read the store themselves.

        Other routers do so `_CANDIDATE_HEAD_START_MS` later.
        """

    def apply_relayed(self, message: StoreNews, proof_ms: float) -> bool:
        """Apply a relayed page; return False if a page before it is missing.

        Args:
            proof_ms: When the store had nothing newer, on this router's clock.
        """


class StoreRelay:
    """Forwards pages read by this router, and applies those relayed to it.

    The age of a relayed page is measured without synchronised clocks: the relay returns the latest
    timestamp that it had received from the peer before it read the page.

    Args:
        send: Sends a message to a linked peer.
        availability: Whether the store is reachable for this router.
    """

    def __init__(
        self, send: Callable[[str, StoreNews], bool], availability: StoreAvailability
    ) -> None:
        self._send = send
        self._availability = availability
        self._is_relay = True
        self._receivers: list[str] = []
        self._readers: dict[str, RelayReader] = {}
        self._fresh_until_ms: dict[str, float] = {}
        self._wake_events: dict[str, asyncio.Event] = {}
        self._timestamps: dict[str, deque[tuple[float, int]]] = {}

    def register(self, reader: RelayReader) -> None:
        """Register the follower of a topic."""
        self._readers[reader.topic] = reader
        self._wake_events[reader.topic] = asyncio.Event()

    def set_role(self, receivers: list[str], *, is_relay: bool, is_candidate: bool = False) -> None:
        """Set whether this router is relay or relay candidate of its zone, and its receivers."""
        self._receivers = receivers if is_relay or is_candidate else []
        self._availability.reads_for_zone = is_relay or is_candidate
        if is_relay and not self._is_relay:
            for wake_event in self._wake_events.values():
                wake_event.set()
        self._is_relay = is_relay

    def record_timestamp(self, peer: str, received_ms: float, sent_ms: int) -> None:
        """Record a peer's timestamp, to be returned with relayed pages as proof of their age."""
        timestamps = self._timestamps.setdefault(peer, deque(maxlen=_MAX_TIMESTAMPS))
        timestamps.append((received_ms, sent_ms))

    def forget_peer(self, peer: str) -> None:
        """Drop the timestamps of a peer."""
        self._timestamps.pop(peer, None)

    def forward(self, topic: str, page: ChangePage, *, after_outage: bool) -> None:
        """Send a page to the routers of the zone, if this router is relay or relay candidate."""
        for peer in self._receivers:
            message = StoreNews(
                topic,
                page.first_offset,
                page.next_offset,
                page.records,
                self._timestamp_before(peer, page.proof_ms),
                after_outage,
                page.epoch,
            )
            self._send(peer, message)

    def receive(self, message: StoreNews) -> None:
        """Apply a relayed page, or wake its follower to read the store if a page is missing."""
        reader = self._readers.get(message.topic)
        if reader is None:
            return
        if self._availability.epoch.drops_relayed(message.epoch):
            return
        proof_ms = float(message.echo_ms) if message.echo_ms != _NO_TIMESTAMP else float("-inf")
        if reader.apply_relayed(message, proof_ms):
            head_start_ms = 0.0 if self._availability.reads_for_zone else _CANDIDATE_HEAD_START_MS
            self._extend_freshness(message.topic, proof_ms + reader.silence_ms + head_start_ms)
            return
        _log.info(
            "Relayed page does not follow the last one; reading the store.",
            topic=message.topic,
            offset=message.first_offset,
        )
        self.wake(message.topic)

    def wake(self, topic: str) -> None:
        """Let the follower of a topic read the store itself."""
        self._fresh_until_ms[topic] = 0.0
        self._wake_events[topic].set()

    def _extend_freshness(self, topic: str, until_ms: float) -> None:
        """Treat relayed pages of a topic as fresh until a time.

        The time follows from the age of the page, not from its arrival: a relay that is short of
        CPU time can forward pages often, and all of them late.
        """
        now_ms = clock_ms()
        former_ms = self._fresh_until_ms.get(topic, 0.0)
        if until_ms <= now_ms < former_ms:
            _log.info(
                "Relayed pages are outdated; reading the store.",
                topic=topic,
                overdue_ms=_rounded(now_ms - until_ms),
            )
        self._fresh_until_ms[topic] = max(former_ms, until_ms)

    def is_fresh(self, topic: str) -> bool:
        """Return whether relayed pages are so fresh that this router need not read the store."""
        follows = not self._is_relay or self._availability.is_failing
        return follows and clock_ms() < self._fresh_until_ms.get(topic, 0.0)

    async def wait_until_stale(self, topic: str) -> None:
        """Wait until the relayed pages of a topic are outdated or one is missing."""
        wake_event = self._wake_events[topic]
        wake_event.clear()
        left_ms = self._fresh_until_ms.get(topic, 0.0) - clock_ms()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await wake_event.wait()
        except TimeoutError:
            return

    def _timestamp_before(self, peer: str, proof_ms: float) -> int:
        """Return the latest timestamp that was received from a peer before a time."""
        for received_ms, sent_ms in reversed(self._timestamps.get(peer, ())):
            if received_ms <= proof_ms:
                return sent_ms
        return _NO_TIMESTAMP


def _rounded(time_ms: float) -> int | None:
    """Return whole milliseconds, or None for a page without a proof of its age."""
    return None if math.isinf(time_ms) else round(time_ms)

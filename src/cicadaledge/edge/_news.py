"""What one router of a zone reads from the store, passed on to the others.

The zone's relay reads; the others follow its news and read for themselves only while nobody passes
any on or a page is missing. While the store turns the relay away, the routers that would follow it
as relay read first, and pass on what they read.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._source import ChangePage
from cicadaledge.edge._store_reach import StoreAvailability
from cicadaledge.logs import PartLog
from cicadaledge.wire import StoreNews

_STAMPS = 64  # stamps kept of a peer: more than come within a read that waits at the store
_NO_STAMP = -1
_PATIENCE_MS = 800.0  # for a router of the zone to read in the relay's place and pass it on
_log = PartLog("news")


class RelayReader(Protocol):
    """Follows one topic of the store."""

    @property
    def topic(self) -> str:
        """Name of the topic."""

    @property
    def silence_ms(self) -> float:
        """Silence of the relay after which this router reads for itself."""

    def apply_relayed(self, news: StoreNews, proof_ms: float) -> bool:
        """Take over a page; return False if one before it is missing.

        Args:
            proof_ms: When the page was the newest, on this router's clock.
        """


class StoreRelay:
    """The news of one zone, for its relay and for the routers that follow it.

    Args:
        send: Sends a message to a linked peer.
        reach: Whether this router reaches the store.
    """

    def __init__(self, send: Callable[[str, StoreNews], bool], reach: StoreAvailability) -> None:
        self._send = send
        self._reach = reach
        self._is_relay = True
        self._receivers: list[str] = []
        self._readers: dict[str, RelayReader] = {}
        self._fed_until_ms: dict[str, float] = {}
        self._wakers: dict[str, asyncio.Event] = {}
        self._stamps: dict[str, deque[tuple[float, int]]] = {}

    def register(self, reader: RelayReader) -> None:
        """Let a reader follow the relay."""
        self._readers[reader.topic] = reader
        self._wakers[reader.topic] = asyncio.Event()

    def set_role(self, receivers: list[str], *, is_relay: bool, is_candidate: bool = False) -> None:
        """Note whether this router relays for its zone, or may come to, and to whom."""
        self._receivers = receivers if is_relay or is_candidate else []
        self._reach.reads_for_zone = is_relay or is_candidate
        if is_relay and not self._is_relay:
            for waker in self._wakers.values():
                waker.set()
        self._is_relay = is_relay

    def record_timestamp(self, peer: str, heard_ms: float, sent_ms: int) -> None:
        """Keep when a peer's clock was heard; it is returned to prove how old news are."""
        stamps = self._stamps.setdefault(peer, deque(maxlen=_STAMPS))
        stamps.append((heard_ms, sent_ms))

    def forget_peer(self, peer: str) -> None:
        """Drop what is known of a peer."""
        self._stamps.pop(peer, None)

    def forward(self, topic: str, page: ChangePage, *, after_outage: bool) -> None:
        """Send a page that was read to the routers of the zone, if they follow this one."""
        for peer in self._receivers:
            news = StoreNews(
                topic,
                page.first_offset,
                page.next_offset,
                page.records,
                self._stamp_before(peer, page.proof_ms),
                after_outage,
            )
            self._send(peer, news)

    def receive(self, news: StoreNews) -> None:
        """Hand news to their reader."""
        reader = self._readers.get(news.topic)
        if reader is None:
            return
        proof_ms = float(news.echo_ms) if news.echo_ms != _NO_STAMP else float("-inf")
        if reader.apply_relayed(news, proof_ms):
            patience_ms = 0.0 if self._reach.reads_for_zone else _PATIENCE_MS
            self._extend_freshness(news.topic, proof_ms + reader.silence_ms + patience_ms)
            return
        _log.info("Relayed page does not fit; reading.", topic=news.topic, offset=news.first_offset)
        self._fed_until_ms[news.topic] = 0.0
        self._wakers[news.topic].set()

    def _extend_freshness(self, topic: str, until_ms: float) -> None:
        """Let this router read again when what the relay tells has grown old.

        A relay that is short of processor time can pass pages on often, and all of them late.
        """
        now_ms = clock_ms()
        former_ms = self._fed_until_ms.get(topic, 0.0)
        if until_ms <= now_ms < former_ms:
            _log.info("Relayed pages are old.", topic=topic, overdue_ms=_whole(now_ms - until_ms))
        self._fed_until_ms[topic] = max(former_ms, until_ms)

    def is_fresh(self, topic: str) -> bool:
        """Return whether news of a topic are fresh, and this router need not read them itself."""
        follows = not self._is_relay or self._reach.is_failing
        return follows and clock_ms() < self._fed_until_ms.get(topic, 0.0)

    async def wait_until_stale(self, topic: str) -> None:
        """Wait while the relay's news may still be fresh."""
        waker = self._wakers[topic]
        waker.clear()
        left_ms = self._fed_until_ms.get(topic, 0.0) - clock_ms()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await waker.wait()
        except TimeoutError:
            return

    def _stamp_before(self, peer: str, proof_ms: float) -> int:
        """Return the newest stamp of a peer that was heard before a time."""
        for heard_ms, sent_ms in reversed(self._stamps.get(peer, ())):
            if heard_ms <= proof_ms:
                return sent_ms
        return _NO_STAMP


def _whole(time_ms: float) -> int | None:
    """Return whole milliseconds, or None for a page that proves nothing."""
    return None if math.isinf(time_ms) else round(time_ms)

"""Liveness of a router's peers, and freshness of its own view of the control stream."""

from __future__ import annotations

from attrs import define, field

from cicadaledge.membership._members import Member, Members
from cicadaledge.settings import TimingSettings
from cicadaledge.wire import Heartbeat

_ACTIVE_PERIOD_MS = 10_000
_MISSED_HEARTBEATS = 3


@define
class _Peer:
    incarnation: int
    received_ms: int
    newest_sent_ms: int = -1
    newest_sent_received_ms: int = -1
    last_echoed_ms: int = -1
    interval_ms: int = 0
    wants_short_interval: bool = False
    last_active_ms: int = -(10**9)
    leaving: bool = False
    control_offset: int = -1


@define
class Liveness:
    """Heartbeats received from peers; all times are on this router's clock.

    A router may use its home rights, that is lease the slots of its servers, only while
    it knows that it has not been removed from the fleet. It knows so from a fresh read
    of the control stream, by itself or by a peer, or while a majority of the group of
    itself and its witnesses receives its heartbeats and has not voted to remove it.

    Args:
        router: Name of this router.
        fresh_as_of_ms: Start of the newest read which showed that the applied offset was
            the newest of the control stream.
        removal_votes: Incarnations of the members that this router has voted to remove,
            by name.
    """

    router: str
    timing: TimingSettings
    fresh_as_of_ms: int = -(10**9)
    removal_votes: dict[str, int] = field(factory=dict)
    _peers: dict[str, _Peer] = field(factory=dict)

    def on_link_up(self, peer: str, incarnation: int, now_ms: int) -> None:
        """Start tracking a peer whose link was established."""
        self._peers[peer] = _Peer(incarnation, now_ms)

    def on_link_down(self, peer: str) -> None:
        """Stop tracking a peer whose link was closed."""
        self._peers.pop(peer, None)

    def on_heartbeat(self, peer: str, message: Heartbeat, own_offset: int, now_ms: int) -> None:
        """Apply a heartbeat.

        Args:
            own_offset: Offset up to which this router has applied the control stream.
        """
        state = self._peers.get(peer)
        if state is None:
            return
        state.received_ms = now_ms
        state.newest_sent_ms = message.sent_ms
        state.newest_sent_received_ms = now_ms
        state.leaving = message.leaving
        state.interval_ms = message.interval_ms
        state.wants_short_interval = message.near
        state.control_offset = message.control_offset
        if message.echo_ms < 0:
            return
        if not message.disowned:
            state.last_echoed_ms = max(state.last_echoed_ms, message.echo_ms)
        if message.log_age_ms >= 0 and own_offset >= message.control_offset:
            # The peer returns in echo_ms this router's newest timestamp that it has received, so it
            # sent this heartbeat later than that on this router's clock. The difference is a lower
            # bound for the start of the peer's last read of the log.
            self.fresh_as_of_ms = max(self.fresh_as_of_ms, message.echo_ms - message.log_age_ms)

    def on_message(self, peer: str, now_ms: int) -> None:
        """Record the receipt of a message of any kind from a peer."""
        state = self._peers.get(peer)
        if state is not None:
            state.received_ms = now_ms

    def record_activity(self, peer: str, now_ms: int) -> None:
        """Record that this router currently works with a peer."""
        state = self._peers.get(peer)
        if state is not None:
            state.last_active_ms = now_ms

    def is_active(self, peer: str, now_ms: int) -> bool:
        """Return whether this router has recently worked with a peer."""
        state = self._peers.get(peer)
        return state is not None and now_ms - state.last_active_ms <= _ACTIVE_PERIOD_MS

    def wants_short_interval(self, peer: str) -> bool:
        """Return whether a peer has requested heartbeats at the short interval."""
        state = self._peers.get(peer)
        return state is not None and state.wants_short_interval

    def silence_limit_ms(self, peer: str) -> int:
        """Return the duration of silence after which a peer is no longer live."""
        state = self._peers.get(peer)
        peer_interval_ms = state.interval_ms if state else 0
        return max(self.timing.freshness_ms // 2, _MISSED_HEARTBEATS * peer_interval_ms)

    def echo_ms(self, peer: str) -> int:
        """Return the newest timestamp received from a peer, on its clock; -1 if none."""
        state = self._peers.get(peer)
        return state.newest_sent_ms if state else -1

    def echo_age_ms(self, peer: str, now_ms: int) -> int | None:
        """Return the time since a peer's newest timestamp was received, or None."""
        state = self._peers.get(peer)
        if state is None or state.newest_sent_ms < 0:
            return None
        return now_ms - state.newest_sent_received_ms

    def is_live(self, router: str, now_ms: int) -> bool:
        """Return whether a router sends messages and is not leaving the fleet."""
        state = self._peers.get(router)
        if state is None or state.leaving:
            return False
        return now_ms - state.received_ms <= self.silence_limit_ms(router)

    def silence_ms(self, router: str, now_ms: int) -> int | None:
        """Return the time since the last message of a router, or None without a link."""
        state = self._peers.get(router)
        return None if state is None else now_ms - state.received_ms

    def control_offset_of(self, peer: str) -> int | None:
        """Return the control offset in a peer's last heartbeat, or None."""
        state = self._peers.get(peer)
        return state.control_offset if state else None

    def newest_offset_peer(self) -> tuple[str, int] | None:
        """Return the peer with the highest control offset and that offset, or None."""
        offers = [(state.control_offset, peer) for peer, state in self._peers.items()]
        if not offers:
            return None
        offset, peer = max(offers)
        return peer, offset

    def has_home_rights(self, members: Members, now_ms: int) -> bool:
        """Return whether this router may use its home rights now."""
        oldest_ms = now_ms - self.timing.freshness_ms // 2
        if self.fresh_as_of_ms >= oldest_ms:
            return True
        if self.router not in members.by_name:
            return False
        witnesses = members.witnesses_of(self.router)
        hearing_count = 1 + sum(1 for witness in witnesses if self._is_heard_by(witness, oldest_ms))
        return hearing_count * 2 > len(witnesses) + 1

    def _is_heard_by(self, witness: Member, oldest_ms: int) -> bool:
        state = self._peers.get(witness.router)
        if state is None or state.incarnation != witness.incarnation:
            return False
        return state.last_echoed_ms >= oldest_ms

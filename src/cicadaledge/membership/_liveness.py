"""What a router knows of its peers' liveness and of its own freshness."""

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
    heard_ms: int
    newest_sent_ms: int = -1
    newest_sent_heard_ms: int = -1
    last_echoed_ms: int = -1
    interval_ms: int = 0
    wants_short_interval: bool = False
    active_ms: int = -(10**9)
    leaving: bool = False
    control_offset: int = -1


@define
class Liveness:
    """Heartbeats received from peers; all times are on the own clock.

    Home rights rest on it: a router may lease the slots of its servers only while it
    can show a fresh read of the control stream, its own or one relayed by a peer, or
    while a majority of itself and its witnesses hear it.

    Args:
        router: Own name.
        fresh_ms: When the newest read began that shows the applied offset to be the newest.
        disowned: Incarnations of members that this router has given its word against.
    """

    router: str
    timing: TimingSettings
    fresh_as_of_ms: int = -(10**9)
    removal_votes: dict[str, int] = field(factory=dict)
    _peers: dict[str, _Peer] = field(factory=dict)

    def on_link_up(self, peer: str, incarnation: int, now_ms: int) -> None:
        """Note a new link."""
        self._peers[peer] = _Peer(incarnation, now_ms)

    def on_link_down(self, peer: str) -> None:
        """Forget what was known of a peer whose link closed."""
        self._peers.pop(peer, None)

    def on_heartbeat(self, peer: str, message: Heartbeat, own_offset: int, now_ms: int) -> None:
        """Note a heartbeat.

        Args:
            own_offset: Offset of the control stream that is applied here.
        """
        state = self._peers.get(peer)
        if state is None:
            return
        state.heard_ms = now_ms
        state.newest_sent_ms = message.sent_ms
        state.newest_sent_heard_ms = now_ms
        state.leaving = message.leaving
        state.interval_ms = message.interval_ms
        state.wants_short_interval = message.near
        state.control_offset = message.control_offset
        if message.echo_ms < 0:
            return
        if not message.disowned:
            state.last_echoed_ms = max(state.last_echoed_ms, message.echo_ms)
        if message.log_age_ms >= 0 and own_offset >= message.control_offset:
            # The peer read the log after it heard our heartbeat, less the age it states.
            self.fresh_as_of_ms = max(self.fresh_as_of_ms, message.echo_ms - message.log_age_ms)

    def on_message(self, peer: str, now_ms: int) -> None:
        """Note that any message came from a peer."""
        state = self._peers.get(peer)
        if state is not None:
            state.heard_ms = now_ms

    def record_activity(self, peer: str, now_ms: int) -> None:
        """Note that this router works with a peer."""
        state = self._peers.get(peer)
        if state is not None:
            state.active_ms = now_ms

    def is_active(self, peer: str, now_ms: int) -> bool:
        """Return whether this router has worked with a peer lately."""
        state = self._peers.get(peer)
        return state is not None and now_ms - state.active_ms <= _ACTIVE_PERIOD_MS

    def wants_short_interval(self, peer: str) -> bool:
        """Return whether a peer asks for heartbeats at the short interval."""
        state = self._peers.get(peer)
        return state is not None and state.wants_short_interval

    def silence_limit_ms(self, peer: str) -> int:
        """Return after which silence a peer counts as gone."""
        state = self._peers.get(peer)
        peer_interval_ms = state.interval_ms if state else 0
        return max(self.timing.freshness_ms // 2, _MISSED_HEARTBEATS * peer_interval_ms)

    def echo_ms(self, peer: str) -> int:
        """Return the newest time stamp heard from a peer, on its clock; -1 if none."""
        state = self._peers.get(peer)
        return state.newest_sent_ms if state else -1

    def echo_age_ms(self, peer: str, now_ms: int) -> int | None:
        """Return how long ago the newest time stamp of a peer was heard, or None."""
        state = self._peers.get(peer)
        if state is None or state.newest_sent_ms < 0:
            return None
        return now_ms - state.newest_sent_heard_ms

    def is_live(self, router: str, now_ms: int) -> bool:
        """Return whether a router is heard and not leaving."""
        state = self._peers.get(router)
        if state is None or state.leaving:
            return False
        return now_ms - state.heard_ms <= self.silence_limit_ms(router)

    def silence_ms(self, router: str, now_ms: int) -> int | None:
        """Return how long a linked router has been silent; None without a link."""
        state = self._peers.get(router)
        return None if state is None else now_ms - state.heard_ms

    def control_offset_of(self, peer: str) -> int | None:
        """Return the control offset that a peer last stated, or None."""
        state = self._peers.get(peer)
        return state.control_offset if state else None

    def newest_offset_peer(self) -> tuple[str, int] | None:
        """Return the peer that offers the highest control offset, and the offset."""
        offers = [(state.control_offset, peer) for peer, state in self._peers.items()]
        if not offers:
            return None
        offset, peer = max(offers)
        return peer, offset

    def has_home_rights(self, members: Members, now_ms: int) -> bool:
        """Return whether this router may lease slots now."""
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

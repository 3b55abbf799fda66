"""Cuts a stream into whole events and remembers the last one."""

from __future__ import annotations

_END = b"\n\n"
_ID_FIELD = b"id:"
_LIMIT_BYTES = 65_536  # an event holds a few tokens


class EventCutter:
    """Passes whole events on and keeps the beginning of the next one.

    A stream that goes on at another server must go on at an event's boundary.

    Args:
        limit_bytes: Most bytes of an event; from a longer one on, bytes pass as they come.

    Attributes:
        is_split: Whether a part of an event was passed on, so that no other server can go on.
    """

    def __init__(self, limit_bytes: int = _LIMIT_BYTES) -> None:
        self.last_id: str | None = None
        self.is_split = False
        self._limit_bytes = limit_bytes
        self._rest = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the whole events up to now."""
        if self.is_split:
            return data
        unseen = max(0, len(self._rest) + 1 - len(_END))
        self._rest += data
        end = self._rest.rfind(_END, unseen)
        if end >= 0:
            end += len(_END)
            events = bytes(self._rest[:end])
            self._note_last_id(events)
            del self._rest[:end]
        else:
            events = b""
        if len(self._rest) > self._limit_bytes:
            self.is_split = True
            return events + self.take_rest()
        return events

    def take_rest(self) -> bytes:
        """Return what follows the last whole event."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest

    def _note_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + _ID_FIELD)
        if start < 0 and not events.startswith(_ID_FIELD):
            return
        start = start + 1 if start >= 0 else 0
        line = events[start : events.index(b"\n", start)]
        self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")

"""Cuts a stream into whole events and remembers the last one."""

from __future__ import annotations

_END = b"\n\n"
_ID_FIELD = b"id:"


class EventCutter:
    """Passes whole events on and keeps the beginning of the next one.

    A stream that goes on at another server must go on at an event's boundary.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events up to now."""
        buffer = self._rest + data
        end = buffer.rfind(_END)
        if end < 0:
            self._rest = buffer
            return b""
        end += len(_END)
        self._rest = buffer[end:]
        self._note_last_id(buffer[:end])
        return buffer[:end]

    def take_rest(self) -> bytes:
        """Return what follows the last whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def _note_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + _ID_FIELD)
        if start < 0 and not events.startswith(_ID_FIELD):
            return
        start = start + 1 if start >= 0 else 0
        line = events[start : events.index(b"\n", start)]
        self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")

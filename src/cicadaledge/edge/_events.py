"""Cuts a stream into whole events and remembers the last one."""

from __future__ import annotations

_END = b"\n\n"
_ID_FIELD = b"id:"
_LIMIT_BYTES = 65_536  # an event holds a few tokens


class ResumeMismatchError(Exception):
    """What a server sent does not go on with the stream that was begun."""


class EventSplitter:
    """Passes whole events on and keeps the beginning of the next one.

    A stream that goes on at another server must go on at an event's boundary.

    Args:
        after: Id behind which the stream goes on, empty if no event came; None where it begins.
        limit_bytes: Most bytes of an event; from a longer one on, bytes pass as they come.

    Attributes:
        is_split: Whether a part of an event was passed on, so that no other server can go on.
    """

    def __init__(self, after: str | None = None, *, limit_bytes: int = _LIMIT_BYTES) -> None:
        self.last_id: str | None = None
        self._after = after
        self.is_split = False
        self._limit_bytes = limit_bytes
        self._rest = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the whole events up to now.

        Raises:
            NoSequelError: They do not follow the event named by `after`.
        """
        if self.is_split:
            return data
        unseen = max(0, len(self._rest) + 1 - len(_END))
        self._rest += data
        end = self._rest.rfind(_END, unseen)
        if end >= 0:
            end += len(_END)
            events = bytes(self._rest[:end])
            if self._after is not None:
                self._check_sequel(events)
            self._note_last_id(events)
            del self._rest[:end]
        else:
            events = b""
        if len(self._rest) > self._limit_bytes:
            if self._after is not None:
                raise ResumeMismatchError("an event of a resumed stream is too long to be checked")
            self.is_split = True
            return events + self.take_remainder()
        return events

    def take_remainder(self) -> bytes:
        """Return what follows the last whole event."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest

    def end(self) -> bytes:
        """Return what follows the last whole event of a stream that has ended.

        Raises:
            NoSequelError: A resumed stream ended within an event.
        """
        if self._after is not None and self._rest:
            raise ResumeMismatchError("a resumed stream ended within an event")
        return self.take_remainder()

    def _check_sequel(self, events: bytes) -> None:
        """Check that each event has an id that is above the one before it."""
        for event in events.removesuffix(_END).split(_END):
            found = _id_of(event)
            if found is None:
                raise ResumeMismatchError("an event of a resumed stream has no id")
            if not _follows(found, self._after or ""):
                raise ResumeMismatchError(f"event {found} does not follow {self._after}")
            self._after = found

    def _note_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + _ID_FIELD)
        if start >= 0:
            self.last_id = _id_of(events[start + 1 :])
        elif events.startswith(_ID_FIELD):
            self.last_id = _id_of(events)


def _id_of(event: bytes) -> str | None:
    """Return the first id that an event names."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


def _follows(later: str, earlier: str) -> bool:
    """Return whether an id can come behind another one; numbers grow."""
    if later.isdecimal() and earlier.isdecimal():
        return int(later) > int(earlier)
    return later != earlier

"""Splits a stream into complete events and remembers the id of the last one."""

from __future__ import annotations

# An event ends with an empty line; lines end with LF or CRLF.
_EVENT_ENDS = (b"\n\n", b"\n\r\n")
_MAX_EVENT_END_BYTES = max(map(len, _EVENT_ENDS))
_ID_FIELD = b"id:"
# A longer event is not buffered until it is complete, and its stream cannot be resumed. Usual
# events are far shorter, as they hold a few tokens.
_MAX_EVENT_BYTES = 65_536


class ResumeMismatchError(Exception):
    """The events that a server sent do not continue the resumed stream."""


class EventBoundary:
    """Tells whether what was received of a stream ends with a complete event."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the stream."""
        self._tail = (self._tail + data[-_MAX_EVENT_END_BYTES:])[-_MAX_EVENT_END_BYTES:]

    @property
    def is_reached(self) -> bool:
        """Whether the last event is complete; false if there was none."""
        return self._tail.endswith(_EVENT_ENDS)


class EventSplitter:
    """Returns complete events and buffers an incomplete one.

    A stream can only be resumed at another server between two events.

    Args:
        after: Id of the last event before the stream is resumed, empty if there was none; None for
            a stream that is not resumed.
        limit_bytes: Maximum size of a buffered event. Once an event exceeds it, all bytes are
            returned as they arrive.

    Attributes:
        last_id: Id of the last complete event, if it has one.
        is_split: Whether a part of an event was returned, so that the stream cannot be resumed.
    """

    def __init__(self, after: str | None = None, *, limit_bytes: int = _MAX_EVENT_BYTES) -> None:
        self.last_id: str | None = None
        self._after = after
        self.is_split = False
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the events that *data* completes.

        Raises:
            ResumeMismatchError: The events do not follow the one with the id `after`.
        """
        if self.is_split:
            return data
        unseen = max(0, len(self._buffer) + 1 - _MAX_EVENT_END_BYTES)
        self._buffer += data
        if end := _end_of_events(self._buffer, unseen):
            events = bytes(self._buffer[:end])
            if self._after is not None:
                self._check_resumed(events)
            self._store_last_id(events)
            del self._buffer[:end]
        else:
            events = b""
        if len(self._buffer) > self._limit_bytes:
            if self._after is not None:
                raise ResumeMismatchError("an event of a resumed stream is too long to be checked")
            self.is_split = True
            return events + self.take_remainder()
        return events

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def end(self) -> bytes:
        """Return the bytes after the last complete event of a stream that has ended.

        Raises:
            ResumeMismatchError: A resumed stream ended within an event.
        """
        if self._after is not None and self._buffer:
            raise ResumeMismatchError("a resumed stream ended within an event")
        return self.take_remainder()

    def _check_resumed(self, events: bytes) -> None:
        """Check that each event has an id that follows the one before it."""
        for event in events.replace(b"\r\n", b"\n").removesuffix(b"\n\n").split(b"\n\n"):
            found = _id_of(event)
            if found is None:
                raise ResumeMismatchError("an event of a resumed stream has no id")
            if not _follows(found, self._after or ""):
                raise ResumeMismatchError(f"event {found} does not follow {self._after}")
            self._after = found

    def _store_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + _ID_FIELD)
        if start >= 0:
            self.last_id = _id_of(events[start + 1 :])
        elif events.startswith(_ID_FIELD):
            self.last_id = _id_of(events)


def _end_of_events(data: bytearray, start: int) -> int:
    """Return the index after the last complete event, searched for from *start*; 0 if none."""
    found = ((data.rfind(end, start), len(end)) for end in _EVENT_ENDS)
    return max(index + length if index >= 0 else 0 for index, length in found)


def _id_of(event: bytes) -> str | None:
    """Return the first id field of an event, or None."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


def _follows(later: str, earlier: str) -> bool:
    """Return whether an id can follow another one; numeric ids must increase."""
    if later.isdecimal() and earlier.isdecimal():
        return int(later) > int(earlier)
    return later != earlier

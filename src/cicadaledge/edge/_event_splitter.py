"""Splits a stream into complete events and remembers the id of the last one."""

from __future__ import annotations

import re

# An event ends with an empty line; lines end with LF, CRLF or CR.
_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_MAX_EVENT_END_BYTES = max(map(len, _EVENT_ENDS))
_ID_FIELD = b"id:"
# The start of a line that belongs to an event: neither an empty line nor a comment.
_FIELD_START = re.compile(rb"[\r\n][^:\r\n]")
# A longer event is not buffered until it is complete, and its stream cannot be resumed. Usual
# events are far shorter, as they hold a few tokens.
_MAX_EVENT_BYTES = 65_536


class ResumeMismatchError(Exception):
    """The events that a server sent do not continue the resumed stream."""


class EventBoundary:
    """Tells whether what was received of a stream ends with a complete event.

    Attributes:
        is_within_event: Whether the last event is incomplete. Comments and empty lines after the
            last event belong to none.
    """

    def __init__(self) -> None:
        self.is_within_event = False
        self._has_bytes = False
        self._tail = b""  # The last bytes, as many as the longest end of an event.

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the stream."""
        received = self._tail + data
        end = _end_of_events(received, 0)
        if end:
            self.is_within_event = False
        if not self.is_within_event:
            lines = received[max(0, end - 1) :] if self._has_bytes or end else b"\n" + received
            self.is_within_event = _FIELD_START.search(lines) is not None
        self._has_bytes = self._has_bytes or bool(data)
        self._tail = received[-_MAX_EVENT_END_BYTES:]

    @property
    def is_reached(self) -> bool:
        """Whether the last bytes end an event; false if there were none."""
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

    def _check_resumed(self, events: bytes) -> None:
        """Check that each event has an id that follows the one before it."""
        lines = events.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        for event in lines.split(b"\n\n"):
            if not _FIELD_START.search(b"\n" + event):
                continue
            found = _id_of(event)
            if found is None:
                raise ResumeMismatchError("an event of a resumed stream has no id")
            if not _follows(found, self._after or ""):
                raise ResumeMismatchError(f"event {found} does not follow {self._after}")
            self._after = found

    def _store_last_id(self, events: bytes) -> None:
        start = max(events.rfind(b"\n" + _ID_FIELD), events.rfind(b"\r" + _ID_FIELD))
        if start >= 0:
            self.last_id = _id_of(events[start + 1 :])
        elif events.startswith(_ID_FIELD):
            self.last_id = _id_of(events)


def _end_of_events(data: bytes | bytearray, start: int) -> int:
    """Return the index after the last complete event, searched for from *start*; 0 if none."""
    found = ((data.rfind(end, start), len(end)) for end in _EVENT_ENDS)
    return max(index + length if index >= 0 else 0 for index, length in found)


def _id_of(event: bytes) -> str | None:
    """Return the first id field of an event, or None."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


def _follows(later: str, earlier: str) -> bool:
    """Return whether an id can follow another one; numeric ids must increase."""
    if later.isdecimal() and earlier.isdecimal():
        return int(later) > int(earlier)
    return later != earlier

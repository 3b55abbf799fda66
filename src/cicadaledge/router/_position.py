"""Tracks how much of an answer the caller has, which another run must begin with."""

from __future__ import annotations

import hashlib
from typing import Any

from attrs import define, field

from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError

_DIGEST_BYTES = 8


@define
class Position:
    """Position in an answer.

    Args:
        expected_count: Events that the caller already has from an earlier run.
        expected_digest: Digest of their text.
        count: Events seen in this run.
    """

    expected_count: int = 0
    expected_digest: str = ""
    count: int = 0
    _text_hash: Any = field(factory=lambda: hashlib.blake2b(digest_size=_DIGEST_BYTES))

    @property
    def digest(self) -> str:
        """Digest of the text seen in this run."""
        digest: str = self._text_hash.hexdigest()
        return digest

    def advance(self, text: str) -> bool:
        """Process one event; return whether the caller does not have it yet.

        Raises:
            RefusalError: The events so far differ from those that the caller has; code 3003.
        """
        self.count += 1
        self._text_hash.update(text.encode())
        if self.count == self.expected_count and self.digest != self.expected_digest:
            raise RefusalError(Code.STREAM_CUT)
        return self.count > self.expected_count

    def check_end(self) -> None:
        """Check that this run did not end before the events that the caller has.

        Raises:
            RefusalError: The run ended too early; code 3003.
        """
        if self.count < self.expected_count:
            raise RefusalError(Code.STREAM_CUT)

    def for_next_run(self) -> Position:
        """Return the position for another run of the request, which keeps what the caller has."""
        if self.count < self.expected_count:
            return Position(self.expected_count, self.expected_digest)
        return Position(self.count, self.digest)

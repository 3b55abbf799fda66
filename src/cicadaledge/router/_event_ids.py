"""Signed event ids, with which a caller can resume a stream at any router."""

from __future__ import annotations

import base64
import hashlib
import hmac

from attrs import frozen

from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError

_MAC_BYTES = 12
_FIELDS = 6
_LIMIT_CHARS = 1024


@frozen
class EventId:
    """Position in a stream.

    Args:
        index: Index of the event that the caller has received.
        prefix_digest: Digest of the text of all events up to this one.
        body_digest: Digest of the account and the request body.
    """

    server: str
    boot_id: str
    stream_id: str
    index: int
    prefix_digest: str
    body_digest: str


class EventIdSigner:
    """Encodes and checks event ids with the fleet key."""

    def __init__(self, fleet_key: str) -> None:
        self._key = b"event-id\n" + fleet_key.encode()

    def encode(self, event_id: EventId) -> str:
        """Return the text of an event's `id` field."""
        text = "|".join(
            (
                event_id.server,
                event_id.boot_id,
                event_id.stream_id,
                str(event_id.index),
                event_id.prefix_digest,
                event_id.body_digest,
            )
        ).encode()
        return base64.urlsafe_b64encode(self._mac(text) + text).decode()

    def decode(self, text: str) -> EventId:
        """Return the event id in a `Last-Event-ID` header.

        Raises:
            RefusalError: The text is not an event id signed with the fleet key; code 1006.
        """
        try:
            if len(text) > _LIMIT_CHARS:
                raise ValueError("too long")
            raw = base64.urlsafe_b64decode(text.encode("ascii"))
            mac, plain = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
            if not hmac.compare_digest(mac, self._mac(plain)):
                raise ValueError("wrong signature")
            fields = plain.decode().split("|")
            if len(fields) != _FIELDS:
                raise ValueError("wrong fields")
            server, boot_id, stream_id, index, prefix_digest, body_digest = fields
            return EventId(server, boot_id, stream_id, int(index), prefix_digest, body_digest)
        except ValueError as error:
            raise RefusalError(Code.BAD_EVENT_ID) from error

    def _mac(self, text: bytes) -> bytes:
        return hmac.digest(self._key, text, hashlib.sha256)[:_MAC_BYTES]

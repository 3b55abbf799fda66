"""Records of the store's keyed topics, and their encoding in the bodies of its calls."""

from __future__ import annotations

from attrs import frozen

from cicadaledge.store import NO_EPOCH

_LENGTH_BYTES = 4


@frozen
class KeyedRecord:
    """A record of a keyed topic; an empty value means that the key was deleted."""

    key: str
    value: bytes


@frozen
class RecordPage:
    """Records read from a topic.

    Args:
        proof_ms: Time at which the store had no records at or after `next_offset`; minus infinity
            if it had.
        data: The records as the store sent them.
        epoch: Epoch of the store in which the offsets hold.
    """

    records: list[KeyedRecord]
    first_offset: int
    next_offset: int
    proof_ms: float
    data: bytes = b""
    epoch: int = NO_EPOCH


def encode_record(key: str, value: bytes) -> bytes:
    """Return the body of a call that appends one record."""
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return len(record).to_bytes(_LENGTH_BYTES, "big") + record


def read_page(data: bytes, first_offset: int, proof_ms: float) -> RecordPage:
    """Return the page of records that starts at an offset."""
    records = _decode_records(data)
    return RecordPage(records, first_offset, first_offset + len(records), proof_ms, data)


def _decode_records(data: bytes) -> list[KeyedRecord]:
    records = []
    position = 0
    while position + _LENGTH_BYTES <= len(data):
        length = int.from_bytes(data[position : position + _LENGTH_BYTES], "big")
        position += _LENGTH_BYTES
        content = data[position : position + length]
        position += length
        key_end = 1 + content[0] if content else 0
        key = content[1:key_end].decode("utf-8", "replace")
        records.append(KeyedRecord(key, bytes(content[key_end:])))
    return records

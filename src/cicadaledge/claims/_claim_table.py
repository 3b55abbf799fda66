"""Claims of non-idempotent requests, folded deterministically from the claims stream."""

from __future__ import annotations

import base64
import json
from typing import Any

import cattrs
from attrs import define, evolve, field, frozen

CLAIMS_STREAM = "claims"
_CLOCK_SKEW_MS = 300_000


@frozen
class Answer:
    """The recorded answer of a completed request.

    Args:
        too_large: Whether the body exceeded the size limit and was not recorded.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    too_large: bool = False


@frozen
class Claim:
    """Exclusive right of one router process to run a keyed request once.

    Args:
        key: Digest of account, service and Idempotency-Key.
        request_digest: Digest of method, path and body.
        claimant: Unique id of the attempt.
        router: Name of the claiming router.
        at_ms: Wall-clock time of the claim.
    """

    key: str
    request_digest: str
    claimant: str
    router: str
    at_ms: int
    answer: Answer | None = None


@frozen
class Settle:
    """Record of the answer to a claimed request."""

    key: str
    claimant: str
    answer: Answer


@frozen
class Release:
    """Withdraws a claim whose request was not sent and will not be sent."""

    key: str
    claimant: str


@frozen
class Keep:
    """Copy of a claim, appended before the log's retention deletes the original."""

    claim: Claim


@frozen
class CheckpointBegin:
    """Start of a checkpoint: all older claims are copied before the matching end."""

    checkpoint_id: str


@frozen
class CheckpointEnd:
    """End of a checkpoint: all claims older than the matching begin have been copied."""

    checkpoint_id: str


ClaimRecord = Claim | Settle | Release | Keep | CheckpointBegin | CheckpointEnd

_RECORD_TYPES: dict[str, type] = {
    kind.__name__: kind for kind in (Claim, Settle, Release, Keep, CheckpointBegin, CheckpointEnd)
}
_converter = cattrs.Converter()
_converter.register_unstructure_hook(bytes, lambda value: base64.b64encode(value).decode())
_converter.register_structure_hook(bytes, lambda value, _: base64.b64decode(value))


def encode_batch(records: list[ClaimRecord]) -> bytes:
    """Return the JSON text of records that are appended to the log as one batch."""
    plain = [[type(record).__name__, _converter.unstructure(record)] for record in records]
    return json.dumps(plain).encode()


def decode_batch(data: bytes) -> list[ClaimRecord]:
    """Return the records of a batch; unknown and malformed ones are skipped."""
    try:
        plain: list[Any] = json.loads(data)
        pairs = [(str(name), body) for name, body in plain]
    except (ValueError, TypeError):
        return []
    records: list[ClaimRecord] = []
    for name, body in pairs:
        kind = _RECORD_TYPES.get(name)
        if kind is None:
            continue
        try:
            records.append(_converter.structure(body, kind))
        except (cattrs.BaseValidationError, ValueError, TypeError, KeyError):
            continue
    return records


@define
class ClaimTable:
    """All claims up to an offset of the claims stream.

    Of several claims of one key, the one with the lowest offset is valid. A later claim
    replaces it only if it was released, or if its window had ended at the time stated
    in the later claim.

    Args:
        window_ms: Duration for which a claim is valid.
        offset: Offset of the last applied batch.
        complete: Whether every claim that is still valid is known.
    """

    window_ms: int
    offset: int = -1
    complete: bool = False
    claims: dict[str, Claim] = field(factory=dict)
    _offset_after_gap: int = 0
    _checkpoint_begins: dict[str, int] = field(factory=dict)

    def set_first_offset(self, first_offset: int) -> None:
        """Set the lowest retained offset, before the first read or one that skips records."""
        if first_offset <= self.offset + 1:
            self.complete = self.complete or first_offset == 0
            return
        self.complete = False
        self._offset_after_gap = first_offset

    def apply(self, offset: int, data: bytes) -> None:
        """Apply one batch."""
        if offset <= self.offset:
            return
        self.offset = offset
        for record in decode_batch(data):
            self._apply(offset, record)

    def find(self, key: str, at_ms: int) -> Claim | None:
        """Return the claim of a key that is valid at a wall-clock time, or None."""
        claim = self.claims.get(key)
        if claim is None or at_ms >= claim.at_ms + self.window_ms:
            return None
        return claim

    def expire(self, at_ms: int) -> None:
        """Delete claims whose window has ended on every router's clock."""
        limit_ms = at_ms - self.window_ms - _CLOCK_SKEW_MS
        for key in [key for key, claim in self.claims.items() if claim.at_ms < limit_ms]:
            del self.claims[key]

    def checkpoint(self, checkpoint_id: str, at_ms: int) -> list[ClaimRecord]:
        """Return the records to append once the checkpoint's begin has been read back."""
        repeated: list[ClaimRecord] = [
            Keep(claim) for claim in self.claims.values() if self.find(claim.key, at_ms)
        ]
        return [*repeated, CheckpointEnd(checkpoint_id)]

    def _apply(self, offset: int, record: ClaimRecord) -> None:
        if isinstance(record, Claim):
            if self.find(record.key, record.at_ms) is None:
                self.claims[record.key] = evolve(record, answer=None)
        elif isinstance(record, Settle):
            claim = self.claims.get(record.key)
            if claim is not None and claim.claimant == record.claimant:
                self.claims[record.key] = evolve(claim, answer=record.answer)
        elif isinstance(record, Release):
            claim = self.claims.get(record.key)
            if claim is not None and claim.claimant == record.claimant and claim.answer is None:
                del self.claims[record.key]
        elif isinstance(record, Keep):
            self.claims.setdefault(record.claim.key, record.claim)
        elif isinstance(record, CheckpointBegin):
            self._checkpoint_begins[record.checkpoint_id] = offset
        else:
            begin_offset = self._checkpoint_begins.pop(record.checkpoint_id, -1)
            if begin_offset >= self._offset_after_gap:
                self.complete = True

"""At-most-once claims and recorded answers of non-idempotent requests with a key."""

from cicadaledge.claims._claim_table import (
    CLAIMS_STREAM,
    Answer,
    CheckpointBegin,
    CheckpointEnd,
    Claim,
    ClaimRecord,
    ClaimTable,
    Keep,
    Release,
    Settle,
    decode_batch,
    encode_batch,
)

__all__ = [
    "CLAIMS_STREAM",
    "Answer",
    "CheckpointBegin",
    "CheckpointEnd",
    "Claim",
    "ClaimRecord",
    "ClaimTable",
    "Keep",
    "Release",
    "Settle",
    "decode_batch",
    "encode_batch",
]

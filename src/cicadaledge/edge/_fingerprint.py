"""Fingerprints by which a repeated request is recognised."""

from __future__ import annotations

import hashlib
import zlib

from cicadaledge.edge._active_request import ActiveRequest

# At a million requests a second, two different requests get the same digest of this length once in
# millions of years.
_DIGEST_BYTES = 12


def digest_prefix(work: ActiveRequest) -> str:
    """Return a checksum of account, target and body length.

    It is cheap, as the body is not read, and rules out most requests before these are hashed.
    """
    call = work.call
    text = f"{work.account_name}\n{call.target}\n{len(call.body)}"
    return f"{zlib.crc32(text.encode()):08x}"


def fingerprint(work: ActiveRequest) -> str:
    """Return the digest prefix, followed by a digest of all that determines how the request runs.

    The request's id, its deadline and the event after which a stream is resumed are left out, as
    they differ whenever a caller repeats the request.
    """
    call = work.call
    digest = hashlib.blake2b(call.body, digest_size=_DIGEST_BYTES)
    parts = [(part.digest, part.tokens) for part in call.parts]
    determining = (
        call.method,
        call.host,
        call.target,
        work.account_name,
        call.model,
        call.prompt_tokens,
        call.output_tokens,
        parts,
    )
    digest.update(repr(determining).encode())
    return digest_prefix(work) + digest.hexdigest()

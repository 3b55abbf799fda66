"""What a request is known by when it comes again."""

from __future__ import annotations

import hashlib
import zlib

from cicadaledge.edge._work import ActiveRequest

_CONTENT_BYTES = 12  # two of a million requests a second are alike once in millions of years


def outline(work: ActiveRequest) -> str:
    """Return what many requests have in common with few others; cheap, without the body."""
    call = work.call
    text = f"{work.account_name}\n{call.target}\n{len(call.body)}"
    return f"{zlib.crc32(text.encode()):08x}"


def fingerprint(work: ActiveRequest) -> str:
    """Return the outline and a digest of all that decides a run.

    The request's id, its deadline and where a stream goes on are left out: they differ each time
    that a caller sends the same request.
    """
    call = work.call
    digest = hashlib.blake2b(call.body, digest_size=_CONTENT_BYTES)
    parts = [(part.digest, part.tokens) for part in call.parts]
    decisive = (
        call.method,
        call.host,
        call.target,
        work.account_name,
        call.model,
        call.prompt_tokens,
        call.output_tokens,
        parts,
    )
    digest.update(repr(decisive).encode())
    return outline(work) + digest.hexdigest()

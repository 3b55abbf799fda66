"""Entries as other programs leave them in the platform's store: none of them names anything."""

from __future__ import annotations

import json
from typing import Any

_DEPTH = 50_000  # nested more deeply than JSON readers follow
_DIGITS = "9" * 400  # larger than a float
_SOUND: dict[str, Any] = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "seqNo": 1,
    "born": 1_000,
}


def _with(name: str, text: str) -> bytes:
    """Return an entry in which the value of one field is the given JSON."""
    return json.dumps({**_SOUND, name: "?"}).replace('"?"', text).encode()


ODD_ENTRIES = (
    _with("unread", "[" * _DEPTH + "]" * _DEPTH),
    _with("coldRemainingMs", _DIGITS),
    _with("coldRemainingMs", "NaN"),
    _with("born", _DIGITS),
    _with("slots", "-1"),
    _with("address", '"127.0.0.1:99999"'),
    _with("address", '"127.0.0.1:9_0"'),
    _with("address", '"h\\ud800st:80"'),
    _with("state", '"gone"'),
    b"[]",
    b"\xff\xfe",
)

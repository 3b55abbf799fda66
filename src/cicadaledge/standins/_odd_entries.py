"""Store entries that routers must reject, as a faulty program may write them."""

from __future__ import annotations

import json
from typing import Any

_NESTING_DEPTH = 50_000  # JSON parsers do not recurse as deeply as this.
_HUGE_NUMBER = "9" * 400  # This number exceeds the range of a float.
_VALID_ENTRY: dict[str, Any] = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "seqNo": 1,
    "born": 1_000,
}


def _entry_with(name: str, text: str) -> bytes:
    """Return the valid entry with one field replaced by the given JSON text."""
    return json.dumps({**_VALID_ENTRY, name: "?"}).replace('"?"', text).encode()


INVALID_ENTRIES = (
    _entry_with("unread", "[" * _NESTING_DEPTH + "]" * _NESTING_DEPTH),
    _entry_with("coldRemainingMs", _HUGE_NUMBER),
    _entry_with("coldRemainingMs", "NaN"),
    _entry_with("born", _HUGE_NUMBER),
    _entry_with("slots", "-1"),
    _entry_with("address", '"127.0.0.1:99999"'),
    _entry_with("address", '"127.0.0.1:9_0"'),
    _entry_with("address", '"h\\ud800st:80"'),
    _entry_with("state", '"gone"'),
    b"[]",
    b"\xff\xfe",
)

"""Wall-clock time, for what routers compare with each other."""

from __future__ import annotations

import time


def wall_ms() -> float:
    """Return milliseconds since the epoch."""
    return time.time() * 1000

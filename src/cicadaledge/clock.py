"""The clock by which time limits and ages are measured."""

from __future__ import annotations

import time


def clock_ms() -> float:
    """Return monotonic milliseconds, including the time that the system was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

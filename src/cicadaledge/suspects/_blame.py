"""Distinguishes requests that crash servers from those that merely ran there at the time.

A request that is repeated and crashes each server that runs it must be found among frequent
harmless requests, which run during nearly every crash, and among crashes with other causes.
"""

from __future__ import annotations

from collections.abc import Mapping, Set

_MIN_CRASHES = 2  # A single crash is no evidence against any request.
# A request that ran in this many crashes may be blamed however many servers crashed without it.
_CONCLUSIVE_CRASHES = 3
# Where several requests ran in equally many crashes and have some of these in common, none of them
# is blamed for fewer crashes than this. From this number on, all of them are: protecting servers
# matters more than knowing which of the requests crashes them.
_CONCLUSIVE_TIE_CRASHES = 5
# Crashes up to this long before the first one in which a request ran show how common crashes are.
_LOOKBACK_MS = 10_000.0
# A request that ran in fewer than `_CONCLUSIVE_CRASHES` crashes is blamed only if these are more
# than this fraction of all crashes from `_LOOKBACK_MS` before the first of them until the last.
_MIN_CRASH_FRACTION = 0.5


def blamed(running: Mapping[str, Set[str]], crashed_ms: Mapping[str, float]) -> frozenset[str]:
    """Return the requests that explain crashes better than chance does.

    The request that ran during most crashes explains them; the others are judged by the remaining
    crashes.

    Args:
        running: Crashes during which each request ran, without those that it was cleared of.
        crashed_ms: Time of each crash.
    """
    causes_found: set[str] = set()
    unexplained = {one: crashes for one, crashes in running.items() if len(crashes) >= _MIN_CRASHES}
    while causes := _likely_causes(unexplained, crashed_ms):
        causes_found |= causes
        explained = set().union(*(running[digest] for digest in causes))
        unexplained = {
            digest: remaining
            for digest, crashes in unexplained.items()
            if digest not in causes_found and len(remaining := crashes - explained) >= _MIN_CRASHES
        }
    return frozenset(causes_found)


def _likely_causes(
    unexplained: Mapping[str, Set[str]], crashed_ms: Mapping[str, float]
) -> set[str]:
    max_crashes = max((len(crashes) for crashes in unexplained.values()), default=0)
    top_suspects = {
        digest: crashes for digest, crashes in unexplained.items() if len(crashes) == max_crashes
    }
    if max_crashes >= _CONCLUSIVE_TIE_CRASHES:
        return set(top_suspects)
    return {
        digest
        for digest, crashes in top_suspects.items()
        if all(crashes.isdisjoint(other) for name, other in top_suspects.items() if name != digest)
        and (max_crashes >= _CONCLUSIVE_CRASHES or _is_usual_cause(crashes, crashed_ms))
    }


def _is_usual_cause(crashes: Set[str], crashed_ms: Mapping[str, float]) -> bool:
    """Return whether fewer servers crashed without a request than with it, around its crashes."""
    times_ms = [crashed_ms[crash] for crash in crashes if crash in crashed_ms]
    if not times_ms:
        return False  # All of the crashes have expired meanwhile.
    begin_ms = min(times_ms) - _LOOKBACK_MS
    end_ms = max(times_ms)
    crashes_in_period = sum(begin_ms <= at_ms <= end_ms for at_ms in crashed_ms.values())
    return len(crashes) > crashes_in_period * _MIN_CRASH_FRACTION

"""Tells requests that crash servers from those that happened to run there.

Answers a request that comes again and again and crashes each server that runs it, beside hot sound
requests, which run in nearly every crash, and crashes that have other causes.
"""

from __future__ import annotations

from collections.abc import Mapping, Set

_FEWEST_CRASHES = 2  # one crash alone blames nobody
_SURE_CRASHES = 3  # from here on other crashes no longer excuse a request
_HOPELESS_CRASHES = 5  # from here on a tie does not, either: servers matter more than who it was
_LOOK_BACK_MS = 10_000.0  # crashes this long before a suspect's first tell how common they are
_MOST_PART = 0.5  # of the crashes about that time, which two must exceed to blame a request


def blamed(running: Mapping[str, Set[str]], crashed_ms: Mapping[str, float]) -> frozenset[str]:
    """Return the requests that explain crashes better than chance does.

    Whoever was running in most crashes explains them; the others are judged by what is left.

    Args:
        running: Crashes that each request was running in, without those that it was cleared of.
        crashed_ms: When each crash was.
    """
    found: set[str] = set()
    left = {one: crashes for one, crashes in running.items() if len(crashes) >= _FEWEST_CRASHES}
    while causes := _likely_causes(left, crashed_ms):
        found |= causes
        explained = set().union(*(running[digest] for digest in causes))
        left = {
            digest: rest
            for digest, crashes in left.items()
            if digest not in found and len(rest := crashes - explained) >= _FEWEST_CRASHES
        }
    return frozenset(found)


def _likely_causes(left: Mapping[str, Set[str]], crashed_ms: Mapping[str, float]) -> set[str]:
    most = max((len(crashes) for crashes in left.values()), default=0)
    first = {digest: crashes for digest, crashes in left.items() if len(crashes) == most}
    if most >= _HOPELESS_CRASHES:
        return set(first)
    return {
        digest
        for digest, crashes in first.items()
        if all(crashes.isdisjoint(other) for name, other in first.items() if name != digest)
        and (most >= _SURE_CRASHES or _is_usual_cause(crashes, crashed_ms))
    }


def _is_usual_cause(crashes: Set[str], crashed_ms: Mapping[str, float]) -> bool:
    """Return whether fewer servers crashed about that time without the request than with it."""
    times_ms = [crashed_ms[crash] for crash in crashes if crash in crashed_ms]
    if not times_ms:
        return False  # they were forgotten meanwhile
    begin_ms = min(times_ms) - _LOOK_BACK_MS
    end_ms = max(times_ms)
    about = sum(begin_ms <= at_ms <= end_ms for at_ms in crashed_ms.values())
    return len(crashes) > about * _MOST_PART

"""Distinguishes prompt parts that crash servers from those that other requests happen to share.

No two requests need to be alike: the part is all that the crashes have in common, beside frequent
parts, which are cleared by the answers to other requests. Parts that were always together cannot be
told apart. They are blamed as a group, so that only requests with all of them are refused, and the
next request with some of them shows which one it is.
"""

from __future__ import annotations

from collections.abc import Mapping, Set

# Crashes closer together than this are one incident: an outage ends many servers at the same moment,
# and routers detect this up to about 0.1 s apart.
_SIMULTANEOUS_MS = 150.0
# With fewer incidents than this, a rare harmless part is easily found in each of them.
MIN_INCIDENTS = 3
# A group in this many crashes, of several incidents, is blamed however many servers crashed without
# it, and even if another group was in some of them: protecting servers then matters more than
# certainty. If they are fewer incidents, it must be in more than this fraction of the crashes around
# them; a part that so many requests have at one moment would have been answered.
_CONCLUSIVE_CRASHES = 5
_MIN_CRASH_FRACTION = 0.5
# Fraction of all incidents, from `_LOOKBACK_MS` before a group's first one until its last, that the
# group must be in to be blamed for this many of them. Two such parts at once have a half each.
_MIN_FRACTIONS = {3: 0.5, 4: 0.4}
_LOOKBACK_MS = 10_000.0

PartGroup = frozenset[str]
RunsByPart = Mapping[str, Mapping[str, Set[str]]]


def blamed_groups(ran: RunsByPart, crashed_ms: Mapping[str, float]) -> frozenset[PartGroup]:
    """Return the groups of parts that explain crashes better than chance does.

    Crashes that one and the same request explains are no evidence against its parts.

    Args:
        ran: For each part, the crashes that it is not cleared of, and the requests with the part
            that waited for the beginning of their answer in each.
        crashed_ms: Time of each crash.
    """
    causes: set[PartGroup] = set()
    unexplained = {
        part: set(crashes)
        for part, crashes in ran.items()
        if len(crashes) >= MIN_INCIDENTS and not set.intersection(*map(set, crashes.values()))
    }
    while found := _likely_causes(unexplained, crashed_ms):
        causes |= found.keys()
        explained = set().union(*found.values())
        unexplained = {part: crashes - explained for part, crashes in unexplained.items()}
    return frozenset(causes)


def incidents_ms(crashes: Set[str], crashed_ms: Mapping[str, float]) -> list[float]:
    """Return the times of incidents in order, each that of its first crash."""
    incidents: list[float] = []
    for at_ms in sorted(crashed_ms[crash] for crash in crashes if crash in crashed_ms):
        if not incidents or at_ms - incidents[-1] >= _SIMULTANEOUS_MS:
            incidents.append(at_ms)
    return incidents


def _likely_causes(
    unexplained: Mapping[str, Set[str]], crashed_ms: Mapping[str, float]
) -> dict[PartGroup, Set[str]]:
    """Return the groups in most crashes, with these, unless chance may explain them."""
    parts_by_crashes: dict[frozenset[str], set[str]] = {}
    for part, crashes in unexplained.items():
        parts_by_crashes.setdefault(frozenset(crashes), set()).add(part)
    counts = {
        crashes: (len(incidents_ms(crashes, crashed_ms)), len(crashes))
        for crashes in parts_by_crashes
    }
    most = max(counts.values(), default=(0, 0))
    top = [crashes for crashes, count in counts.items() if count == most]
    return {
        frozenset(parts_by_crashes[crashes]): crashes
        for crashes in top
        if (most[0] >= MIN_INCIDENTS and most[1] >= _CONCLUSIVE_CRASHES)
        or (
            all(crashes.isdisjoint(other) for other in top if other is not crashes)
            and _is_usual_cause(crashes, crashed_ms)
        )
    }


def _is_usual_cause(crashes: Set[str], crashed_ms: Mapping[str, float]) -> bool:
    """Return whether enough of all crashes around these, or of all incidents, are among them."""
    incidents = len(incidents_ms(crashes, crashed_ms))
    if incidents < MIN_INCIDENTS and len(crashes) < _CONCLUSIVE_CRASHES:
        return False
    times_ms = [crashed_ms[crash] for crash in crashes if crash in crashed_ms]
    begin_ms, end_ms = min(times_ms) - _LOOKBACK_MS, max(times_ms) + _SIMULTANEOUS_MS
    around = {crash for crash, at_ms in crashed_ms.items() if begin_ms <= at_ms <= end_ms}
    if incidents < MIN_INCIDENTS:
        return len(crashes) > len(around) * _MIN_CRASH_FRACTION
    return incidents > len(incidents_ms(around, crashed_ms)) * _MIN_FRACTIONS[incidents]

"""Which servers of a service may get requests, by their versions.

Without an order, servers of another version are ordinary replacements. They are held back until the
operator's records have been read again, as an order may have been written before they started.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from cicadaledge.rollouts._plan import RolloutPlan
from cicadaledge.routing import ServerEntry, Version

# Servers of an unknown version are used after this time even if the operator's records cannot be
# read; the rules bind routers that have been connected to the store for as long.
_MAX_HOLD_MS = 5_000.0
# A server of another version that first appears this long after the rollout was completed is an
# ordinary replacement. The former ones are gone from the store by that time, and the time of a status
# is off by up to 16 s.
REPLACEMENT_MS = 30_000.0


@frozen
class VersionGroups:
    """Names of a service's servers by their role in a rollout.

    Args:
        new: Servers of the new version that may get requests, in the order of their use.
        former: Servers of the versions in use before.
        all_new: All usable servers of the new version.
        others: All usable servers of other versions.
        replacements: Those of them that have replaced servers since the rollout was completed.
        regions: Number of regions with new servers.
        new_slots: Requests that the servers in `new` can run.
        former_slots: The same for `former`.
    """

    new: tuple[str, ...] = ()
    former: frozenset[str] = frozenset()
    regions: int = 0
    new_slots: int = 0
    former_slots: int = 0
    all_new: frozenset[str] = frozenset()
    others: frozenset[str] = frozenset()
    replacements: frozenset[str] = frozenset()
    _canaries: dict[int, frozenset[str]] = field(factory=dict, eq=False, repr=False)

    def canaries(self, fraction: float) -> frozenset[str]:
        """Return the new servers that share a fraction of the requests."""
        count = len(self.new)
        if fraction < 1.0:
            count = RolloutPlan.canary_servers(fraction, len(self.former), self.regions)
        if count not in self._canaries:
            self._canaries[count] = frozenset(self.new[:count])
        return self._canaries[count]


def group_servers(
    entries: Iterable[ServerEntry],
    to: Version,
    former: frozenset[Version],
    cold: Callable[[str], bool],
    region_of: Callable[[str], str],
    replacements: frozenset[str] = frozenset(),
) -> VersionGroups:
    """Group the usable servers of a service.

    Args:
        replacements: Servers of any version that are ordinary replacements.
        former: Versions in use before; empty if unknown, which allows all but `to`.
        cold: Returns whether a server is cold; cold ones are not used for the new version unless
            all are.
    """
    new: list[ServerEntry] = []
    others: list[ServerEntry] = []
    for entry in entries:
        (new if entry.version == to else others).append(entry)
    old = [
        entry
        for entry in others
        if (not former or entry.version in former) and entry.server not in replacements
    ]
    warm = [entry for entry in new if not cold(entry.server)] or new
    ordered, regions = _across_regions(warm, region_of)
    return VersionGroups(
        tuple(entry.server for entry in ordered),
        frozenset(entry.server for entry in old),
        regions,
        sum(max(entry.slots, 1) for entry in ordered),
        sum(max(entry.slots, 1) for entry in old),
        frozenset(entry.server for entry in new),
        frozenset(entry.server for entry in others),
        frozenset(entry.server for entry in others if entry.server in replacements),
    )


def _across_regions(
    entries: list[ServerEntry], region_of: Callable[[str], str]
) -> tuple[list[ServerEntry], int]:
    """Return servers in an order on which all routers agree, with all regions at its start."""
    by_region: dict[str, list[ServerEntry]] = {}
    for entry in sorted(entries, key=lambda entry: _digest(entry.server)):
        by_region.setdefault(region_of(entry.zone), []).append(entry)
    ordered = [
        (place, region, entry)
        for region, members in by_region.items()
        for place, entry in enumerate(members)
    ]
    ordered.sort(key=lambda item: item[:2])
    return [entry for _, _, entry in ordered], len(by_region)


def _digest(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


@define
class VersionGate:
    """Versions of one service that are in use without an order."""

    _known: set[Version] = field(factory=set)

    def held(
        self,
        entries: Iterable[ServerEntry],
        first_seen_ms: Callable[[str], float],
        orders_known_ms: float,
        now_ms: float,
    ) -> frozenset[str]:
        """Return the servers that must wait because an order may exist for their version.

        Args:
            orders_known_ms: Time at which the operator's records were last known to be current.
        """
        held = set()
        present: set[Version] = set()
        released: set[Version] = set()
        for entry in entries:
            present.add(entry.version)
            seen_ms = first_seen_ms(entry.server)
            is_released = orders_known_ms >= seen_ms or now_ms - seen_ms >= _MAX_HOLD_MS
            if entry.version in self._known or is_released:
                released.add(entry.version)
            else:
                held.add(entry.server)
        if not released:  # nothing else is left, or nothing has been read before
            released, held = present, set()
        self._known = released
        return frozenset(held)

    def versions(self) -> frozenset[Version]:
        """Return the versions in use."""
        return frozenset(self._known)

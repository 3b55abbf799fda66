"""Finds names that several entries have."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from cicadaledge.review._finding import Finding, FindingKind, Place, Section
from cicadaledge.routing import RoutingTable

_EFFECTS = {
    Section.ROUTE: "logs and counters do not tell them apart",
    Section.SERVICE: "only the last entry is used",
    Section.ACCOUNT: "they have one share",
}


def check_names(table: RoutingTable, service_names: Sequence[str]) -> Iterator[Finding]:
    """Yield names of routes, services and accounts that occur more than once.

    Args:
        service_names: Names of the services as they stand in the record, which may be repeated.
    """
    sections = {
        Section.ROUTE: [route.name for route in table.routes],
        Section.SERVICE: service_names,
        Section.ACCOUNT: [account.name for account in table.accounts],
    }
    for section, names in sections.items():
        seen: set[str] = set()
        for index, name in enumerate(names):
            if name in seen:
                text = f"an earlier entry has the same name; {_EFFECTS[section]}"
                yield Finding(FindingKind.REPEATED_NAME, Place(section, name, index), text)
            seen.add(name)

"""Finds accounts and regions that do not go together, and API keys that cannot be used."""

from __future__ import annotations

from collections.abc import Iterator

from cicadaledge.review._finding import (
    Deployment,
    Finding,
    FindingKind,
    Place,
    Section,
    join_names,
    mask_key,
)
from cicadaledge.routing import Account, Route, RoutingTable

# Headers are read as Latin-1.
_MAX_CODE_POINT = 0xFF


def check_accounts(table: RoutingTable, deployment: Deployment) -> Iterator[Finding]:
    """Yield findings on API keys, and on the regions of accounts and routes."""
    yield from _check_keys(table)
    for index, route in enumerate(table.routes):
        place = Place(Section.ROUTE, route.name, index)
        yield from _check_regions(route.regions, place, deployment)
    for index, account in enumerate(table.accounts):
        place = Place(Section.ACCOUNT, account.name, index)
        yield from _check_regions(account.regions, place, deployment)
    yield from _check_exclusions(table, deployment)


def _check_keys(table: RoutingTable) -> Iterator[Finding]:
    holders: dict[str, list[int]] = {}
    for index, account in enumerate(table.accounts):
        for key in dict.fromkeys(account.keys):
            holders.setdefault(key, []).append(index)
    for index, account in enumerate(table.accounts):
        place = Place(Section.ACCOUNT, account.name, index)
        if not account.keys:
            yield Finding(FindingKind.NO_KEY, place, "has no API key; nobody can use it")
        for number, key in enumerate(account.keys, 1):
            if not _can_be_sent(key):
                text = f"API key {number} ({mask_key(key)}) cannot be sent in a header as it is"
                yield Finding(FindingKind.UNUSABLE_KEY, place, text)
        for key in dict.fromkeys(account.keys):
            others = [other for other in holders[key] if other != index]
            if others:
                yield Finding(FindingKind.SHARED_KEY, place, _shared_text(key, others, table))


def _shared_text(key: str, others: list[int], table: RoutingTable) -> str:
    names = join_names([table.accounts[other].name for other in others])
    holder = table.account_of_key(key)
    assert holder is not None
    return (
        f"API key {mask_key(key)} is also in account {names};"
        f" routers take its requests for those of {holder.name!r}"
    )


def _can_be_sent(key: str) -> bool:
    """Return whether a header can carry a key such that routers find it unchanged."""
    is_plain = key.isprintable() and all(ord(one) <= _MAX_CODE_POINT for one in key)
    return is_plain and bool(key) and key == key.strip()


def _check_regions(
    regions: frozenset[str], place: Place, deployment: Deployment
) -> Iterator[Finding]:
    if deployment.regions is None:
        return
    unknown = sorted(regions - deployment.regions)
    if unknown and len(unknown) == len(regions):
        text = f"none of its allowed regions has a zone: {join_names(unknown)}; no request is run"
        yield Finding(FindingKind.REGION_WITHOUT_ZONE, place, text)
    elif unknown:
        text = f"some of its allowed regions have no zone: {join_names(unknown)}"
        yield Finding(FindingKind.REGION_WITHOUT_ZONE, place, text)


def _check_exclusions(table: RoutingTable, deployment: Deployment) -> Iterator[Finding]:
    """Yield routes with the accounts whose requests no server may run.

    Accounts and routes that have no usable region by themselves are reported elsewhere.
    """
    names_by_regions: dict[frozenset[str], list[str]] = {}
    for account in table.accounts:
        if account.keys and _usable(account, deployment):
            names_by_regions.setdefault(account.regions, []).append(account.name)
    for index, route in enumerate(table.routes):
        if not route.needs_key or not route.regions or not _usable(route, deployment):
            continue
        names = [
            name
            for regions, accounts in names_by_regions.items()
            if regions and not _usable_of(route.regions & regions, deployment)
            for name in accounts
        ]
        if names:
            text = (
                f"its allowed regions and those of account {join_names(names)} have none in common"
            )
            place = Place(Section.ROUTE, route.name, index)
            yield Finding(FindingKind.EXCLUDING_REGIONS, place, text)


def _usable(entry: Route | Account, deployment: Deployment) -> bool:
    """Return whether an entry, which may be unrestricted, allows a region that has a zone."""
    return not entry.regions or bool(_usable_of(entry.regions, deployment))


def _usable_of(regions: frozenset[str], deployment: Deployment) -> frozenset[str]:
    return regions if deployment.regions is None else regions & deployment.regions

"""Compares two versions of a configuration."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from typing import Any

import attrs
from attrs import frozen

from cicadaledge.review._finding import Section, mask_key
from cicadaledge.routing import Account, Route, RoutingTable, Service

# Fields that identify an entry, are derived from others, or are compared on their own.
_NOT_COMPARED = {"name", "shortest_objective_ms", "keys"}


class Action(enum.StrEnum):
    """What happens to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@frozen
class Change:
    """An entry that differs between two versions.

    Args:
        name: Name of the entry; empty for the limits.
        details: What differs in it, one text for each field or API key.
    """

    section: Section
    name: str
    action: Action
    details: tuple[str, ...] = ()


def find_changes(before: RoutingTable, after: RoutingTable) -> list[Change]:
    """Return what differs between the version in force and another one."""
    changes = _section(Section.ROUTE, before.routes, after.routes)
    changes += _section(Section.SERVICE, before.services.values(), after.services.values())
    changes += _section(Section.ACCOUNT, before.accounts, after.accounts)
    details = tuple(_details(before.limits, after.limits))
    if details:
        changes.append(Change(Section.LIMITS, "", Action.CHANGED, details))
    return changes


def _section(
    section: Section,
    before: Iterable[Route | Service | Account],
    after: Iterable[Route | Service | Account],
) -> list[Change]:
    former, later = _by_name(before), _by_name(after)
    changes = []
    for key, entry in later.items():
        if key not in former:
            details = tuple(_key_details(None, entry))
            changes.append(Change(section, entry.name, Action.ADDED, details))
        elif details := tuple(_details(former[key], entry)):
            changes.append(Change(section, entry.name, Action.CHANGED, details))
    for key, entry in former.items():
        if key not in later:
            details = tuple(_key_details(entry, None))
            changes.append(Change(section, entry.name, Action.REMOVED, details))
    return changes


def _by_name(entries: Iterable[Any]) -> dict[tuple[str, int], Any]:
    """Return entries by their names; those of the same name are numbered."""
    seen: dict[str, int] = {}
    named = {}
    for entry in entries:
        number = seen[entry.name] = seen.get(entry.name, -1) + 1
        named[entry.name, number] = entry
    return named


def _details(before: Any, after: Any) -> Iterator[str]:
    for field in attrs.fields(type(before)):
        if field.name in _NOT_COMPARED:
            continue
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f"{field.name}: {_shown(old)} -> {_shown(new)}"
    yield from _key_details(before, after)


def _key_details(before: Any, after: Any) -> Iterator[str]:
    """Yield API keys that were added to or removed from an account, masked."""
    old = before.keys if isinstance(before, Account) else ()
    new = after.keys if isinstance(after, Account) else ()
    for key in dict.fromkeys(new):
        if key not in old:
            yield f"API key added: {mask_key(key)}"
    for key in dict.fromkeys(old):
        if key not in new:
            yield f"API key removed: {mask_key(key)}"


def _shown(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, frozenset):
        return ", ".join(repr(one) for one in sorted(value)) or "all"
    if isinstance(value, tuple):
        return ", ".join(f"{one.service!r} {one.weight:g}" for one in value)
    if isinstance(value, enum.Enum):
        return str(value)
    if isinstance(value, float):
        return f"{value:g}"
    if attrs.has(type(value)):
        parts = attrs.asdict(value)
        return ", ".join(f"{name} {part}" for name, part in parts.items())
    return repr(value)

"""The routers of the fleet, folded from join, leave and removal records."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from attrs import define, field, frozen


@frozen
class Member:
    """One router process.

    Args:
        incarnation: Grows with each restart of the router.
        joined_offset: Offset of its join record.
    """

    router: str
    incarnation: int
    zone: str
    region: str
    host: str
    peer_port: int
    joined_offset: int = -1


@frozen
class Join:
    """A router process has started."""

    member: Member


@frozen
class Leave:
    """A router process will stop and asks others to take over."""

    router: str
    incarnation: int


@frozen
class Remove:
    """A majority of a router and its witnesses no longer hears the router.

    Args:
        witnesses: Incarnations of the members that gave their word, by name.
    """

    router: str
    incarnation: int
    witnesses: dict[str, int]


# Four witnesses and the router itself are a group of five, so any two majorities meet.
WITNESSES = 4


def rank(key: str, routers: Iterable[str]) -> list[str]:
    """Return the routers by rendezvous hash for a key, best first."""
    return sorted(routers, key=lambda router: (_score(key, router), router), reverse=True)


def _score(key: str, router: str) -> bytes:
    return hashlib.blake2b(f"{key}\n{router}".encode(), digest_size=8).digest()


@define
class Members:
    """Member list at an offset of the control stream.

    The fold is deterministic: each router that reads the same records has the same list.
    """

    by_name: dict[str, Member] = field(factory=dict)

    def apply(self, offset: int, record: Join | Leave | Remove) -> str:
        """Apply one record; return why it is refused, or an empty string."""
        if isinstance(record, Join):
            return self._join(offset, record.member)
        known = self.by_name.get(record.router)
        if known is None or known.incarnation != record.incarnation:
            return "no such member"
        if isinstance(record, Remove) and not self._has_majority(known, record.witnesses):
            return "the words are no majority of the witnesses"
        del self.by_name[record.router]
        return ""

    def of_region(self, region: str) -> list[Member]:
        """Return the members of a region, by name."""
        members = [member for member in self.by_name.values() if member.region == region]
        return sorted(members, key=lambda member: member.router)

    def witnesses_of(self, router: str) -> list[Member]:
        """Return the few members of a router's region that watch it."""
        member = self.by_name.get(router)
        if member is None:
            return []
        others = {one.router: one for one in self.of_region(member.region)}
        others.pop(router)
        return [others[name] for name in rank(f"witness/{router}", others)[:WITNESSES]]

    def home_of(self, server: str, region: str) -> str | None:
        """Return the home router of a backend server in a region, or None."""
        names = [member.router for member in self.of_region(region)]
        return rank(server, names)[0] if names else None

    def _join(self, offset: int, member: Member) -> str:
        known = self.by_name.get(member.router)
        if known is not None:
            if known.incarnation >= member.incarnation:
                return "a newer incarnation has joined"
            if (known.host, known.peer_port) != (member.host, member.peer_port):
                return "the name belongs to a member at another address"
        self.by_name[member.router] = Member(
            router=member.router,
            incarnation=member.incarnation,
            zone=member.zone,
            region=member.region,
            host=member.host,
            peer_port=member.peer_port,
            joined_offset=offset,
        )
        return ""

    def _has_majority(self, removed: Member, witnesses: dict[str, int]) -> bool:
        current = self.witnesses_of(removed.router)
        valid = [one for one in current if witnesses.get(one.router) == one.incarnation]
        return len(valid) * 2 > len(current) + 1

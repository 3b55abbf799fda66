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
    """A router process is about to stop; the others take over its servers."""

    router: str
    incarnation: int


@frozen
class Remove:
    """A majority of the group of a router and its witnesses has voted to remove the router.

    Args:
        witnesses: Incarnations of the members that voted, by name.
    """

    router: str
    incarnation: int
    witnesses: dict[str, int]


# The router and its four witnesses are a group of five; any two majorities of it overlap.
WITNESSES = 4


def rank(key: str, routers: Iterable[str]) -> list[str]:
    """Return the routers ordered by rendezvous hash for a key, best first."""
    return sorted(routers, key=lambda router: (_score(key, router), router), reverse=True)


def _score(key: str, router: str) -> bytes:
    return hashlib.blake2b(f"{key}\n{router}".encode(), digest_size=8).digest()


@define
class Members:
    """Member list at an offset of the control stream.

    It is folded deterministically: all routers that apply the same records have the
    same list.
    """

    by_name: dict[str, Member] = field(factory=dict)

    def apply(self, offset: int, record: Join | Leave | Remove) -> str:
        """Apply one record; return the reason if it is refused, else an empty string."""
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
        """Return the members of a region, sorted by name."""
        members = [member for member in self.by_name.values() if member.region == region]
        return sorted(members, key=lambda member: member.router)

    def witnesses_of(self, router: str) -> list[Member]:
        """Return the members of a router's region that may vote to remove it."""
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

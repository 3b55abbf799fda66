"""What the store tells a router, in the product's terms."""

from __future__ import annotations

from typing import Protocol

from attrs import field, frozen

from cicadaledge.errors import CicadaledgeError
from cicadaledge.routing import RoutingTable, ServerEntry
from cicadaledge.suspects import Evidence


class StoreError(CicadaledgeError):
    """The store did not answer a call, or refused it."""


class HistoryLostError(StoreError):
    """The records asked for are no longer kept; the newest ones must be read anew."""


@frozen
class TableChanged:
    """A version of the configuration was accepted."""

    table: RoutingTable


@frozen
class ZoneChanged:
    """An availability zone is evacuated, or taken back."""

    zone: str
    evacuated: bool


@frozen
class ServerChanged:
    """A backend server wrote a heartbeat."""

    entry: ServerEntry


@frozen
class ServerRemoved:
    """A backend server's entry was removed."""

    server: str


@frozen
class UnreadableEntry:
    """An entry that cannot be read, so that another program must have written it.

    Args:
        subject: What it should tell of, a server or a router.
    """

    subject: str
    reason: str


@frozen
class FleetMember:
    """A router process of the fleet.

    Args:
        zone: Its availability zone.
        announced: Grows each time the process announces itself.
    """

    router: str
    host: str
    peer_port: int
    zone: str
    started_ms: int
    announced: int = field(default=0)


@frozen
class MemberSeen:
    """A router process announced itself."""

    member: FleetMember


@frozen
class EvidenceSeen:
    """A router wrote which requests were running in crashes of servers."""

    router: str
    evidence: Evidence


Change = (
    TableChanged
    | ZoneChanged
    | ServerChanged
    | ServerRemoved
    | UnreadableEntry
    | MemberSeen
    | EvidenceSeen
)


@frozen
class ChangePage:
    """Changes in the order of their offsets.

    Args:
        first_offset: Offset of the first change; of no meaning in a complete reading.
        next_offset: Where to read on.
        proof_ms: Time at which the store had nothing newer than `next_offset`, on the clock
            that counts suspension.
        records: The changes as the store sent them; empty in a complete reading.
    """

    changes: list[Change]
    first_offset: int
    next_offset: int
    proof_ms: float
    records: bytes = b""


class ChangeSource(Protocol):
    """A topic of the store."""

    @property
    def name(self) -> str:
        """What the product calls it."""

    async def newest(self) -> ChangePage:
        """Return the newest change of each subject.

        Raises:
            StoreError: The store did not answer.
        """

    async def since(self, offset: int, wait_ms: int) -> ChangePage:
        """Return changes from an offset on; wait for the first one.

        Raises:
            HistoryLostError: Older changes are gone.
            StoreError: The store did not answer.
        """

    def decode(self, records: bytes, first_offset: int, proof_ms: float) -> ChangePage:
        """Return the page whose records another router has read.

        Raises:
            ValueError: They are malformed.
        """


class SuspectRegistry(ChangeSource, Protocol):
    """The topic in which routers share which requests were running in crashes."""

    async def publish(self, router: str, evidence: Evidence) -> None:
        """Write all that a router has seen.

        Raises:
            StoreError: The store did not answer; the entry may be written.
        """


class MemberRegistry(Protocol):
    """Where router processes announce themselves, and what they tell each other.

    Attributes:
        suspects: What they tell of requests that crash servers.
    """

    suspects: SuspectRegistry

    async def announce(self, member: FleetMember) -> None:
        """Write this process's entry.

        Raises:
            StoreError: The store did not answer; the entry may be written.
        """


@frozen
class StoreTopics:
    """The topics of the store that a router uses.

    Args:
        control: What the operators write.
        servers: Heartbeats of backend servers.
        members: Router processes.
        registry: Where this process announces itself.
    """

    control: ChangeSource
    servers: ChangeSource
    members: ChangeSource
    registry: MemberRegistry

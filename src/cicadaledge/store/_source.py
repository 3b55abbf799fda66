"""Interface to the store: changes of its topics, and the entries that routers write."""

from __future__ import annotations

from typing import Protocol

from attrs import field, frozen

from cicadaledge.errors import CicadaledgeError
from cicadaledge.rollouts import RolloutOrder, RolloutStatus
from cicadaledge.routing import RoutingTable, ServerEntry
from cicadaledge.store._epoch import NO_EPOCH, StoreEpoch
from cicadaledge.suspects import Evidence, PartEvidence, TrialClaim


class StoreError(CicadaledgeError):
    """The store did not answer a call, or refused it."""


class HistoryLostError(StoreError):
    """The requested records have been truncated; the current entries must be read again."""


@frozen
class TableChanged:
    """A version of the configuration was accepted."""

    table: RoutingTable


@frozen
class ZoneChanged:
    """An availability zone was evacuated or restored."""

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
    """An entry that cannot be decoded, which another program must have written.

    Args:
        subject: Key of the entry: the name of a server or router, for instance.
        reason: Why it could not be decoded.
    """

    subject: str
    reason: str


@frozen
class FleetMember:
    """A router process of the fleet.

    Args:
        zone: Its availability zone.
        announced: Number of announcements so far, so that each entry differs from the last.
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
class CrashEvidence:
    """All that a router knows about crashes from its own observation."""

    requests: Evidence = field(factory=Evidence)
    parts: PartEvidence = field(factory=PartEvidence)


@frozen
class EvidenceSeen:
    """A router published which requests were running when servers crashed."""

    router: str
    evidence: CrashEvidence


@frozen
class TrialClaimed:
    """A router claimed a trial of blamed prompt parts."""

    claim: TrialClaim


@frozen
class RolloutOrdered:
    """The operator ordered a rollout, or withdrew the order.

    Args:
        order: None if the order was withdrawn.
    """

    service: str
    order: RolloutOrder | None


@frozen
class RolloutStatusSeen:
    """A router wrote the status of a rollout."""

    status: RolloutStatus


Change = (
    TableChanged
    | ZoneChanged
    | ServerChanged
    | ServerRemoved
    | UnreadableEntry
    | MemberSeen
    | EvidenceSeen
    | TrialClaimed
    | RolloutOrdered
    | RolloutStatusSeen
)


@frozen
class ChangePage:
    """Changes in the order of their offsets.

    A complete read returns the current entry of each key in place of consecutive records.

    Args:
        first_offset: Offset of the first change; meaningless in a complete read.
        next_offset: Offset from which to continue.
        proof_ms: Time at which the store had nothing newer than `next_offset`, on a clock that
            includes the time in which the machine is suspended.
        records: The changes as the store sent them; empty in a complete read.
        epoch: Epoch of the store in which the offsets hold.
    """

    changes: list[Change]
    first_offset: int
    next_offset: int
    proof_ms: float
    records: bytes = b""
    epoch: int = NO_EPOCH


class ChangeSource(Protocol):
    """A topic of the store."""

    @property
    def name(self) -> str:
        """Name of the topic, as used in logs and metrics."""

    async def newest(self) -> ChangePage:
        """Return the newest change of each key.

        Raises:
            StoreError: The store did not answer.
        """

    async def since(self, offset: int, wait_ms: int) -> ChangePage:
        """Return the changes from an offset on; wait up to `wait_ms` for the first one.

        Raises:
            HistoryLostError: The changes from the offset on have been truncated.
            StoreError: The store did not answer.
        """

    def decode(self, records: bytes, first_offset: int, proof_ms: float) -> ChangePage:
        """Decode a page that another router has read.

        Raises:
            ValueError: The records are malformed.
        """


class SuspectRegistry(ChangeSource, Protocol):
    """The topic in which routers share evidence of requests that crash servers."""

    async def publish(self, router: str, evidence: CrashEvidence) -> None:
        """Write all evidence of a router.

        Raises:
            StoreError: The store did not answer; the entry may have been written.
        """

    async def claim_trial(self, claim: TrialClaim) -> None:
        """Write a claim, whose place in the topic decides whether it is won.

        Raises:
            StoreError: The store did not answer; the claim may have been written.
        """


class StatusTopic(ChangeSource, Protocol):
    """The topic in which routers write the status of rollouts."""

    async def write(self, status: RolloutStatus) -> None:
        """Write the status of a rollout.

        Raises:
            StoreError: The store did not answer; the status may have been written.
        """


class MemberRegistry(Protocol):
    """Where router processes announce themselves and share evidence.

    Attributes:
        suspects: Evidence of requests that crash servers.
        epoch: Epoch of the store, as shown by the answers to all calls.
    """

    suspects: SuspectRegistry
    epoch: StoreEpoch

    async def announce(self, member: FleetMember) -> None:
        """Write this process's entry.

        Raises:
            StoreError: The store did not answer; the entry may have been written.
        """


@frozen
class StoreTopics:
    """The topics of the store that a router uses.

    Args:
        control: What the operators write.
        servers: Heartbeats of backend servers.
        members: Router processes.
        registry: Where this process announces itself.
        statuses: Status of rollouts; None where there are none.
    """

    control: ChangeSource
    servers: ChangeSource
    members: ChangeSource
    registry: MemberRegistry
    statuses: StatusTopic | None = None

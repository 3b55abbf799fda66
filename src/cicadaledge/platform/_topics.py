"""The store's keyed topics, whose records are decoded into changes."""

from __future__ import annotations

import hashlib
from typing import ClassVar

from cicadaledge.platform._decode import (
    decode_evidence,
    decode_member,
    decode_order,
    decode_server,
    decode_status,
    decode_table,
    decode_trial_claim,
)
from cicadaledge.platform._encode import (
    encode_evidence,
    encode_member,
    encode_status,
    encode_trial_claim,
)
from cicadaledge.platform._records import KeyedRecord, RecordPage, read_page
from cicadaledge.platform._store_client import StoreClient
from cicadaledge.rollouts import RolloutStatus
from cicadaledge.store import (
    Change,
    ChangePage,
    CrashEvidence,
    EvidenceSeen,
    FleetMember,
    MemberSeen,
    RolloutOrdered,
    RolloutStatusSeen,
    ServerChanged,
    ServerRemoved,
    SuspectRegistry,
    TableChanged,
    TrialClaimed,
    UnreadableEntry,
    ZoneChanged,
)
from cicadaledge.suspects import TrialClaim

# The reason why a record is unreadable is cut to this length, as it is written to a log line.
_MAX_REASON_CHARACTERS = 300
# Keys of claims in the topic of evidence begin with this; names of routers have no slash.
_CLAIM_PREFIX = "trial/"
_CLAIM_DIGEST_BYTES = 8
_TABLE_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
_ROLLOUT_PREFIX = "rollout/"


class _KeyedTopic:
    """A keyed topic whose records are decoded into changes.

    Attributes:
        name: Name in log lines and metrics.
        topic: Name in the store.
    """

    name: ClassVar[str]
    topic: ClassVar[str]

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def newest(self) -> ChangePage:
        """Return the newest change for each key."""
        return self._page(await self._client.newest(self.topic))

    async def since(self, offset: int, wait_ms: int) -> ChangePage:
        """Return the changes starting at an offset; wait up to *wait_ms* for the first."""
        return self._page(await self._client.read(self.topic, offset, wait_ms))

    def decode(self, records: bytes, first_offset: int, proof_ms: float) -> ChangePage:
        """Decode a page that another router has read from the store."""
        return self._page(read_page(records, first_offset, proof_ms))

    def _page(self, page: RecordPage) -> ChangePage:
        decoded = [self._decode_record(record) for record in page.records]
        changes = [change for change in decoded if change is not None]
        return ChangePage(
            changes, page.first_offset, page.next_offset, page.proof_ms, page.data, page.epoch
        )

    def _decode_record(self, record: KeyedRecord) -> Change | None:
        """Decode a record; a malformed one gives an `UnreadableEntry` and does not block others."""
        try:
            return self._to_change(record)
        except ValueError as error:
            return UnreadableEntry(record.key, str(error)[:_MAX_REASON_CHARACTERS])
        except Exception as error:  # noqa: BLE001 - one bad record must not block its topic
            return UnreadableEntry(
                record.key, f"the decoder failed: {error!r}"[:_MAX_REASON_CHARACTERS]
            )

    def _to_change(self, record: KeyedRecord) -> Change | None:
        """Return the change that a record describes, or None if it describes none.

        Raises:
            ValueError: The record is malformed.
        """
        raise NotImplementedError


class ControlTopic(_KeyedTopic):
    """Records of the operator: the configuration, evacuated zones and orders of rollouts."""

    name = "control"
    topic = "keyed.op"

    def _to_change(self, record: KeyedRecord) -> Change | None:
        if record.key == _TABLE_KEY and record.value:
            return TableChanged(decode_table(record.value))
        if record.key.startswith(_EVACUATION_PREFIX):
            zone = record.key.removeprefix(_EVACUATION_PREFIX)
            return ZoneChanged(zone, bool(record.value))
        if record.key.startswith(_ROLLOUT_PREFIX):
            service = record.key.removeprefix(_ROLLOUT_PREFIX)
            order = decode_order(service, record.value) if record.value else None
            return RolloutOrdered(service, order)
        return None


class RolloutStatusTopic(_KeyedTopic):
    """Status of rollouts, keyed by service."""

    name = "rollouts"
    topic = "keyed.status"

    async def write(self, status: RolloutStatus) -> None:
        """Replace the status of the rollout of a service."""
        key = _ROLLOUT_PREFIX + status.service
        await self._client.append(self.topic, key, encode_status(status))

    def _to_change(self, record: KeyedRecord) -> Change | None:
        if not record.value or not record.key.startswith(_ROLLOUT_PREFIX):
            return None
        service = record.key.removeprefix(_ROLLOUT_PREFIX)
        return RolloutStatusSeen(decode_status(service, record.value))


class ServerTopic(_KeyedTopic):
    """Heartbeats of backend servers."""

    name = "servers"
    topic = "keyed.servers"

    def _to_change(self, record: KeyedRecord) -> Change | None:
        if not record.value:
            return ServerRemoved(record.key)
        return ServerChanged(decode_server(record.key, record.value))


class SuspectTopic(_KeyedTopic):
    """Evidence about server crashes, keyed by router, and claims to trials of prompt parts."""

    name = "suspects"
    topic = "keyed.crashes"

    async def publish(self, router: str, evidence: CrashEvidence) -> None:
        """Replace the evidence published by a router."""
        await self._client.append(self.topic, router, encode_evidence(evidence))

    async def claim_trial(self, claim: TrialClaim) -> None:
        """Write a claim, whose place in the topic decides whether it is won."""
        await self._client.append(self.topic, _claim_key(claim), encode_trial_claim(claim))

    def _to_change(self, record: KeyedRecord) -> Change | None:
        if not record.value:
            return None
        if record.key.startswith(_CLAIM_PREFIX):
            return TrialClaimed(decode_trial_claim(record.value))
        return EvidenceSeen(record.key, decode_evidence(record.value))


class MemberTopic(_KeyedTopic):
    """Membership entries, keyed by router.

    Attributes:
        suspects: Topic of the routers' evidence about requests that crash servers.
        epoch: Epoch of the store.
    """

    name = "members"
    topic = "keyed.routers"

    def __init__(self, client: StoreClient) -> None:
        super().__init__(client)
        self.suspects: SuspectRegistry = SuspectTopic(client)
        self.epoch = client.epoch

    async def announce(self, member: FleetMember) -> None:
        """Publish the membership entry of a router."""
        await self._client.append(self.topic, member.router, encode_member(member))

    def _to_change(self, record: KeyedRecord) -> Change | None:
        return MemberSeen(decode_member(record.key, record.value)) if record.value else None


def _claim_key(claim: TrialClaim) -> str:
    """Return a key of its own for each claim, so that the store keeps them all."""
    text = " ".join(sorted(claim.parts)).encode()
    digest = hashlib.blake2b(text, digest_size=_CLAIM_DIGEST_BYTES).hexdigest()
    return f"{_CLAIM_PREFIX}{digest}/{claim.number}/{claim.claimant}"

"""Client of the platform's store, a log with keyed topics."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
from typing import Any, ClassVar
from urllib.parse import urlencode

from attrs import evolve, frozen

from cicadaledge.edge import (
    NO_EPOCH,
    Change,
    ChangePage,
    CrashEvidence,
    EvidenceSeen,
    FleetMember,
    HistoryLostError,
    HttpConnection,
    MemberSeen,
    ResponseHead,
    RolloutOrdered,
    RolloutStatusSeen,
    ServerChanged,
    ServerRemoved,
    StoreEpoch,
    StoreError,
    SuspectRegistry,
    TableChanged,
    TrialClaimed,
    UnreadableEntry,
    ZoneChanged,
    clock_ms,
    timeout_after_reads,
)
from cicadaledge.errors import BackendError
from cicadaledge.logs import PartLog
from cicadaledge.platform._decode import (
    decode_evidence,
    decode_member,
    decode_order,
    decode_server,
    decode_status,
    decode_table,
    decode_trial_claim,
)
from cicadaledge.rollouts import RolloutStatus
from cicadaledge.suspects import TrialClaim

_OK = 200
_GONE = 410
# A call fails after this time, to which the time that a read may wait for records is added. Three
# attempts fit into the deadline for applying a configuration.
_CALL_TIMEOUT_MS = 900.0
# If a single packet is lost while connecting, the attempt ends with this timeout and a new one is
# needed.
_CONNECT_TIMEOUT_MS = 700.0
# Connections that were idle for longer are not reused. The store closes idle connections only after
# a longer time.
_MAX_IDLE_MS = 10_000.0
# A call with a larger answer fails. The store's pages are 1 MB, which is 1.5 MB in base64.
_ANSWER_LIMIT_BYTES = 4 * 1_048_576
# Reading the newest records of a topic fails if all pages together are larger. The entries of 600
# servers and 380 routers are far below this limit.
_NEWEST_LIMIT_BYTES = 16 * 1_048_576
# The reason why a record is unreadable is cut to this length, as it is written to a log line.
_MAX_REASON_CHARACTERS = 300
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
# Keys of claims in the topic of evidence begin with this; names of routers have no slash.
_CLAIM_PREFIX = "trial/"
_CLAIM_DIGEST_BYTES = 8
_TABLE_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
_ROLLOUT_PREFIX = "rollout/"
_PATH = "/cicadaledge/"
_EPOCH_HEADER = b"Store-Era"
# Longer epochs are ignored; this many digits fit into the integers of messages between routers.
_EPOCH_DIGITS = 15
_log = PartLog("store")


@frozen
class _KeyedRecord:
    """A record of a keyed topic; an empty value means that the key was deleted."""

    key: str
    value: bytes


@frozen
class _Page:
    """Records read from a topic.

    Args:
        proof_ms: Time at which the store had no records at or after `next_offset`; minus infinity
            if it had.
        data: The records as the store sent them.
        epoch: Epoch of the store in which the offsets hold.
    """

    records: list[_KeyedRecord]
    first_offset: int
    next_offset: int
    proof_ms: float
    data: bytes = b""
    epoch: int = NO_EPOCH


class StoreClient:
    """HTTP client of the store with a pool of connections, one for each concurrent call.

    Args:
        host: Address of the store.
        port: Port of the store.

    Attributes:
        epoch: Epoch of the store, as shown by its answers to all calls.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[HttpConnection] = []
        self.epoch = StoreEpoch()
        self._reported_header: str | None = None

    async def read(self, topic: str, offset: int, wait_ms: int) -> _Page:
        """Return the records of a topic starting at an offset; wait up to *wait_ms* for the first.

        Raises:
            HistoryLostError: The store has discarded the records at the offset.
            StoreError: The store did not answer.
        """
        query = {"topic": topic, "part": 0, "from": offset}
        if wait_ms:
            query["waitMs"] = wait_ms
        sent_ms = clock_ms()
        data, epoch = await self._request("GET", "log-read", query, b"", wait_ms)
        end = int.from_bytes(data[:_OFFSET_BYTES], "big")
        page = evolve(_read_page(data[2 * _OFFSET_BYTES :], offset, sent_ms), epoch=epoch)
        if page.next_offset < end:
            return evolve(page, proof_ms=float("-inf"))
        has_timed_out = not page.records and clock_ms() - sent_ms >= wait_ms
        return evolve(page, proof_ms=sent_ms + wait_ms) if has_timed_out else page

    async def newest(self, topic: str) -> _Page:
        """Return the newest record of each key of a topic.

        The pages are not a consistent snapshot. The returned next offset is that of the first
        page, so a later read from it returns all records written in the meantime.

        Raises:
            HistoryLostError: The store was restored from a copy between two pages.
            StoreError: The store did not answer, or the pages exceed the size limit.
        """
        sent_ms = clock_ms()
        size = 0
        records: list[_KeyedRecord] = []
        end: int | None = None
        first_epoch: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": 0}
        while True:
            data, epoch = await self._request("GET", "log-newest", query, b"", 0)
            first_epoch = epoch if first_epoch is None else first_epoch
            if epoch != first_epoch:
                raise HistoryLostError(f"the epoch of the store changed while {topic} was read")
            size += len(data)
            if size > _NEWEST_LIMIT_BYTES:
                raise StoreError(f"the entries of {topic} exceed {_NEWEST_LIMIT_BYTES} bytes")
            try:
                page = json.loads(data)
                end = int(page["endOffset"]) if end is None else end
                for item in page["items"]:
                    records.append(_KeyedRecord(item["key"], base64.b64decode(item["value"])))
                if not page.get("hasMore") or not page["items"]:
                    return _Page(records, 0, end, sent_ms, epoch=epoch)
                query["after"] = page["items"][-1]["key"]
            except (ValueError, LookupError, TypeError, AttributeError) as error:
                raise StoreError(f"malformed page of {topic}: {error!r}") from error

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record to a keyed topic.

        Raises:
            StoreError: The store did not answer; the record may have been appended.
        """
        name = key.encode()
        record = bytes([len(name)]) + name + value
        body = len(record).to_bytes(_LENGTH_BYTES, "big") + record
        await self._request("POST", "log-append", {"topic": topic, "part": 0}, body, 0)

    async def _request(
        self, method: str, call: str, query: dict[str, Any], body: bytes, wait_ms: int
    ) -> tuple[bytes, int]:
        """Return the body of an answer and the store's epoch."""
        target = f"{_PATH}{call}?{urlencode(query)}"
        connection = None
        sent_ms = clock_ms()
        try:
            async with timeout_after_reads(_CALL_TIMEOUT_MS + wait_ms):
                connection = await self._acquire()
                host = f"{self._host}:{self._port}".encode()
                connection.send(method, target, [(b"Host", host)], body)
                head = await connection.read_head()
                data = await connection.read_body(_ANSWER_LIMIT_BYTES)
        except (BackendError, TimeoutError) as error:
            if connection is not None:
                connection.abort()
            self._abort_idle()
            raise StoreError(
                f"the store did not answer {call}: {str(error) or 'time-out'}"
            ) from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        if connection.finish_exchange():
            self._idle.append(connection)
        else:
            connection.channel.close()
        epoch = self._read_epoch(head)
        self.epoch.observe(epoch, sent_ms)
        if head.status == _GONE:
            raise HistoryLostError(
                f"{call}: the store no longer has the requested records of {query['topic']}"
            )
        if head.status != _OK:
            raise StoreError(f"the store answered {call} with status {head.status}")
        return data, epoch

    def _read_epoch(self, head: ResponseHead) -> int:
        """Return the epoch in the head of an answer, `NO_EPOCH` without a valid one."""
        values = set(head.get_all(_EPOCH_HEADER))
        if not values:
            return NO_EPOCH
        value = values.pop().strip()
        if not values and value.isascii() and value.isdigit() and len(value) <= _EPOCH_DIGITS:
            return int(value)
        if value != self._reported_header:
            self._reported_header = value
            _log.warning("Epoch of the store is unreadable and ignored.", value=value[:40])
        return NO_EPOCH

    def _abort_idle(self) -> None:
        """Close all idle connections, as a fault that stops one of them stops the others, too."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _acquire(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_ready(_MAX_IDLE_MS):
                return connection
            connection.channel.close()
        return await HttpConnection.open(self._host, self._port, "the store", _CONNECT_TIMEOUT_MS)


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
        return self._page(_read_page(records, first_offset, proof_ms))

    def _page(self, page: _Page) -> ChangePage:
        decoded = [self._decode_record(record) for record in page.records]
        changes = [change for change in decoded if change is not None]
        return ChangePage(
            changes, page.first_offset, page.next_offset, page.proof_ms, page.data, page.epoch
        )

    def _decode_record(self, record: _KeyedRecord) -> Change | None:
        """Decode a record; a malformed one gives an `UnreadableEntry` and does not block others."""
        try:
            return self._to_change(record)
        except ValueError as error:
            return UnreadableEntry(record.key, str(error)[:_MAX_REASON_CHARACTERS])
        except Exception as error:  # noqa: BLE001 - one bad record must not block its topic
            return UnreadableEntry(
                record.key, f"the decoder failed: {error!r}"[:_MAX_REASON_CHARACTERS]
            )

    def _to_change(self, record: _KeyedRecord) -> Change | None:
        """Return the change that a record describes, or None if it describes none.

        Raises:
            ValueError: The record is malformed.
        """
        raise NotImplementedError


class ControlTopic(_KeyedTopic):
    """Records of the operator: the configuration, evacuated zones and orders of rollouts."""

    name = "control"
    topic = "keyed.op"

    def _to_change(self, record: _KeyedRecord) -> Change | None:
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


def encode_status(status: RolloutStatus) -> bytes:
    """Return the record of the status of a rollout."""
    payload = {
        "service": status.service,
        "to": status.to,
        "state": status.state.value,
        "sinceMs": status.since_ms,
        "former": [{"version": version} for version in status.former],
    }
    return json.dumps(payload, separators=(",", ":")).encode()


class RolloutStatusTopic(_KeyedTopic):
    """Status of rollouts, keyed by service."""

    name = "rollouts"
    topic = "keyed.status"

    async def write(self, status: RolloutStatus) -> None:
        """Replace the status of the rollout of a service."""
        key = _ROLLOUT_PREFIX + status.service
        await self._client.append(self.topic, key, encode_status(status))

    def _to_change(self, record: _KeyedRecord) -> Change | None:
        if not record.value or not record.key.startswith(_ROLLOUT_PREFIX):
            return None
        service = record.key.removeprefix(_ROLLOUT_PREFIX)
        return RolloutStatusSeen(decode_status(service, record.value))


class ServerTopic(_KeyedTopic):
    """Heartbeats of backend servers."""

    name = "servers"
    topic = "keyed.servers"

    def _to_change(self, record: _KeyedRecord) -> Change | None:
        if not record.value:
            return ServerRemoved(record.key)
        return ServerChanged(decode_server(record.key, record.value))


def encode_evidence(evidence: CrashEvidence) -> bytes:
    """Return the record of a router's crash evidence."""
    payload = {
        "crashed": evidence.requests.crashed_ms,
        "ran": evidence.requests.ran,
        "cleared": evidence.requests.cleared,
        "parts_crashed": evidence.parts.crashed_ms,
        "parts_ran": evidence.parts.ran,
        "parts_cleared": evidence.parts.cleared,
    }
    return json.dumps(payload, separators=(",", ":")).encode()


def encode_trial_claim(claim: TrialClaim) -> bytes:
    """Return the record of a claim to a trial."""
    payload = {
        "parts": sorted(claim.parts),
        "number": claim.number,
        "claimant": claim.claimant,
        "at": claim.at_ms,
    }
    return json.dumps(payload, separators=(",", ":")).encode()


def _claim_key(claim: TrialClaim) -> str:
    """Return a key of its own for each claim, so that the store keeps them all."""
    text = " ".join(sorted(claim.parts)).encode()
    digest = hashlib.blake2b(text, digest_size=_CLAIM_DIGEST_BYTES).hexdigest()
    return f"{_CLAIM_PREFIX}{digest}/{claim.number}/{claim.claimant}"


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

    def _to_change(self, record: _KeyedRecord) -> Change | None:
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
        payload = {
            "host": member.host,
            "port": member.peer_port,
            "zone": member.zone,
            "started": member.started_ms,
            "announced": member.announced,
        }
        await self._client.append(self.topic, member.router, json.dumps(payload).encode())

    def _to_change(self, record: _KeyedRecord) -> Change | None:
        return MemberSeen(decode_member(record.key, record.value)) if record.value else None


def _read_page(data: bytes, first_offset: int, proof_ms: float) -> _Page:
    records = _decode_records(data)
    return _Page(records, first_offset, first_offset + len(records), proof_ms, data)


def _decode_records(data: bytes) -> list[_KeyedRecord]:
    records = []
    position = 0
    while position + _LENGTH_BYTES <= len(data):
        length = int.from_bytes(data[position : position + _LENGTH_BYTES], "big")
        position += _LENGTH_BYTES
        content = data[position : position + length]
        position += length
        key_end = 1 + content[0] if content else 0
        key = content[1:key_end].decode("utf-8", "replace")
        records.append(_KeyedRecord(key, bytes(content[key_end:])))
    return records

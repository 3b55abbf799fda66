"""HTTP client of the platform's store, a log with keyed topics."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
from urllib.parse import urlencode

from attrs import evolve

from cicadaledge.clock import clock_ms
from cicadaledge.edge import HttpConnection, ResponseHead, timeout_after_reads
from cicadaledge.errors import BackendError
from cicadaledge.logs import PartLog
from cicadaledge.platform._records import KeyedRecord, RecordPage, encode_record, read_page
from cicadaledge.store import NO_EPOCH, HistoryLostError, StoreEpoch, StoreError

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
_OFFSET_BYTES = 8
_PATH = "/cicadaledge/"
_EPOCH_HEADER = b"Store-Era"
# Longer epochs are ignored; this many digits fit into the integers of messages between routers.
_EPOCH_DIGITS = 15
_log = PartLog("store")


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

    async def read(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
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
        page = evolve(read_page(data[2 * _OFFSET_BYTES :], offset, sent_ms), epoch=epoch)
        if page.next_offset < end:
            return evolve(page, proof_ms=float("-inf"))
        has_timed_out = not page.records and clock_ms() - sent_ms >= wait_ms
        return evolve(page, proof_ms=sent_ms + wait_ms) if has_timed_out else page

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key of a topic.

        The pages are not a consistent snapshot. The returned next offset is that of the first
        page, so a later read from it returns all records written in the meantime.

        Raises:
            HistoryLostError: The store was restored from a copy between two pages.
            StoreError: The store did not answer, or the pages exceed the size limit.
        """
        sent_ms = clock_ms()
        size = 0
        records: list[KeyedRecord] = []
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
                    records.append(KeyedRecord(item["key"], base64.b64decode(item["value"])))
                if not page.get("hasMore") or not page["items"]:
                    return RecordPage(records, 0, end, sent_ms, epoch=epoch)
                query["after"] = page["items"][-1]["key"]
            except (ValueError, LookupError, TypeError, AttributeError) as error:
                raise StoreError(f"malformed page of {topic}: {error!r}") from error

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record to a keyed topic.

        Raises:
            StoreError: The store did not answer; the record may have been appended.
        """
        body = encode_record(key, value)
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

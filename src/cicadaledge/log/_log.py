"""Client of the append-only log service."""

from __future__ import annotations

import base64
from typing import Any, Protocol

import urllib3
from attrs import field, frozen

from cicadaledge.errors import LogError, LogUnavailableError
from cicadaledge.settings import Address

_TOO_MANY_REQUESTS = 429
_OK = 200


@frozen
class LogPage:
    """Consecutive records of a stream.

    Args:
        first_offset: Lowest offset that the log has not discarded.
        end_offset: One more than the highest offset in the stream.
        records: Pairs of offset and data, by ascending offset.
    """

    first_offset: int
    end_offset: int
    records: list[tuple[int, bytes]] = field(factory=list)


class LogClient(Protocol):
    """An append-only log with offsets."""

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        Raises:
            LogError: Nothing was appended.
            LogUnavailableError: The record may or may not have been appended.
        """

    def read(self, stream: str, from_offset: int, wait_ms: int) -> LogPage:
        """Return records at or after an offset; wait up to *wait_ms* for the first one.

        Raises:
            LogUnavailableError: The log did not answer.
        """


class HttpLogClient:
    """HTTP client of the log service.

    Args:
        platform: Address of the service.
        timeout_ms: Timeout of each call, in addition to the time that a read may wait.
    """

    def __init__(self, platform: Address, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._pool = urllib3.HTTPConnectionPool(
            platform.host, platform.port, maxsize=8, retries=False
        )

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset."""
        answer = self._call("POST", f"/streams/{stream}", 0, body=data)
        return int(answer["offset"])

    def read(self, stream: str, from_offset: int, wait_ms: int) -> LogPage:
        """Return records at or after an offset; wait up to *wait_ms* for the first one."""
        path = f"/streams/{stream}?from={from_offset}&wait_ms={wait_ms}"
        answer = self._call("GET", path, wait_ms)
        records = [
            (int(item["offset"]), base64.b64decode(item["data"])) for item in answer["records"]
        ]
        return LogPage(int(answer["first"]), int(answer["end"]), records)

    def _call(self, method: str, path: str, wait_ms: int, body: bytes | None = None) -> Any:
        timeout_s = (self._timeout_ms + wait_ms) / 1000
        try:
            answer = self._pool.request(method, path, body=body, timeout=timeout_s)
            if answer.status == _TOO_MANY_REQUESTS:
                raise LogError("the log's append rate is exhausted")
            if answer.status != _OK:
                raise LogUnavailableError(f"the log answered {answer.status}")
            return answer.json()
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, OSError) as error:
            raise LogUnavailableError(f"the log did not answer: {error}") from error

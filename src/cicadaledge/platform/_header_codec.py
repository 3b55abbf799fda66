"""Header names that the platform uses for callers and backend servers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TypeVar

from cicadaledge.edge import Headers, ResponseHead, ResponseSignals
from cicadaledge.routing import Call, PromptPart, ServerEntry

_KEY_SCHEME = "Token "
_MISDIRECTED = 421
_BUSY = 503
_MS_PER_S = 1_000.0
_TIME_FIGURE = 3
_PERCENT = 100.0

T = TypeVar("T")

# These headers concern a single connection (hop-by-hop) and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Only the router may send these headers to a backend server; those of callers are removed.
_ROUTER_HEADERS = frozenset(
    {
        b"authorization",
        b"deadline-ms",
        b"expect-instance",
        b"tenant-id",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"last-event-id",
    }
)


class PlatformHeaderCodec:
    """Parses and builds the headers that the platform defines for requests and answers."""

    ready_path = "/cicadaledge/readyz"

    def parse(
        self, method: str, target: str, headers: Headers, body: bytes, started_ms: float
    ) -> Call:
        """Parse the request of a caller.

        Raises:
            ValueError: A header is missing or has no valid value.
        """
        names = [name.lower() for name, _ in headers]
        values = [value.decode("latin-1").strip() for _, value in headers]
        by_name = dict(zip(names, values, strict=True))
        if names.count(b"attempt-id") != 1 or not by_name[b"attempt-id"]:
            raise ValueError("expected exactly one Attempt-Id header")
        dropped = _hop_by_hop(by_name)
        tokens_in, tokens_out = _token_usage(by_name.get(b"token-usage"))
        return Call(
            request_id=by_name[b"attempt-id"],
            method=method,
            host=by_name.get(b"host", ""),
            target=target,
            headers=[
                item for item, name in zip(headers, names, strict=True) if name not in dropped
            ],
            body=body,
            started_ms=started_ms,
            deadline_ms=_deadline_ms(by_name.get(b"deadline-ms")),
            key=_key(by_name.get(b"authorization")),
            model=by_name.get(b"model"),
            prompt_tokens=tokens_in,
            output_tokens=tokens_out,
            parts=_prompt_parts(by_name.get(b"prompt-prefix")),
            resume_after=by_name.get(b"last-event-id"),
        )

    def request_id(self, headers: Headers) -> str | None:
        """Return the id of a caller's request, or None if it has none."""
        for name, value in headers:
            if name.lower() == b"attempt-id":
                return value.decode("latin-1").strip()
        return None

    def server_headers(
        self,
        call: Call,
        server: ServerEntry,
        account: str | None,
        left_ms: float,
        resume_after: str | None,
    ) -> Headers:
        """Build the headers of a request to a backend server."""
        headers = [item for item in call.headers if item[0].lower() not in _ROUTER_HEADERS]
        headers.append((b"Deadline-Ms", str(max(1, int(left_ms))).encode()))
        headers.append((b"Expect-Instance", server.server.encode("latin-1")))
        if account is not None:
            headers.append((b"Tenant-Id", account.encode("latin-1")))
        if resume_after is not None:
            headers.append((b"Last-Event-Id", resume_after.encode("latin-1")))
        return headers

    def read_signals(self, head: ResponseHead) -> ResponseSignals:
        """Parse the status and headers of a server's answer."""
        wrong_server = head.status == _MISDIRECTED
        read = _AnswerHeaderReader(head)
        return ResponseSignals(
            request_id=head.get(b"Attempt-Id"),
            not_run=wrong_server or head.get(b"Not-Executed") is not None,
            wrong_server=wrong_server,
            cold_left_ms=read.value(b"Cold-Ms", _milliseconds),
            leaving=read.value(b"Server-Leaving", _is_one) or False,
            pause_ms=read.value(b"Retry-After", _seconds) if head.status == _BUSY else None,
            time_factor=read.value(b"Server-Load", _time_factor),
            invalid_headers=tuple(read.unreadable),
        )

    def response_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of a server's answer that are forwarded to the caller."""
        return [item for item in head.headers if item[0].lower() not in _HOP_BY_HOP_HEADERS]

    def refusal_headers(self, retry_after_ms: float | None) -> Headers:
        """Build the headers of a refusal by the router."""
        headers = [(b"Content-Type", b"application/json")]
        if retry_after_ms is not None:
            headers.append((b"Retry-After", f"{retry_after_ms / 1000:.3f}".encode()))
        return headers


def _hop_by_hop(by_name: dict[bytes, str]) -> frozenset[bytes]:
    """Return the hop-by-hop headers of a request, including those listed in `Connection`."""
    listed = by_name.get(b"connection")
    if not listed:
        return _HOP_BY_HOP_HEADERS
    connection_headers = frozenset(
        token.strip().lower().encode("latin-1") for token in listed.split(",")
    )
    return _HOP_BY_HOP_HEADERS | (
        connection_headers - {b"", b"close", b"keep-alive", b"attempt-id", b"host"}
    )


def _key(value: str | None) -> str | None:
    if value is None or not value.startswith(_KEY_SCHEME):
        return None
    return value[len(_KEY_SCHEME) :].strip()


class _AnswerHeaderReader:
    """Reads headers of one answer and records which of them have no valid value."""

    def __init__(self, head: ResponseHead) -> None:
        self.unreadable: list[str] = []
        self._head = head

    def value(self, name: bytes, parse: Callable[[str], T]) -> T | None:
        """Return the parsed header; None if it is missing, malformed or has conflicting values."""
        raw_values = self._head.get_all(name)
        if not raw_values:
            return None
        values = {value.strip() for value in raw_values}
        try:
            (value,) = values
            return parse(value)
        except ValueError:
            self.unreadable.append(name.decode())
            return None


def _is_one(value: str) -> bool:
    if value not in ("0", "1"):
        raise ValueError(f"expected 0 or 1, found {value!r}")
    return value == "1"


def _seconds(value: str) -> float:
    """Parse seconds and return milliseconds."""
    number = float(value) * _MS_PER_S
    if not 0 <= number < math.inf:
        raise ValueError(f"expected seconds, found {value!r}")
    return number


def _milliseconds(value: str) -> float:
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"expected milliseconds, found {value!r}")
    return number


def _time_factor(value: str) -> float | None:
    """Parse the fourth of a server's load figures: how long work takes, in percent of the usual.

    Some servers send only the first three.
    """
    figures = value.split(",")
    if len(figures) <= _TIME_FIGURE:
        return None
    percent = float(figures[_TIME_FIGURE])
    if not 0 < percent < math.inf:
        raise ValueError(f"expected percent of the usual time, found {value!r}")
    return percent / _PERCENT


def _deadline_ms(value: str | None) -> float | None:
    return None if value is None else _milliseconds(value)


def _token_usage(value: str | None) -> tuple[int, int]:
    """Return the number of prompt tokens and the maximum number of output tokens."""
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(",")
    return max(0, int(prompt)), max(0, int(output or 0))


def _prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(","):
        digest, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(digest, int(tokens)))
    return tuple(parts)

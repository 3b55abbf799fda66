"""Interface between request handling and the header names of a platform."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from cicadaledge.edge._http_client import Headers, ResponseHead
from cicadaledge.routing import Call, ServerEntry


@frozen
class ResponseSignals:
    """What the headers of a server's response say about the request and the server.

    Args:
        request_id: Id of the request that the response belongs to, or None.
        not_run: Whether the server states that it did not run the request.
        wrong_server: Whether the address now belongs to another server.
        cold_left_ms: Remaining warm-up time of the server, or None.
        leaving: Whether the server states that it is shutting down.
        pause_ms: Time during which the server wants no requests, or None.
        time_factor: How long work takes on the server's machine at the moment, as a multiple of the
            usual time, or None.
        invalid_headers: Names of the headers whose values are invalid.
    """

    request_id: str | None
    not_run: bool
    wrong_server: bool
    cold_left_ms: float | None
    leaving: bool = False
    pause_ms: float | None = None
    time_factor: float | None = None
    invalid_headers: tuple[str, ...] = ()


class HeaderCodec(Protocol):
    """Reads and writes the headers exchanged with callers and backend servers."""

    ready_path: str

    def parse(
        self, method: str, target: str, headers: Headers, body: bytes, started_ms: float
    ) -> Call:
        """Return the call that a caller's HTTP request describes.

        Raises:
            ValueError: A header has no valid value.
        """

    def request_id(self, headers: Headers) -> str | None:
        """Return the id of a caller's request, or None."""

    def server_headers(
        self,
        call: Call,
        server: ServerEntry,
        account: str | None,
        left_ms: float,
        resume_after: str | None,
    ) -> Headers:
        """Return the headers of a request to a backend server.

        Args:
            left_ms: Time left until the request times out.
            resume_after: Id of the event after which the stream resumes; replaces the one that
                the caller sent.
        """

    def read_signals(self, head: ResponseHead) -> ResponseSignals:
        """Return the signals in the head of a response."""

    def response_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of a server's response to pass on to the caller."""

    def refusal_headers(self, retry_after_ms: float | None) -> Headers:
        """Return the headers of a refusal by the router itself."""

"""What the serving path needs of an interface's headers, whatever their names are."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from cicadaledge.edge._http_client import Headers, ResponseHead
from cicadaledge.routing import Call, ServerEntry


@frozen
class ResponseSignals:
    """What the head of a server's answer says beside its status.

    Args:
        request_id: Id of the request that it answers, or None.
        not_run: Whether the server states that it did not run the request.
        wrong_server: Whether another server has the address now.
        cold_left_ms: How long the server stays cold, or None.
        leaving: Whether the server states that it is about to leave.
        pause_ms: How long the server wants nothing more, or None.
        unreadable: Headers whose value says nothing.
    """

    request_id: str | None
    not_run: bool
    wrong_server: bool
    cold_left_ms: float | None
    leaving: bool = False
    pause_ms: float | None = None
    invalid_headers: tuple[str, ...] = ()


class HeaderCodec(Protocol):
    """Names of headers towards callers and backend servers."""

    ready_path: str

    def parse(
        self, method: str, target: str, headers: Headers, body: bytes, started_ms: float
    ) -> Call:
        """Return a caller's request in the product's terms.

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
            resume_after: Id of the event behind which a stream goes on, in place of the one
                that the caller named.
        """

    def read_signals(self, head: ResponseHead) -> ResponseSignals:
        """Return what an answer's head says."""

    def response_headers(self, head: ResponseHead) -> Headers:
        """Return a server's headers as the caller gets them."""

    def refusal_headers(self, retry_after_ms: float | None) -> Headers:
        """Return the headers of an answer of the router's own."""

"""Writes a response to a caller, so that an incomplete one never looks complete."""

from __future__ import annotations

from collections.abc import Callable

import h11

from cicadaledge.edge._channel import Channel
from cicadaledge.edge._http_client import Headers

_REASONS = {200: b"OK", 400: b"Bad Request", 503: b"Service Unavailable", 504: b"Gateway Timeout"}


class ResponseWriter:
    """Writes one response to a caller.

    Args:
        channel: The caller's connection.
        protocol: State of the exchange.
        ends_connection: Whether to close the connection after the response that starts now.

    Attributes:
        channel: The caller's connection.
        started: Whether the head of the response was sent.
    """

    def __init__(
        self, channel: Channel, protocol: h11.Connection, ends_connection: Callable[[], bool]
    ) -> None:
        self.channel = channel
        self.started = False
        self._protocol = protocol
        self._ends_connection = ends_connection

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response in one write, as each write costs a system call."""
        framed = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._send(self._head(status, framed), h11.Data(data=body), h11.EndOfMessage())
        self.started = True
        await self.channel.drain()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose length is not known."""
        self._send(self._head(status, [*headers, (b"Transfer-Encoding", b"chunked")]))
        self.started = True

    async def send_chunk(self, data: bytes) -> None:
        """Send the next part of the body."""
        if data and self._protocol.their_http_version == b"1.1":
            # h11 keeps no state between chunks; framing them here takes a fifth of its time.
            self.channel.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._send(h11.Data(data=data))
        await self.channel.drain()

    def end(self) -> None:
        """Mark the response as complete."""
        self._send(h11.EndOfMessage())

    def send_raw(self, data: bytes) -> None:
        """Send raw bytes; used by stand-in servers to send malformed responses."""
        self.channel.write(data)

    def close(self) -> None:
        """Close the connection after all written bytes are sent."""
        self.channel.close()

    def abort(self) -> None:
        """Reset the connection, so that the caller sees that the response is incomplete."""
        self.channel.abort()

    def _head(self, status: int, headers: Headers) -> h11.Response:
        has_connection_header = any(name.lower() == b"connection" for name, _ in headers)
        if not has_connection_header and self._ends_connection():
            headers = [*headers, (b"Connection", b"close")]
        reason = _REASONS.get(status, b"")
        return h11.Response(status_code=status, headers=headers, reason=reason)

    def _send(self, *events: h11.Event) -> None:
        send_events(self.channel, self._protocol, *events)


def send_events(channel: Channel, protocol: h11.Connection, *events: h11.Event) -> None:
    """Write what the events of an exchange become on the wire."""
    data = b"".join(protocol.send(event) or b"" for event in events)
    if data:
        channel.write(data)

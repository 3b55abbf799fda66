"""Stand-in of a faulty backend server: sends given bytes, on request without end."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from types import TracebackType

from cicadaledge.world import BackendServer

_HOST = "127.0.0.1"
# An endless answer is cut off at this size. It is far above every limit that routers have, but a
# test can still hold it in memory.
_ENDLESS_LIMIT_BYTES = 256 * 1_048_576
_WRITE_BYTES = 65_536


class RawServer:
    """Answers each request with the same bytes.

    Args:
        raw: The bytes.
        endless: Sent repeatedly after them, until the client closes the connection.
        pause_s: Time after each byte of `endless`; 0 to send as fast as the client reads.

    Attributes:
        sent_bytes: Bytes sent on all connections.
        stopped: Set when a client has closed a connection while `endless` was being sent.
    """

    def __init__(self, raw: bytes, endless: bytes = b"", pause_s: float = 0.0) -> None:
        self.sent_bytes = 0
        self.stopped = threading.Event()
        self._raw = raw
        self._endless = endless
        self._pause_s = pause_s
        self._listener = socket.create_server((_HOST, 0))

    def __enter__(self) -> RawServer:
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._listener.close()

    @property
    def address(self) -> BackendServer:
        """The server as it stands in a configuration."""
        return BackendServer("raw", "zone", "pool", _HOST, self._listener.getsockname()[1])

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while _read_request_head(connection):
                self._send(connection, self._raw)
                if self._endless:
                    self._send_endlessly(connection)

    def _send_endlessly(self, connection: socket.socket) -> None:
        block = self._endless
        if not self._pause_s:
            block *= _WRITE_BYTES // len(block) + 1
        pieces = [block] if not self._pause_s else [bytes([byte]) for byte in block]
        try:
            while self.sent_bytes < _ENDLESS_LIMIT_BYTES:
                for piece in pieces:
                    self._send(connection, piece)
                    time.sleep(self._pause_s)
        except OSError:
            self.stopped.set()
            raise

    def _send(self, connection: socket.socket, data: bytes) -> None:
        connection.sendall(data)
        self.sent_bytes += len(data)


def _read_request_head(connection: socket.socket) -> bool:
    """Read the head of a request; return whether there was one."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(65_536)
        if not data:
            return False
        received += data
    return True

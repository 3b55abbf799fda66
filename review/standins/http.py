"""A small HTTP/1.1 server and client for the stand-ins; standard library only."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass, field

HOST = "127.0.0.1"
_PORT_RANGE = (15_000, 32_000)


@dataclass
class Request:
    """A request that a stand-in has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Exchange:
    """Writes the answer to one request."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.is_chunked = False

    @property
    def is_closing(self) -> bool:
        return self._writer.is_closing()

    async def send(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a complete answer."""
        self._head(status, {**headers, "Content-Length": str(len(body))}, body)
        await self._writer.drain()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a chunked answer."""
        self._head(status, {**headers, "Transfer-Encoding": "chunked"})
        await self._writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the answer."""
        self._writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._writer.drain()

    def _head(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        lines = [f"HTTP/1.1 {status} x", *(f"{name}: {value}" for name, value in headers.items())]
        self._writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


class Server:
    """An HTTP server on a loopback port that can stop and start again."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def answer(self, request: Request, exchange: Exchange) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def start(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.port = self.port or free_ports(1)[0]
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 22)

    async def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = b""
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = await _read_chunks(reader)
                elif size := int(headers.get("content-length", "0")):
                    body = await reader.readexactly(size)
                await self._answer_unless_left(
                    reader, Request(method, target, headers, body), Exchange(writer)
                )
        except (OSError, EOFError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _answer_unless_left(
        self, reader: asyncio.StreamReader, request: Request, exchange: Exchange
    ) -> None:
        """Answer a request; stop as soon as the peer closes its connection."""
        answering = asyncio.ensure_future(self.answer(request, exchange))
        closing = asyncio.ensure_future(_wait_closed(reader))
        try:
            await asyncio.wait({answering, closing}, return_when=asyncio.FIRST_COMPLETED)
            if not answering.done():
                raise EOFError
            answering.result()
        finally:
            for part in (answering, closing):
                part.cancel()
            await asyncio.gather(answering, closing, return_exceptions=True)


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


@dataclass
class Answer:
    """What a client has received.

    Args:
        status: 0 if there was no answer.
        is_complete: Whether the answer ended as its framing announced.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""


class Connection:
    """A client's connection, for one request after another."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Answer:
        """Send a request and return its answer, as far as it arrives in time."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(method, target, headers, body, answer)
        except TimeoutError:
            answer.error = "time-out"
        except (OSError, EOFError, ValueError) as error:
            answer.error = f"connection ended: {type(error).__name__}"
        if not answer.is_complete or "close" in answer.headers.get("connection", ""):
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self._writer.transport.abort()
        self._reader = self._writer = None

    async def _exchange(
        self, method: str, target: str, headers: dict[str, str], body: bytes, answer: Answer
    ) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
        assert self._reader is not None
        sent = {**headers, "Content-Length": str(len(body))}
        lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in sent.items())]
        self._writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        first, answer.headers = await _read_head(self._reader)
        answer.status = int(first.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int((await self._reader.readuntil(b"\r\n")).split(b";")[0], 16):
                answer.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readuntil(b"\r\n")
        else:
            size = int(answer.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(size)
        answer.is_complete = True


def free_ports(count: int) -> list[int]:
    """Return unused ports, below those that the system takes for outgoing connections."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*_PORT_RANGE)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as one:
        try:
            one.bind((HOST, port))
        except OSError:
            return False
    return True

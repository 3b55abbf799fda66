"""Stand-ins of the platform, its runners and its clients, and the start of routers.

Only the standard library is used. Everything listens on 127.0.0.1. The stand-ins follow the users'
pages; a case adds its own disruption to them.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import logging
import os
import random
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SITE_HOST = "site.example"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Descriptors that this process and the routers that it starts may have.
DESCRIPTORS = 8_192
# asyncio logs each write to a connection that its peer has ended.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


def now_ms() -> float:
    """Return the time of the steady clock."""
    return time.monotonic() * 1000


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


_taken: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return consecutive free ports below those that the kernel gives to outgoing connections.

    None is returned twice, as a process may not listen yet on those that it was given.
    """
    chooser = random.Random(os.getpid() ^ time.time_ns())
    for _ in range(200):
        first = chooser.randrange(12_000, 30_000)
        ports = list(range(first, first + count))
        if _taken.intersection(ports):
            continue
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    sock = stack.enter_context(socket.socket())
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind((HOST, port))
            except OSError:
                continue
            _taken.update(ports)
            return ports
    raise OSError("no free ports")


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_ms = now_ms()

    def add(self, text: str) -> None:
        """Write one line with the time since the start of the script."""
        self._file.write(f"{(now_ms() - self._started_ms) / 1000:8.3f} {text}\n")

    def close(self, text: str) -> None:
        """Write the outcome, also to standard output."""
        self.add(text)
        self._file.close()
        print(text)


@contextlib.asynccontextmanager
async def serve(
    handle: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], port: int
) -> AsyncIterator[asyncio.Server]:
    """Serve connections at a port; their tasks end with the context."""
    tasks: set[asyncio.Task[None]] = set()

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(run, HOST, port, limit=1 << 20, backlog=512)
    try:
        yield server
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
        await asyncio.sleep(0)


class Message:
    """The first line, headers (names in lower case) and body of a request or an answer."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, *, is_answer: bool = False) -> Message | None:
    """Return the next request or answer; None if the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read() if is_answer and " 204 " not in lines[0] else b""
    return Message(lines[0], headers, body)


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: keyed topics of one partition, with long polls.

    Attributes:
        era: Value of the header `Store-Era`.
        away: Whether all connections are reset.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.era = 1
        self.away = False
        self._records: dict[str, list[bytes]] = {}
        self._newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record, as the operator or a runner does; None as value drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + data)

    def _append(self, topic: str, record: bytes) -> int:
        records = self._records.setdefault(topic, [])
        records.append(record)
        key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
        newest = self._newest.setdefault(topic, {})
        if value:
            newest[key] = (value, len(records) - 1)
        else:
            newest.pop(key, None)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def copy(self) -> tuple[dict[str, list[bytes]], dict[str, dict[str, tuple[bytes, int]]]]:
        """Return a copy of the contents."""
        records = {topic: list(items) for topic, items in self._records.items()}
        return records, {topic: dict(items) for topic, items in self._newest.items()}

    def restore(
        self, contents: tuple[dict[str, list[bytes]], dict[str, dict[str, tuple[bytes, int]]]]
    ) -> None:
        """Go back to a copy and begin a new era."""
        self._records, self._newest = contents
        self.era += 1

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while (call := await read_message(reader)) is not None:
            if self.away:
                reset(writer)
                return
            status, body = await self._answer(call)
            if self.away:
                reset(writer)
                return
            writer.write(answer_bytes(status, {"Store-Era": str(self.era)}, body))
            await writer.drain()

    async def _answer(self, call: Message) -> tuple[int, bytes]:
        url = urlsplit(call.first.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        match url.path:
            case "/cicadaledge/log-append":
                return self._answer_append(topic, call.body)
            case "/cicadaledge/log-read":
                return await self._answer_read(topic, query)
            case "/cicadaledge/log-newest":
                items = [
                    {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                    for key, (value, offset) in self._newest.get(topic, {}).items()
                ]
                end = len(self._records.get(topic, ()))
                page = {"items": items, "hasMore": False, "endOffset": end}
                return 200, json.dumps(page).encode()
            case _:
                return 404, b""

    def _answer_append(self, topic: str, body: bytes) -> tuple[int, bytes]:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        first = len(self._records.get(topic, ()))
        while body:
            length = int.from_bytes(body[:4], "big")
            self._append(topic, body[4 : 4 + length])
            body = body[4 + length :]
        end = len(self._records.get(topic, ()))
        return 200, json.dumps({"offset": first, "endOffset": end}).encode()

    async def _answer_read(self, topic: str, query: dict[str, str]) -> tuple[int, bytes]:
        offset = int(query["from"])
        until_ms = now_ms() + int(query.get("waitMs", "0"))
        era = self.era
        while len(self._records.get(topic, ())) <= offset and now_ms() < until_ms:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, until_ms - now_ms()) / 1000):
                    await self._changed.wait()
            if self.era != era or self.away:
                break
        records = self._records.get(topic, [])
        if offset > len(records):
            return 410, json.dumps({"firstOffset": 0}).encode()
        data = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for record in records[offset:]:
            data += len(record).to_bytes(4, "big") + record
        return 200, data


class Router:
    """One router, started with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        zone: str,
        zones: dict[str, str],
        store_port: int,
        folder: Path,
        bounds: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
    ) -> None:
        front, ready, control, peers, _ = free_ports(5)
        self.name = name
        self.port = front
        self.ready_port = ready
        self.process: subprocess.Popen[bytes] | None = None
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        all_bounds = {
            "seedLagS": 3,
            "addrReuseS": 2,
            "contactMs": 4000,
            "ackMs": 5000,
            "catchUpS": 4,
            "drainMs": 3000,
            "graceS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 3000,
            "rollbackSlackMs": 250,
            "maxSkewMs": 6000,
            "strictRevoke": True,
            "revokeMs": 5000,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "retryBudgetSlack": 58,
            "coldOverage": 1.5,
            "coldSlack": 5,
            "evacuationMs": 5000,
            "recoveryS": 12,
            "passMs": 400,
            "retryAfterS": 10,
            "quotaWindowS": 4,
            **(bounds or {}),
        }
        all_limits = {"memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0, **(limits or {})}
        lines = [
            f'nodeName = "{name}"',
            'role = "router"',
            'machineClass = "front"',
            'serves = ["front"]',
            f'ip = "{HOST}"',
            f'zone = "{zone}"',
            f'region = "{zones[zone]}"',
            f"internalPortRange = [{peers}, {peers + 1}]",
            "heartbeatMs = 1200",
            'discovery = "platform"',
            'entryMode = "vip"',
            'contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",'
            ' "stream", "tenants", "places", "platform"]',
            "[zones]",
            *(f'{one} = "{region}"' for one, region in zones.items()),
            "[listenAddrs]",
            f'front = "{HOST}:{front}"',
            f'ready = "{HOST}:{ready}"',
            f'control = "{HOST}:{control}"',
            "[limits]",
            *(f"{one} = {json.dumps(value)}" for one, value in all_limits.items()),
            "[bounds]",
            *(f"{one} = {json.dumps(value)}" for one, value in all_bounds.items()),
            "[platform]",
            f'address = "{HOST}:{store_port}"',
            'form = "log"',
        ]
        self._settings.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": "target/deps",
            "CICADALEDGE_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/router.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the router says that it is ready."""
        until_ms = now_ms() + timeout_s * 1000
        while now_ms() < until_ms:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.ready_port)
                writer.write(b"GET /cicadaledge/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_message(reader, is_answer=True)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} was not ready: {self.log_tail()}")

    def log_tail(self) -> str:
        """Return the end of its log."""
        return self._log.read_text(errors="replace")[-2000:] if self._log.exists() else ""

    def memory_mb(self, field: str = "VmRSS") -> float:
        """Return a memory figure of the process in MiB; `VmHWM` is the peak of `VmRSS`."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def route(name: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    plain = {
        "name": f"r-{name}",
        "host": SITE_HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 15_000,
        "targetLatencyMs": 1_000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "authExempt": False,
        "sessionAffinity": False,
        "streamResume": False,
        "allowedRegions": [],
    }
    return {**plain, **changes}


def plain_service(name: str) -> dict[str, Any]:
    """Return a service without engines."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 110,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
    }


def model_service(name: str) -> dict[str, Any]:
    """Return a service of model runners."""
    engine = {"slots": 64, "kvCapacity": 578_286, "models": [{"name": "m"}]}
    return {**plain_service(name), "maxConnections": 370, "engine": engine}


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    keys: dict[str, list[str]],
) -> dict[str, Any]:
    """Return a configuration, with the limits of the small sites."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            "tokensPerS": 450_000,
        },
        "tenants": [
            {"name": name, "apiKeys": held, "priority": 1, "allowedRegions": []}
            for name, held in keys.items()
        ],
    }


class Runner:
    """A runner's entry in the store; a case gives it a handler of connections."""

    def __init__(self, instance: str, service: str, zone: str, port: int, slots: int) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.port = port
        self.slots = slots
        self.state = "ready"
        self.born_ms = time.time_ns() // 1_000_000
        self._sequence = 0

    def beat(self, store: Store) -> None:
        """Write the entry."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seqNo": self._sequence,
            "born": self.born_ms,
        }
        store.put("keyed.servers", self.instance, entry)


async def keep_beating(store: Store, runners: list[Runner]) -> None:
    """Write the entries of runners every 1.2 s."""
    while True:
        for runner in runners:
            runner.beat(store)
        await asyncio.sleep(1.2)


def run_case(case: Callable[[Path, Record], Awaitable[int]], seconds: float = 110.0) -> None:
    """Run a case in a temporary folder and exit with its outcome."""
    record = Record(Path(sys.argv[1]) / "record.txt")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        # A script that is ended still ends the processes that it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            async with asyncio.timeout(seconds):
                return await case(Path(folder), record)

    try:
        outcome = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - "could not run"
        record.close(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    text = {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "could not run"}
    record.close(f"outcome: {text[outcome]}")
    sys.exit(outcome)

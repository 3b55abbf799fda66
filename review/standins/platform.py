"""Stand-ins of the platform: its store, its runners, and the start of routers; see the pages."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.http import HOST, Connection, Exchange, Request, Server, free_ports

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = {"zone-a": "north", "zone-b": "south", "zone-c": "west"}
SITE_HOST = "site.example"
KEY = "key-of-banksia"
LIMIT_S = 112.0
# The bounds that the site files of the small deployments set.
BOUNDS = {
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
    "retryBudgetSlack": 54,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuationMs": 5000,
    "recoveryS": 12,
    "passMs": 400,
    "retryAfterS": 10,
    "quotaWindowS": 4,
}


def now_ms() -> float:
    """Return milliseconds of the monotonic clock."""
    return time.monotonic() * 1000.0


class Record:
    """The case's record of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_ms = now_ms()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{(now_ms() - self._start_ms) / 1000:9.3f} {text}\n")
        self._file.flush()


class Store(Server):
    """The platform's store: keyed topics of one partition each.

    Attributes:
        down_topics: Topics that answer every call with 503, as a partly down store does.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.down_topics: set[str] = set()
        self._record = record
        self._logs: dict[str, list[bytes]] = {}
        self._newest: dict[str, dict[str, tuple[bytes, int]]] = {}

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record as the operator or a runner does; None removes the key."""
        data = b"" if value is None else value if isinstance(value, bytes) else _json(value)
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + data)

    async def answer(self, request: Request, exchange: Exchange) -> None:
        """Answer one call."""
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if topic in self.down_topics:
            self._record.write(f"store: {url.path.rpartition('/')[2]} {topic} answered 503 (down)")
            await exchange.send(503, {})
            return
        match url.path.removeprefix("/cicadaledge/"):
            case "log-append":
                offset, body = -1, request.body
                while body:
                    size = int.from_bytes(body[:4], "big")
                    offset = self._append(topic, body[4 : 4 + size])
                    body = body[4 + size :]
                end = len(self._log(topic))
                await exchange.send(200, {}, _json({"offset": offset, "endOffset": end}))
            case "log-read":
                await self._read(topic, query, exchange)
            case "log-newest":
                items = [
                    {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                    for key, (value, offset) in sorted(self._newest.get(topic, {}).items())
                ]
                page = {"items": items, "hasMore": False, "endOffset": len(self._log(topic))}
                await exchange.send(200, {}, _json(page))
            case _:
                await exchange.send(404, {})

    async def _read(self, topic: str, query: dict[str, str], exchange: Exchange) -> None:
        log, offset = self._log(topic), int(query["from"])
        end_ms = now_ms() + float(query.get("waitMs", "0"))
        while len(log) <= offset and now_ms() < end_ms:
            await asyncio.sleep(0.005)
        if topic in self.down_topics:
            await exchange.send(503, {})
            return
        data = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for record in log[offset:]:
            data += len(record).to_bytes(4, "big") + record
        await exchange.send(200, {}, data)

    def _append(self, topic: str, record: bytes) -> int:
        key_end = 1 + record[0]
        key, value = record[1:key_end].decode(), record[key_end:]
        log = self._log(topic)
        log.append(record)
        if value:
            self._newest.setdefault(topic, {})[key] = (value, len(log) - 1)
        else:
            self._newest.setdefault(topic, {}).pop(key, None)
        return len(log) - 1

    def _log(self, topic: str) -> list[bytes]:
        return self._logs.setdefault(topic, [])


class Runner(Server):
    """A backend server; it registers itself in the store and writes a heartbeat every 1.2 s.

    Attributes:
        arrivals: Time, router (by its connection) and id of each request that it began to run.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str, slots: int
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = 0.02
        self.events = 4
        self.cold_until_ms = 0.0
        self.arrivals: list[tuple[float, str]] = []
        self.running = 0
        self.born_ms = 0
        self._sequence = 0
        self._store = store
        self._record = record
        self._beat: asyncio.Task[None] | None = None

    async def begin(self, cold_ms: float = 0.0) -> None:
        """Start a new incarnation under the same id and address."""
        await self.start()
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self._sequence = 0
        self.cold_until_ms = now_ms() + cold_ms
        self._beat = asyncio.create_task(self._keep_registered())
        self._record.write(f"runner {self.name}: starts, cold for {cold_ms:.0f} ms")

    async def crash(self) -> None:
        """End without a word."""
        if self._beat is not None:
            self._beat.cancel()
        self._record.write(f"runner {self.name}: crashes with {self.running} requests running")
        await self.stop()
        self.running = 0

    def write_entry(self, state: str = "ready") -> None:
        """Write a heartbeat."""
        self._sequence += 1
        self._store.put(
            "keyed.servers",
            self.name,
            {
                "service": self.service,
                "address": f"{HOST}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldRemainingMs": max(0, round(self.cold_until_ms - now_ms())),
                "seqNo": self._sequence,
                "born": self.born_ms,
            },
        )

    async def _keep_registered(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    async def answer(self, request: Request, exchange: Exchange) -> None:
        """Run one request, or refuse it."""
        request_id = request.headers.get("attempt-id", "")
        if request.headers.get("expect-instance", self.name) != self.name:
            await exchange.send(421, {"Attempt-Id": request_id, "Instance-Id": self.name})
            return
        self.arrivals.append((now_ms(), request_id))
        self._record.write(f"runner {self.name}: runs {request_id} {request.target}")
        self.running += 1
        try:
            await self.run(request, request_id, exchange)
        finally:
            self.running = max(0, self.running - 1)

    async def run(self, request: Request, request_id: str, exchange: Exchange) -> None:
        """Run a request: a stream if it names a model, a plain one otherwise."""
        headers = {"Attempt-Id": request_id, "Response-Seal": f"{self.name}.{request_id}"}
        if "token-usage" not in request.headers:
            await asyncio.sleep(self.work_s)
            await exchange.send(200, headers, f"{self.name} {request.target}".encode())
            return
        await asyncio.sleep(self.work_s)
        await exchange.start(200, {**headers, "Content-Type": "text/event-stream"})
        for number in range(1, self.events + 1):
            await exchange.chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(self.work_s)
        await exchange.chunk(b"")


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, folder: Path, store: Store, record: Record, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.front, self.ready, peers, metrics = sorted(free_ports(4))
        self._record = record
        self._log = folder / f"{name}.log"
        self._file = folder / f"{name}.toml"
        self._file.write_text(_settings(self, store, peers, metrics))
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, with the environment that the platform gives it."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CICADALEDGE_NODE_FILE"] = str(self._file)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "deploy/router.py"], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.write(f"router {self.name}: started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)
        self._record.write(f"router {self.name}: gets {number.name}")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
            self._record.write(f"router {self.name}: was killed")

    async def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        probe = Connection(self.ready)
        answer = await probe.call("GET", "/cicadaledge/readyz", {"Host": "x"}, b"", 1.0)
        probe.close()
        return answer.status == 200

    async def wait_ready(self, within_s: float = 15.0) -> None:
        """Wait until the router is ready."""
        async with asyncio.timeout(within_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


class Deployment:
    """A store, runners and routers of a small deployment in a temporary folder."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(record)
        self.runners: list[Runner] = []
        self.routers: list[Router] = []
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> Deployment:
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for router in self.routers:
            with contextlib.suppress(ProcessLookupError):
                router.kill()
        for runner in self.runners:
            await runner.crash()
        await self.store.stop()
        await asyncio.sleep(0.2)  # the transports end in the loop
        if keep := os.environ.get("KEEP_LOGS"):
            for path in Path(self._folder.name).glob("*.log"):
                Path(keep, path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()

    def add_router(self, name: str, zone: str) -> Router:
        """Add a router that is not started yet."""
        router = Router(Path(self._folder.name), self.store, self.record, name, zone)
        self.routers.append(router)
        return router


def run_case(play: Callable[[Record], Coroutine[Any, Any, int]], script: str) -> None:
    """Play a case and exit: with 10 if it returns 1, with 0 if it returns 0, with 2 if it fails."""
    record = Record(Path(script).resolve().with_name("record.txt"))

    async def main() -> int:
        return await asyncio.wait_for(play(record), LIMIT_S)

    try:
        broken = asyncio.run(main())
    except Exception as error:  # noqa: BLE001 - any failure of the stand-ins means: not run
        record.write(f"the case couldn't run: {error!r}")
        sys.exit(2)
    sys.stdout.flush()
    os._exit(10 if broken else 0)  # without the warnings of transports that end with the loop


def route(name: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    plain = {
        "name": name,
        "host": SITE_HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "authExempt": False,
        "sessionAffinity": False,
        "streamResume": False,
        "allowedRegions": [],
    }
    return {**plain, **changes}


def headers(
    request_id: str, deadline_ms: int, key: str | None = KEY, **more: str
) -> dict[str, str]:
    """Return the headers of a client's request."""
    named = {"Host": SITE_HOST, "Attempt-Id": request_id, "Deadline-Ms": str(deadline_ms)}
    if key is not None:
        named["Authorization"] = f"Token {key}"
    return {**named, **{name.replace("_", "-"): value for name, value in more.items()}}


def most_in_a_second(times_ms: list[float]) -> int:
    """Return the largest number of times within any span of one second."""
    ordered = sorted(times_ms)
    return max((sum(a <= b < a + 1000.0 for b in ordered) for a in ordered), default=0)


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()


def _settings(router: Router, store: Store, peers: int, metrics: int) -> str:
    def toml(value: Any) -> str:
        return json.dumps(value)

    lines = [
        f"nodeName = {toml(router.name)}",
        'role = "router"',
        'machineClass = "front"',
        'serves = ["front"]',
        f"ip = {toml(HOST)}",
        f"zone = {toml(router.zone)}",
        f"region = {toml(ZONES[router.zone])}",
        f"internalPortRange = [{peers}, {metrics}]",
        "seedNodes = []",
        "bootstrap = true",
        "lossCounts = false",
        'discovery = "platform"',
        'entryMode = "vip"',
        "heartbeatMs = 1200",
        "[zones]",
        *(f"{zone} = {toml(region)}" for zone, region in ZONES.items()),
        "[listenAddrs]",
        f'front = "{HOST}:{router.front}"',
        f'ready = "{HOST}:{router.ready}"',
        "[limits]",
        "cpuShare = 0.537",
        "cpuCores = 2",
        "memoryMb = 300",
        "maxFds = 4100",
        "linkMbps = 1000.0",
        "diskMb = 0",
        "[bounds]",
        *(f"{name} = {toml(value)}" for name, value in BOUNDS.items()),
        "[platform]",
        f'address = "{HOST}:{store.port}"',
        'form = "log"',
        "writesPerS = 400",
        "readsPerS = 2000",
    ]
    return "\n".join(lines) + "\n"

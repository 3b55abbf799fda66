"""Stand-in of a model engine with continuous batching."""

from __future__ import annotations

import hashlib
import itertools
import json
import re
import sys
import threading
import time
import uuid
from collections import OrderedDict
from collections.abc import Iterator
from typing import Any

from attrs import define, evolve, frozen

from cicadaledge.standins._server import (
    Call,
    DropConnectionError,
    FaultSwitches,
    Reply,
    StandInServer,
    json_reply,
    wall_clock_ms,
)

_TICK_S = 0.004
_PREFIX_CHARS = 64
_TOKENS_MARKER = re.compile(r"\[\[tokens=(\d+)\]\]")
_CRASH_MARKER = "[[crash]]"
_RANDOM_MARKER = "[[random]]"
_CRASH_AFTER_TOKENS = 3
_COLD_SLOWDOWN = 2.0
_COLD_RESTART_DELAY_S = 0.05
_ENDLESS_BATCH = 256  # Events of an endless answer that are sent at once.


@frozen
class EngineSettings:
    """Settings of an engine stand-in.

    Args:
        token_ms: Time per token of a request that runs alone.
        batch_slowdown: Fraction by which a full batch slows each request down.
        prefill_ms: Time to the first token without a cached prefix.
        load_lag_ms: Age of the load that `/load` reports.
        starts_cold: Whether the engine starts with `cold_slots`.
    """

    name: str
    host: str
    port: int
    warm_slots: int = 8
    cold_slots: int = 1
    token_ms: float = 20.0
    batch_slowdown: float = 0.5
    prefill_ms: float = 40.0
    prefix_entries: int = 64
    load_lag_ms: int = 100
    keep_streams_s: float = 60.0
    checks_fence: bool = False
    starts_cold: bool = False


@define(eq=False)
class _Run:
    request_id: str
    account: str
    digest: str
    text_seed: str
    total: int
    crash: bool
    started_ms: int
    running_at_start: int
    capacity_at_start: int
    boot_id: str
    prefill_left_ms: float
    produced: float = 0.0
    ended_ms: int = 0
    end: str = ""

    @property
    def tokens(self) -> int:
        return min(self.total, int(self.produced))

    def text(self, index: int) -> str:
        digest = hashlib.sha256(f"{self.text_seed}/{index}".encode()).hexdigest()
        return digest[:6] + " "


class EngineStandIn:
    """Runs requests token by token and records each of them."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._server = StandInServer(settings.host, settings.port, self._handle)
        self._lock = threading.Condition()
        self._runs: dict[str, _Run] = {}
        self._active: dict[str, _Run] = {}
        self._history: list[_Run] = []
        self._crashes: list[dict[str, Any]] = []
        self._violations = 0
        self._boot_id = ""
        self._capacity = 0
        self._completions = 0
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._prefix_hits = 0
        self._load_history: list[tuple[float, int]] = []
        self._faults = FaultSwitches()
        self._highest_fence = -1
        self._orders: list[dict[str, Any]] = []
        self._busy_ms = 0.0
        self._boot(settings.starts_cold)

    def run(self) -> None:
        """Serve until SIGTERM."""
        threading.Thread(target=self._tick_forever, daemon=True).start()
        self._server.run()

    def _boot(self, cold: bool) -> None:
        self._boot_id = uuid.uuid4().hex[:12]
        self._capacity = self._settings.cold_slots if cold else self._settings.warm_slots
        self._completions = 0
        self._prefixes.clear()
        self._load_history = [(time.monotonic(), 0)]

    def _crash(self, reason: str) -> None:
        for run in self._active.values():
            self._end(run, "lost")
        self._crashes.append(
            {
                "at_ms": wall_clock_ms(),
                "boot_id": self._boot_id,
                "reason": reason,
                "running": sorted(self._active),
            }
        )
        self._active.clear()
        self._runs.clear()
        self._boot(cold=True)
        self._lock.notify_all()
        self._server.connections.close_all()

    def _tick_forever(self) -> None:
        last = time.monotonic()
        while True:
            time.sleep(_TICK_S)
            now = time.monotonic()
            with self._lock:
                self._advance((now - last) * 1000)
            last = now

    def _advance(self, elapsed_ms: float) -> None:
        count = len(self._active)
        self._record_load(count)
        if count == 0:
            return
        self._busy_ms += elapsed_ms * count
        batch = 1 + self._settings.batch_slowdown * (count - 1) / self._settings.warm_slots
        cold = _COLD_SLOWDOWN if self._capacity < self._settings.warm_slots else 1.0
        token_ms = self._settings.token_ms * batch * cold
        for run in list(self._active.values()):
            left_ms = elapsed_ms - run.prefill_left_ms
            run.prefill_left_ms = max(0.0, run.prefill_left_ms - elapsed_ms)
            if left_ms > 0:
                run.produced += left_ms / token_ms
            if run.crash and run.produced >= _CRASH_AFTER_TOKENS:
                self._crash(f"crash by {run.request_id}")
                return
            if run.tokens >= run.total:
                self._end(run, "finished")
                self._record_completion()
        self._lock.notify_all()

    def _record_completion(self) -> None:
        if self._capacity >= self._settings.warm_slots:
            return
        self._completions += 1
        if self._completions >= self._capacity:
            self._completions = 0
            self._capacity = min(self._settings.warm_slots, self._capacity * 2)

    def _end(self, run: _Run, end: str) -> None:
        self._active.pop(run.request_id, None) if end != "lost" else None
        run.ended_ms = wall_clock_ms()
        run.end = end

    def _record_load(self, count: int) -> None:
        now = time.monotonic()
        self._load_history.append((now, count))
        limit = now - self._settings.load_lag_ms / 1000
        while len(self._load_history) > 1 and self._load_history[1][0] <= limit:
            self._load_history.pop(0)

    def _handle(self, call: Call) -> Reply:
        if self._faults.get("hang"):
            time.sleep(self._faults.get("hang"))
        if call.path == "/load":
            return self._load_reply()
        if call.path == "/v1/chat/completions" and call.method == "POST":
            return self._start_run(call)
        if call.path.startswith("/v1/streams/"):
            return self._stream_call(call, call.path.rsplit("/", 1)[1])
        if call.path == "/orders" and call.method == "POST":
            return self._handle_order(call)
        if call.path == "/standin/journal":
            return self._journal_reply()
        if call.path == "/standin/faults":
            return self._set_faults(call)
        return json_reply({"error": "no such path"}, 404)

    def _load_reply(self) -> Reply:
        with self._lock:
            at, running = self._load_history[0]
            age_ms = max(0, int((time.monotonic() - at) * 1000) + 1)
            return json_reply({"boot_id": self._boot_id, "running": running, "age_ms": age_ms})

    def _start_run(self, call: Call) -> Reply:
        body = call.json()
        prompt = "\n".join(str(message["content"]) for message in body["messages"])
        request_id = call.header("X-Request-Id") or uuid.uuid4().hex
        with self._lock:
            if call.generation != self._server.connections.generation:
                # The emulated process that accepted this connection has crashed since.
                raise DropConnectionError
            run = self._make_run(call, body, prompt, request_id)
            self._runs[request_id] = run
            self._active[request_id] = run
            self._history.append(run)
            self._remove_expired_runs()
            if len(self._active) > self._capacity:
                self._violations += 1
                self._crash("overload")
                raise DropConnectionError
        if not body.get("stream"):
            return self._complete_reply(run)
        return self._stream_reply(run, 0, request_id)

    def _make_run(self, call: Call, body: Any, prompt: str, request_id: str) -> _Run:
        found = _TOKENS_MARKER.search(prompt)
        total = int(found.group(1)) if found else int(body.get("max_tokens") or 16)
        seed = hashlib.sha256(prompt.encode()).hexdigest()
        digest = seed
        if _RANDOM_MARKER in prompt:
            seed = uuid.uuid4().hex
        return _Run(
            request_id=request_id,
            account=call.header("X-Account"),
            digest=digest,
            text_seed=seed,
            total=max(1, total),
            crash=_CRASH_MARKER in prompt,
            started_ms=wall_clock_ms(),
            running_at_start=len(self._active) + 1,
            capacity_at_start=self._capacity,
            boot_id=self._boot_id,
            prefill_left_ms=self._prefill_ms(prompt),
        )

    def _prefill_ms(self, prompt: str) -> float:
        key = prompt[:_PREFIX_CHARS]
        cached = key in self._prefixes
        self._prefix_hits += int(cached)
        self._prefixes[key] = None
        self._prefixes.move_to_end(key)
        if len(self._prefixes) > self._settings.prefix_entries:
            self._prefixes.popitem(last=False)
        return self._settings.prefill_ms * (0.25 if cached else 1.0)

    def _remove_expired_runs(self) -> None:
        limit_ms = wall_clock_ms() - self._settings.keep_streams_s * 1000
        old = [key for key, run in self._runs.items() if run.end and run.ended_ms < limit_ms]
        for key in old:
            del self._runs[key]

    def _stream_call(self, call: Call, stream_id: str) -> Reply:
        with self._lock:
            run = self._runs.get(stream_id)
            if run is None:
                return json_reply({"error": "no such stream"}, 404)
            if call.method == "DELETE":
                if not run.end:
                    self._end(run, "cancelled")
                    self._lock.notify_all()
                return json_reply({"cancelled": True})
        return self._stream_reply(run, int(call.query.get("from", "0")), stream_id)

    def _stream_reply(self, run: _Run, start: int, request_id: str) -> Reply:
        echoed_id = request_id
        if self._faults.consume("cross_answers"):
            echoed_id = uuid.uuid4().hex
        headers = {"Content-Type": "text/event-stream", "X-Request-Id": echoed_id}
        if self._faults.consume("endless_events"):
            return Reply(200, _endless_events(run), headers, stream=True)
        if self._faults.consume("endless_event"):
            return Reply(200, itertools.repeat(b"x" * 65_536), headers, stream=True)
        return Reply(200, self._events(run, start), headers, stream=True)

    def _events(self, run: _Run, start: int) -> Iterator[bytes]:
        index = start
        while True:
            with self._lock:
                while run.tokens <= index and not run.end:
                    self._lock.wait(1.0)
                tokens, end = run.tokens, run.end
            if end in ("lost", "cancelled"):
                raise DropConnectionError
            if index > start and self._faults.consume("drop_streams"):
                raise DropConnectionError
            if index < tokens and self._faults.consume("malformed_events"):
                yield f"id: {run.request_id}:{index}\ndata: []\n\n".encode()
            events = []
            while index < tokens:
                events.append(_event(run, index))
                index += 1
            if end == "finished" and index >= run.total:
                events.append(b"data: [DONE]\n\n")
                yield b"".join(events)
                return
            yield b"".join(events)

    def _complete_reply(self, run: _Run) -> Reply:
        with self._lock:
            while not run.end:
                self._lock.wait(1.0)
        if run.end != "finished":
            raise DropConnectionError
        text = "".join(run.text(index) for index in range(run.total))
        message = {"role": "assistant", "content": text}
        body = {
            "id": run.request_id,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"completion_tokens": run.total},
        }
        return json_reply(body, headers={"X-Request-Id": run.request_id})

    def _handle_order(self, call: Call) -> Reply:
        order = call.json()
        with self._lock:
            fence = int(order.get("fence", -1))
            if self._settings.checks_fence and fence <= self._highest_fence:
                return json_reply(
                    {"error": "old fencing number", "newest": self._highest_fence}, 409
                )
            self._highest_fence = max(self._highest_fence, fence)
            self._orders.append(order)
            return json_reply({"accepted": True})

    def _set_faults(self, call: Call) -> Reply:
        faults = call.json()
        if faults.pop("fall_cold", False):
            threading.Timer(_COLD_RESTART_DELAY_S, self._fall_cold).start()
        return json_reply({"faults": self._faults.update(faults)})

    def _fall_cold(self) -> None:
        with self._lock:
            self._crash("fall_cold")

    def _journal_reply(self) -> Reply:
        with self._lock:
            runs = [
                {
                    "request_id": run.request_id,
                    "account": run.account,
                    "digest": run.digest,
                    "started_ms": run.started_ms,
                    "ended_ms": run.ended_ms,
                    "tokens": run.tokens,
                    "running_at_start": run.running_at_start,
                    "bears_at_start": run.capacity_at_start,
                    "boot_id": run.boot_id,
                    "end": run.end,
                }
                for run in self._history
            ]
            return json_reply(
                {
                    "name": self._settings.name,
                    "runs": runs,
                    "deaths": self._crashes,
                    "violations": self._violations,
                    "bears": self._capacity,
                    "busy_ms": self._busy_ms,
                    "prefix_hits": self._prefix_hits,
                    "orders": self._orders,
                }
            )


def _event(run: _Run, index: int) -> bytes:
    last = index == run.total - 1
    chunk = {
        "id": run.request_id,
        "object": "chat.completion.chunk",
        "choices": [
            {
                "index": 0,
                "delta": {"content": run.text(index)},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    return f"id: {run.request_id}:{index}\ndata: {json.dumps(chunk)}\n\n".encode()


def _endless_events(run: _Run) -> Iterator[bytes]:
    """Yield valid events that never come to an end."""
    endless = evolve(run, total=sys.maxsize)
    for start in itertools.count(step=_ENDLESS_BATCH):
        yield b"".join(_event(endless, start + index) for index in range(_ENDLESS_BATCH))


def expected_text(prompt: str) -> str:
    """Return the complete answer of an engine to a prompt."""
    found = _TOKENS_MARKER.search(prompt)
    total = int(found.group(1)) if found else 16
    seed = hashlib.sha256(prompt.encode()).hexdigest()
    parts = [hashlib.sha256(f"{seed}/{i}".encode()).hexdigest()[:6] + " " for i in range(total)]
    return "".join(parts)

"""Load generator for the callers of an experiment."""

from __future__ import annotations

import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

import numpy as np
from attrs import define, field

from cicadaledge.loadtool._balancer import Balancer
from cicadaledge.loadtool._caller import Caller, CallResult
from cicadaledge.loadtool._experiment import AccountLoad, ExperimentSpec
from cicadaledge.standins import expected_text

_MAX_ATTEMPTS = 6
# A simulated caller waits this long before it sends a failed request again.
_RETRY_INTERVAL_S = 0.2
_OPEN_LOOP_THREADS = 64
# After BACKEND_LOST and STREAM_CUT the request may have run; callers send it again all the same,
# because model requests are safe to repeat.
_LOST_RUN_CODES = (3001, 3003)


@define
class RequestRecord:
    """One request of a caller, including its retries.

    Args:
        answered: Whether the caller received a complete answer.
        equal: Whether the answer equals the expected one byte for byte.
        refusals: Code, run state and request id of each refusal.
        cuts: Number of calls that ended early without an error code.
        tries: Number of calls.
    """

    account: str
    kind: str
    key: str
    prompt: str
    tokens: int
    started_ms: int
    ended_ms: int = 0
    answered: bool = False
    equal: bool = False
    first_token_s: float = -1.0
    gaps_s: list[float] = field(factory=list)
    refusals: list[tuple[int, str, str]] = field(factory=list)
    cuts: int = 0
    tries: int = 0
    answer: str = ""


class Traffic:
    """Generates the load of all accounts of an experiment.

    Args:
        spec: The experiment.
        urls: Base URL of each router, in order of router indices.
        balancer: Selects the routers that are ready.
    """

    def __init__(self, spec: ExperimentSpec, urls: list[str], balancer: Balancer) -> None:
        self.records: list[RequestRecord] = []
        self._spec = spec
        self._urls = urls
        self._balancer = balancer
        self._caller = Caller(connections=512)
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._started_s = 0.0

    def start(self) -> None:
        """Start all callers."""
        self._started_s = time.monotonic()
        seeds = np.random.SeedSequence(self._spec.seed)
        for name, load in sorted(self._spec.loads.items()):
            for seed in seeds.spawn(load.callers):
                self._spawn(self._closed_loop, name, load, np.random.default_rng(seed))
            if load.rate_per_s > 0:
                rng = np.random.default_rng(seeds.spawn(1)[0])
                self._spawn(self._open_loop, name, load, rng)

    def join(self) -> None:
        """Wait until all callers have ended."""
        for thread in self._threads:
            thread.join()

    def counts(self) -> tuple[int, int]:
        """Return how many requests were answered and how many were not."""
        answered = sum(1 for record in self.records if record.answered)
        return answered, len(self.records) - answered

    def _spawn(self, target: object, *args: object) -> None:
        thread = threading.Thread(target=target, args=args, daemon=True)  # type: ignore[arg-type]
        self._threads.append(thread)
        thread.start()

    def _end_s(self, load: AccountLoad) -> float:
        return load.end_s or self._spec.duration_s

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_s

    def _closed_loop(self, account: str, load: AccountLoad, rng: np.random.Generator) -> None:
        time.sleep(load.start_s)
        while self._elapsed_s() < self._end_s(load):
            self._run_one(account, load, rng)

    def _open_loop(self, account: str, load: AccountLoad, rng: np.random.Generator) -> None:
        time.sleep(load.start_s)
        with ThreadPoolExecutor(_OPEN_LOOP_THREADS) as threads:
            while self._elapsed_s() < self._end_s(load):
                seed = int(rng.integers(2**32))
                threads.submit(self._run_one, account, load, np.random.default_rng(seed))
                time.sleep(float(rng.exponential(1 / load.rate_per_s)))

    def _run_one(self, account: str, load: AccountLoad, rng: np.random.Generator) -> None:
        tokens = int(min(load.tokens_max, rng.geometric(1 / load.tokens_mean)))
        key = uuid.UUID(bytes=rng.bytes(16)).hex
        record = RequestRecord(
            account=account,
            kind=load.service or "model",
            key=key,
            prompt=f"{account} {key} [[tokens={tokens}]]",
            tokens=tokens,
            started_ms=time.time_ns() // 1_000_000,
        )
        if load.service:
            self._run_service(record, load, rng)
        else:
            self._run_model(record, load, rng)
        record.ended_ms = time.time_ns() // 1_000_000
        with self._lock:
            self.records.append(record)

    def _url(self, load: AccountLoad, rng: np.random.Generator) -> str:
        if load.router >= 0:
            return self._urls[load.router % len(self._urls)]
        ready = self._balancer.ready()
        return ready[int(rng.integers(len(ready)))]

    def _run_model(
        self, record: RequestRecord, load: AccountLoad, rng: np.random.Generator
    ) -> None:
        started = time.monotonic()
        text = ""
        last_event_id = ""
        for _ in range(_MAX_ATTEMPTS):
            headers = {"X-Deadline-Ms": str(load.deadline_ms)}
            if load.hint_factor:
                headers["X-Cost-Hint"] = str(max(1, round(record.tokens * load.hint_factor)))
            if last_event_id:
                headers["Last-Event-ID"] = last_event_id
            attempt_start_s = time.monotonic() - started
            result = self._caller.chat(
                self._url(load, rng),
                record.account,
                record.prompt,
                model=load.model,
                headers=headers,
            )
            record.tries += 1
            if not load.resumes:
                text = ""
            text += result.text if result.status == 200 else ""
            if load.resumes:
                last_event_id = result.last_event_id or last_event_id
            self._record_times(record, result, attempt_start_s)
            if result.complete:
                record.answered = True
                break
            self._record_failure(record, result)
            if not self._may_retry(result):
                break
            time.sleep(_RETRY_INTERVAL_S)
        record.equal = record.answered and text == expected_text(record.prompt)

    def _run_service(
        self, record: RequestRecord, load: AccountLoad, rng: np.random.Generator
    ) -> None:
        for _ in range(_MAX_ATTEMPTS):
            result = self._caller.service(
                self._url(load, rng),
                record.account,
                "POST",
                f"/{load.service}/bookings",
                record.key.encode(),
                {"Idempotency-Key": record.key, "X-Deadline-Ms": str(load.deadline_ms)},
            )
            record.tries += 1
            record.answer = result.text
            if result.complete:
                record.answered = True
                record.equal = True
                break
            self._record_failure(record, result)
            if result.code and result.run_state != "not_run" and result.code != 4002:
                break
            time.sleep(_RETRY_INTERVAL_S)

    def _record_times(
        self, record: RequestRecord, result: CallResult, attempt_started_s: float
    ) -> None:
        times = result.event_times_s
        if times and record.first_token_s < 0:
            record.first_token_s = attempt_started_s + times[0]
        record.gaps_s += [later - earlier for earlier, later in zip(times, times[1:], strict=False)]

    def _record_failure(self, record: RequestRecord, result: CallResult) -> None:
        if result.code:
            record.refusals.append((result.code, result.run_state, result.request_id))
        else:
            record.cuts += 1

    def _may_retry(self, result: CallResult) -> bool:
        return not result.code or result.run_state == "not_run" or result.code in _LOST_RUN_CODES

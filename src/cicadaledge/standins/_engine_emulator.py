"""Model engine in simulated time, with batching, chunked prefill and a prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field, frozen

from cicadaledge.routing import PromptPart

_M_PAIRS = 1_000_000.0


@frozen
class EngineParameters:
    """Speed and memory of an engine; the defaults are from the users' data sheet."""

    slots: int = 64
    memory_tokens: int = 578_286
    step_ms: float = 3.88
    step_ms_per_request: float = 0.0276
    step_ms_per_k_context: float = 0.00365
    prefill_tokens_per_ms: float = 66.2
    attention_ms_per_m_pairs: float = 0.276
    first_ms: float = 12.0
    tokens_per_event: int = 6
    chunk_tokens: int = 4096


@define(eq=False)
class EngineRun:
    """One request in an engine.

    Args:
        on_event: Called with the time of each event of the stream.
        on_end: Called with the time of the end of the stream.
    """

    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    on_event: Callable[[float], None]
    on_end: Callable[[float], None]
    pending_prefill_tokens: int = 0
    generated_tokens: int = 0
    cancelled: bool = False

    @property
    def context_tokens(self) -> int:
        """Tokens of the run that are in the engine's memory."""
        return self.prompt_tokens - self.pending_prefill_tokens + self.generated_tokens


@define
class EngineEmulator:
    """Runs requests step by step and admits them in order of arrival.

    Args:
        slowness: Factor by which steps currently take longer.
    """

    parameters: EngineParameters = field(factory=EngineParameters)
    waiting: list[EngineRun] = field(factory=list)
    running: list[EngineRun] = field(factory=list)
    prefilled_tokens: int = 0
    recomputed_tokens: int = 0
    slowness: float = 1.0
    _cached_parts: OrderedDict[str, int] = field(factory=OrderedDict)
    _cached_tokens: int = 0
    _ever_cached: set[str] = field(factory=set)

    @property
    def is_idle(self) -> bool:
        """Whether no request waits or runs."""
        return not self.waiting and not self.running

    def submit(self, run: EngineRun) -> None:
        """Queue a request."""
        self.waiting.append(run)

    def step(self, now_ms: float) -> float:
        """Run one step that starts at *now_ms*; return its end."""
        self.running = [run for run in self.running if not run.cancelled]
        self.waiting = [run for run in self.waiting if not run.cancelled]
        self._admit()
        self._free_memory()
        prefill_ms = self._prefill_chunk()
        parameters = self.parameters
        context_k = sum(run.context_tokens for run in self.running) / 1000
        took_ms = parameters.step_ms + prefill_ms
        took_ms += parameters.step_ms_per_request * len(self.running)
        took_ms += parameters.step_ms_per_k_context * context_k
        end_ms = now_ms + took_ms * self.slowness
        self._decode(end_ms)
        return end_ms

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.parameters.slots:
            run = self.waiting[0]
            used = sum(one.prompt_tokens + one.generated_tokens for one in self.running)
            if self.running and used + run.prompt_tokens > self.parameters.memory_tokens:
                return
            self.waiting.pop(0)
            run.pending_prefill_tokens = (
                run.prompt_tokens + run.generated_tokens - self._cached_prefix_tokens(run)
            )
            run.generated_tokens = 0
            self.running.append(run)

    def _cached_prefix_tokens(self, run: EngineRun) -> int:
        cached_tokens = 0
        for part in run.parts:
            if part.digest not in self._cached_parts:
                break
            self._cached_parts.move_to_end(part.digest)
            cached_tokens += part.tokens
        return min(cached_tokens, run.prompt_tokens - 1)

    def _free_memory(self) -> None:
        """Evict cached prompt parts, then preempt the newest request."""
        while self._used_tokens() > self.parameters.memory_tokens:
            if self._cached_parts:
                _, tokens = self._cached_parts.popitem(last=False)
                self._cached_tokens -= tokens
            elif len(self.running) > 1:
                self.waiting.insert(0, self.running.pop())
            else:
                return

    def _used_tokens(self) -> int:
        return self._cached_tokens + sum(run.context_tokens for run in self.running)

    def _prefill_chunk(self) -> float:
        """Prefill prompts in order, up to a chunk of tokens; return the time that it takes."""
        tokens_left = self.parameters.chunk_tokens
        prefill_ms = 0.0
        for run in self.running:
            if run.pending_prefill_tokens <= 0 or tokens_left <= 0:
                continue
            tokens = min(tokens_left, run.pending_prefill_tokens)
            before = run.prompt_tokens - run.pending_prefill_tokens
            pairs = tokens * (before + tokens / 2) / _M_PAIRS
            prefill_ms += tokens / self.parameters.prefill_tokens_per_ms
            prefill_ms += pairs * self.parameters.attention_ms_per_m_pairs
            run.pending_prefill_tokens -= tokens
            tokens_left -= tokens
            self.prefilled_tokens += tokens
            if run.pending_prefill_tokens == 0:
                self._cache_parts(run)
        return prefill_ms

    def _cache_parts(self, run: EngineRun) -> None:
        for part in run.parts:
            if part.digest in self._cached_parts:
                continue
            if part.digest in self._ever_cached:
                self.recomputed_tokens += part.tokens
            self._ever_cached.add(part.digest)
            self._cached_parts[part.digest] = part.tokens
            self._cached_tokens += part.tokens

    def _decode(self, end_ms: float) -> None:
        for run in list(self.running):
            if run.pending_prefill_tokens > 0:
                continue
            run.generated_tokens += 1
            if (
                run.generated_tokens == 1
                or run.generated_tokens % self.parameters.tokens_per_event == 0
            ):
                run.on_event(
                    end_ms + (self.parameters.first_ms if run.generated_tokens == 1 else 0.0)
                )
            if run.generated_tokens >= run.output_tokens:
                self.running.remove(run)
                run.on_end(end_ms)

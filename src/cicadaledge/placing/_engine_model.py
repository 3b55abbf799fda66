"""Predicts when a model engine would produce a request's first token."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import frozen

from cicadaledge.placing._server_stats import ServerTotals
from cicadaledge.routing import Call, Engine, PromptPart, Service

# Bounds the parts that are recorded as cached by one engine; at 512 tokens each, this is more than
# its memory holds.
_MAX_CACHED_PARTS = 4_096


@frozen
class EngineSettings:
    """Speed and memory use of an engine.

    Args:
        prefill_tokens_per_ms: Prompt tokens processed per millisecond while other requests run: a
            chunk of 4,096 tokens takes 62 ms, and the step that contains it 5 to 10 ms more.
        first_step_ms: Time from the end of prefill to the first token.
        running_memory_fraction: Fraction of the memory that running requests may fill. The rest
            caches shared prompt parts; what is evicted has to be processed again.
    """

    prefill_tokens_per_ms: float = 55.0
    first_step_ms: float = 25.0
    running_memory_fraction: float = 0.5

    def running_tokens(self, engine: Engine) -> float:
        """Return how many tokens running requests may take up in an engine."""
        return engine.memory_tokens * self.running_memory_fraction

    def never_fits(self, call: Call, service: Service) -> bool:
        """Return whether a request exceeds what running requests may take up in any engine."""
        if service.engine is None:
            return False
        return call.prompt_tokens + call.output_tokens > self.running_tokens(service.engine)


class EngineModel:
    """Estimates which prompt parts an engine has cached, and how long a prompt takes.

    Prompt tokens that an engine has yet to process are called unread.

    Args:
        settings: Speed of the engine.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._cached_parts: OrderedDict[str, int] = OrderedDict()

    def unread_tokens(
        self, prompt_tokens: int, parts: Iterable[PromptPart], *, assume_cached: bool = False
    ) -> int:
        """Return the number of prompt tokens that the engine would have to process.

        A part is cached only if all parts before it are.

        Args:
            assume_cached: Assume that the engine has cached every shared part.
        """
        unread = prompt_tokens
        for part in parts:
            if not assume_cached and part.digest not in self._cached_parts:
                break
            unread -= part.tokens
        return max(unread, 1)

    def record_parts(self, parts: Iterable[PromptPart]) -> None:
        """Record that the engine processes, and so caches, some parts."""
        for part in parts:
            self._cached_parts[part.digest] = part.tokens
            self._cached_parts.move_to_end(part.digest)
        while len(self._cached_parts) > _MAX_CACHED_PARTS:
            self._cached_parts.popitem(last=False)

    def first_token_ms(self, totals: ServerTotals, unread_tokens: int) -> float:
        """Return the time to the first token of a request that is sent now.

        Args:
            totals: Load of the engine.
            unread_tokens: Prompt tokens of the request that are not cached.
        """
        waiting_tokens = totals.unread_tokens + unread_tokens
        return self._settings.first_step_ms + waiting_tokens / self._settings.prefill_tokens_per_ms

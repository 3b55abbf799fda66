"""Predicts when a model engine would produce a request's first token."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import frozen

from cicadaledge.placing._totals import ServerTotals
from cicadaledge.routing import PromptPart

_PARTS_REMEMBERED = 4_096  # parts of one server; at 512 tokens each more than a memory holds


@frozen
class EngineSettings:
    """Speed of an engine.

    Args:
        read_tokens_per_ms: Prompt tokens read in a millisecond beside running requests: a
            chunk of 4,096 takes 62 ms, the step around it 5 to 10 ms.
        first_step_ms: From the end of reading to the first token.
        memory_share: Part of the memory that running requests may fill; the rest keeps
            shared parts.
    """

    read_tokens_per_ms: float = 55.0
    first_step_ms: float = 25.0
    memory_share: float = 0.8


class EngineModel:
    """Believed contents of one engine's memory and its reading speed.

    Args:
        settings: Speed of the engine.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._parts: OrderedDict[str, int] = OrderedDict()

    def unread_tokens(
        self, prompt_tokens: int, parts: Iterable[PromptPart], *, assume_cached: bool = False
    ) -> int:
        """Return the prompt tokens that the engine would have to read.

        A part is kept only if all parts before it are.

        Args:
            all_kept: Believe that the engine keeps every shared part.
        """
        unread = prompt_tokens
        for part in parts:
            if not assume_cached and part.digest not in self._parts:
                break
            unread -= part.tokens
        return max(unread, 1)

    def record_parts(self, parts: Iterable[PromptPart]) -> None:
        """Note parts that the engine reads now."""
        for part in parts:
            self._parts[part.digest] = part.tokens
            self._parts.move_to_end(part.digest)
        while len(self._parts) > _PARTS_REMEMBERED:
            self._parts.popitem(last=False)

    def first_token_ms(self, totals: ServerTotals, unread_tokens: int) -> float:
        """Return the time to the first token of a request that is sent now."""
        waiting_tokens = totals.unread_tokens + unread_tokens
        return self._settings.first_step_ms + waiting_tokens / self._settings.read_tokens_per_ms

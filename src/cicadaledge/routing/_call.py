"""One request of a caller, independent of the protocol by which it was received."""

from __future__ import annotations

from attrs import define, field, frozen

# Generating a token costs an engine as much as processing two prompt tokens.
_PROMPT_TOKENS_PER_GENERATED = 2


@frozen
class PromptPart:
    """A part of a prompt that other requests may share, and engines may cache."""

    digest: str
    tokens: int


@define
class Call:
    """A completely received request.

    Args:
        headers: Headers with names as sent, without hop-by-hop headers.
        started_ms: Arrival of the first byte, on a clock that includes system suspension.
        deadline_ms: Time that the caller waits, from `started_ms`; None if it did not say.
        model: Model named by the request, or None.
        parts: Parts of the prompt in order; all but the last may be shared with other requests.
        resume_after: Id of the last event that the caller has received, or None.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    started_ms: float
    deadline_ms: float | None = None
    key: str | None = field(default=None, repr=False)
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resume_after: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests may share."""
        return self.parts[:-1]

    @property
    def cost_tokens(self) -> int:
        """Cost of the request for an engine, in prompt tokens."""
        return self.prompt_tokens + _PROMPT_TOKENS_PER_GENERATED * self.output_tokens

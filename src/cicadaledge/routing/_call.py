"""One request of a caller, in the product's terms."""

from __future__ import annotations

from attrs import define, field, frozen

_TOKENS_READ_PER_GENERATED = 2  # a generated token costs an engine as much as two read ones


@frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    digest: str
    tokens: int


@define
class Call:
    """A request that was read whole.

    Args:
        headers: Names as sent, without those that concern one connection only.
        deadline_ms: How long the caller waits, from `started_ms`; None if it did not say.
        started_ms: When the first byte arrived, on the clock that counts suspension.
        model: Model that it names, or None.
        parts: Shared parts of the prompt in order; the last one is the caller's own.
        resume_after: Id of the last event that the caller has, or None.
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
        """Parts that other requests may have in common with this one."""
        return self.parts[:-1]

    @property
    def cost_tokens(self) -> int:
        """What the request costs an engine, in tokens read."""
        return self.prompt_tokens + _TOKENS_READ_PER_GENERATED * self.output_tokens

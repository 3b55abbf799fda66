"""Exceptions of this package."""

from __future__ import annotations

from typing import Any

from cicadaledge.codes import Code, RunState, code_info

__all__ = [
    "BackendError",
    "CallerDisconnectedError",
    "CicadaledgeError",
    "ConfigurationError",
    "FrameError",
    "LogError",
    "LogUnavailableError",
    "RefusalError",
    "SettingsError",
    "refusal_body",
]


class CicadaledgeError(Exception):
    """Base class of all errors of this package."""


class RefusalError(CicadaledgeError):
    """A request or an intent is refused.

    Args:
        code: Numbered result code.
        detail: Sentence about this case; by default that of the code.
        run_state: Run state, if it differs from that of the code.
        retry_after_ms: Time after which the caller may retry, or None.
    """

    def __init__(
        self,
        code: Code,
        detail: str = "",
        *,
        run_state: RunState | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        info = code_info(code)
        self.code = code
        self.detail = detail or info.sentence
        self.run_state = run_state or info.run_state
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{int(code)} {code.name}: {self.detail}")


def refusal_body(refusal: RefusalError, request_id: str | None) -> dict[str, Any]:
    """Return the body of the answer to a refused request."""
    return {
        "error": {
            "code": int(refusal.code),
            "name": refusal.code.name.lower(),
            "message": refusal.detail,
            "run_state": refusal.run_state.value,
            "retry_after_ms": refusal.retry_after_ms,
            "request_id": request_id,
        }
    }


class SettingsError(CicadaledgeError):
    """A settings file has mistakes.

    Args:
        mistakes: One line for each mistake, with file, path, expected and found value.
    """

    def __init__(self, mistakes: list[str]) -> None:
        self.mistakes = mistakes
        super().__init__("\n".join(mistakes))


class CallerDisconnectedError(CicadaledgeError):
    """The caller has closed its connection, so no answer can be sent."""


class ConfigurationError(CicadaledgeError):
    """A configuration record is invalid and cannot be applied."""


class FrameError(CicadaledgeError):
    """A peer has sent a malformed frame."""


class LogError(CicadaledgeError):
    """The log rejected a call; nothing was appended."""


class LogUnavailableError(LogError):
    """The log did not answer; an append may have taken effect."""


class BackendError(CicadaledgeError):
    """A call to a backend server has failed.

    Args:
        sent: Whether bytes of the request may have reached the server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        self.sent = sent
        super().__init__(message)

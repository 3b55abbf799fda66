"""Numbered result codes in answers to callers and operators."""

from __future__ import annotations

import enum

from attrs import frozen

__all__ = ["NOT_RUN_STATUSES", "Code", "CodeInfo", "RunState", "code_info"]

# Callers take these HTTP statuses as a promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class RunState(enum.StrEnum):
    """Whether a refused request may have run on a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Code(enum.IntEnum):
    """Result codes; the meaning of a number never changes."""

    BAD_REQUEST = 1001
    UNAUTHENTICATED = 1002
    NOT_FOUND = 1004
    BODY_TOO_LARGE = 1005
    BAD_EVENT_ID = 1006
    UNKNOWN_MODEL = 1007
    KEY_REUSED = 1008
    QUEUE_TIMEOUT = 2001
    QUEUE_FULL = 2002
    TIMED_OUT = 2003
    LEAVING = 2004
    NOT_READY = 2005
    NO_CAPACITY = 2006
    KEYS_STALE = 2007
    ROUTER_BUSY = 2008
    TOO_LARGE_FOR_ENGINES = 2010
    BACKEND_LOST = 3001
    BACKEND_UNREACHABLE = 3002
    STREAM_CUT = 3003
    POISON_REQUEST = 3004
    ANSWER_MISMATCH = 3005
    OLD_SYSTEM_UNAVAILABLE = 3006
    BACKEND_REFUSED = 3007
    CRASHES_SERVERS = 3008
    PART_CRASHES_SERVERS = 3009
    CLAIMS_UNAVAILABLE = 4001
    CLAIM_IN_PROGRESS = 4002
    OUTCOME_UNKNOWN = 4003
    OUTCOME_TOO_LARGE = 4004
    PLAN_UNKNOWN = 5001
    PLAN_CONFLICT = 5002
    INTENT_INVALID = 5003
    LOG_UNAVAILABLE = 5004
    PLAN_ALREADY_DECIDED = 5005
    INTERNAL = 9001


@frozen
class CodeInfo:
    """Meaning of a code.

    Args:
        http_status: Status of the HTTP answer.
        run_state: Whether the request may have run.
        sentence: Explanation shown to users.
    """

    http_status: int
    run_state: RunState
    sentence: str


_NOT_RUN = RunState.NOT_RUN
_MAY_HAVE_RUN = RunState.MAY_HAVE_RUN

_TABLE = {
    Code.BAD_REQUEST: CodeInfo(400, _NOT_RUN, "The request is malformed."),
    Code.UNAUTHENTICATED: CodeInfo(401, _NOT_RUN, "The credential is missing or unknown."),
    Code.NOT_FOUND: CodeInfo(404, _NOT_RUN, "No such path or service."),
    Code.BODY_TOO_LARGE: CodeInfo(413, _NOT_RUN, "The request body is too large."),
    Code.BAD_EVENT_ID: CodeInfo(400, _NOT_RUN, "Last-Event-ID is not valid for this account."),
    Code.UNKNOWN_MODEL: CodeInfo(404, _NOT_RUN, "No pool serves this model."),
    Code.KEY_REUSED: CodeInfo(
        422, _NOT_RUN, "The Idempotency-Key was used with a different request."
    ),
    Code.QUEUE_TIMEOUT: CodeInfo(503, _NOT_RUN, "No slot became free before the deadline."),
    Code.QUEUE_FULL: CodeInfo(429, _NOT_RUN, "The account has too many waiting requests."),
    Code.TIMED_OUT: CodeInfo(
        504, _MAY_HAVE_RUN, "The request did not finish within the time it had."
    ),
    Code.LEAVING: CodeInfo(503, _NOT_RUN, "This router takes no new requests."),
    Code.NOT_READY: CodeInfo(503, _NOT_RUN, "This router does not know its configuration yet."),
    Code.NO_CAPACITY: CodeInfo(503, _NOT_RUN, "No backend server can take the request now."),
    Code.KEYS_STALE: CodeInfo(
        503, _NOT_RUN, "This router cannot tell whether the key is still valid."
    ),
    Code.ROUTER_BUSY: CodeInfo(503, _NOT_RUN, "This router has too many callers."),
    Code.TOO_LARGE_FOR_ENGINES: CodeInfo(
        503, _NOT_RUN, "The request needs more memory than requests may take up in an engine."
    ),
    Code.BACKEND_LOST: CodeInfo(
        502, _MAY_HAVE_RUN, "The backend server was lost after the request was sent."
    ),
    Code.BACKEND_UNREACHABLE: CodeInfo(
        503, _NOT_RUN, "No backend server could be reached before the request was sent."
    ),
    Code.STREAM_CUT: CodeInfo(502, _MAY_HAVE_RUN, "The answer was cut and cannot be resumed."),
    Code.POISON_REQUEST: CodeInfo(
        422, _MAY_HAVE_RUN, "Backend servers failed while running this request."
    ),
    Code.ANSWER_MISMATCH: CodeInfo(
        502, _MAY_HAVE_RUN, "The backend server answered a different request."
    ),
    Code.OLD_SYSTEM_UNAVAILABLE: CodeInfo(
        502, _MAY_HAVE_RUN, "The old routing system did not answer."
    ),
    Code.BACKEND_REFUSED: CodeInfo(502, _MAY_HAVE_RUN, "The backend server refused the request."),
    Code.CRASHES_SERVERS: CodeInfo(
        503, _NOT_RUN, "Backend servers crashed while running this request; it was not run again."
    ),
    Code.PART_CRASHES_SERVERS: CodeInfo(
        503, _NOT_RUN, "Backend servers crashed while answering prompts with a part of this one."
    ),
    Code.CLAIMS_UNAVAILABLE: CodeInfo(
        503, _NOT_RUN, "The request cannot be claimed because the log is unavailable."
    ),
    Code.CLAIM_IN_PROGRESS: CodeInfo(
        409, _MAY_HAVE_RUN, "A request with this Idempotency-Key is in progress."
    ),
    Code.OUTCOME_UNKNOWN: CodeInfo(
        409, _MAY_HAVE_RUN, "A request with this Idempotency-Key has an unknown outcome."
    ),
    Code.OUTCOME_TOO_LARGE: CodeInfo(
        409, _MAY_HAVE_RUN, "The request has run; its answer was too large to be recorded."
    ),
    Code.PLAN_UNKNOWN: CodeInfo(404, _NOT_RUN, "No such plan."),
    Code.PLAN_CONFLICT: CodeInfo(
        409, _NOT_RUN, "What the plan touches has changed since the plan was made."
    ),
    Code.INTENT_INVALID: CodeInfo(400, _NOT_RUN, "The intent cannot be carried out."),
    Code.LOG_UNAVAILABLE: CodeInfo(
        504, _MAY_HAVE_RUN, "The log did not confirm the record; read the audit trail."
    ),
    Code.PLAN_ALREADY_DECIDED: CodeInfo(409, _NOT_RUN, "The plan was decided before."),
    Code.INTERNAL: CodeInfo(500, _MAY_HAVE_RUN, "An internal error occurred."),
}


def code_info(code: Code) -> CodeInfo:
    """Return the status, run state and explanation of a code."""
    return _TABLE[code]

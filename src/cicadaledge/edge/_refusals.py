"""Refusals of requests that no server has answered."""

from __future__ import annotations

from cicadaledge.codes import Code, RunState
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._attempt import AttemptEnd, AttemptResult
from cicadaledge.errors import RefusalError

# A caller whose request was not run because servers were full or unreachable is asked to retry
# after this time. A full server has a free slot after a fraction of a request's duration.
BUSY_RETRY_MS = 200.0
# Callers come back after a pause of at most this fraction of the time that they have left.
_MAX_PAUSE_RATIO = 1 / 3


def no_capacity(reason: str, retry_after_ms: float) -> RefusalError:
    """Return the refusal of a request for which no server has capacity."""
    return RefusalError(Code.NO_CAPACITY, reason, retry_after_ms=int(retry_after_ms))


def useful_retry_after_ms(available_in_ms: float, left_ms: float) -> float:
    """Return after which pause a refused caller should come back.

    A caller that would come back late in its time should come sooner, and can then wait here. One
    whose time ends before a server is expected to be free is told when that is.
    """
    if available_in_ms >= left_ms:
        return available_in_ms
    return min(available_in_ms, left_ms * _MAX_PAUSE_RATIO)


def unanswered(result: AttemptResult) -> RefusalError:
    """Return the refusal of a request that must not be retried on another server."""
    if result.end is AttemptEnd.NOT_RUN:
        return no_capacity(result.reason, BUSY_RETRY_MS)
    if result.end is AttemptEnd.FAILED and result.answer is None:
        return RefusalError(Code.BACKEND_REFUSED, result.reason)
    return RefusalError(Code.BACKEND_LOST, result.reason)


def with_true_run_state(refusal: RefusalError, request: ActiveRequest | None) -> RefusalError:
    """Return BACKEND_LOST in place of "not run" if an earlier attempt may have run the request."""
    if request is None or not request.may_have_run or refusal.run_state is not RunState.NOT_RUN:
        return refusal
    return RefusalError(Code.BACKEND_LOST, refusal.detail, retry_after_ms=refusal.retry_after_ms)

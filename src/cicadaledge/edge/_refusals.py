"""What callers are told of requests that no server has answered."""

from __future__ import annotations

from cicadaledge.codes import Code, RunState
from cicadaledge.edge._attempt import AttemptEnd, AttemptResult
from cicadaledge.edge._work import ActiveRequest
from cicadaledge.errors import RefusalError

BUSY_RETRY_MS = 200.0  # a full server has a place after a fraction of a request's time


def no_capacity(reason: str, retry_after_ms: float) -> RefusalError:
    """Return the refusal of a request that no server can take now."""
    return RefusalError(Code.NO_CAPACITY, reason, retry_after_ms=int(retry_after_ms))


def unanswered(result: AttemptResult) -> RefusalError:
    """Return the refusal of a request that no other server may have."""
    if result.end is AttemptEnd.NOT_RUN:
        return no_capacity(result.reason, BUSY_RETRY_MS)
    return RefusalError(Code.BACKEND_LOST, result.reason)


def with_true_run_state(refusal: RefusalError, work: ActiveRequest | None) -> RefusalError:
    """Return a refusal that does not say "not run" of a request that an earlier try may have run."""
    if work is None or not work.may_have_run or refusal.run_state is not RunState.NOT_RUN:
        return refusal
    return RefusalError(Code.BACKEND_LOST, refusal.detail, retry_after_ms=refusal.retry_after_ms)

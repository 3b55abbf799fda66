"""Checks that routers stop sending a request that crashes every server that runs it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define, field

from cicadaledge.codes import Code
from cicadaledge.standins import Run

CRASH_MARKER = "fatal"  # A request whose target contains this crashes the server that runs it.
# By the users' rule, a request that has crashed servers this many times must be refused by every
# router that no fault disturbs; `reconnect_ms` is the time that routers have to learn of it.
_CRASHES_TO_DETECT = 3
# After that, the rule allows this many further runs of the request, counted over all routers.
_MAX_LATE_RUNS = 3
_CRASH_REFUSAL = f'"code": {int(Code.CRASHES_SERVERS)}'.encode()


@define
class FatalRequestChecker:
    """Checks that a request that crashes servers is refused, and that no other request is.

    Args:
        reconnect_ms: From the third crash until routers must refuse the request.
        undisturbed_router: Returns the router that sent a run, None if it was disturbed at
            that time.
    """

    reconnect_ms: float
    undisturbed_router: Callable[[Run], str | None]
    crashes_ms: list[float] = field(factory=list)

    def violations(
        self, runs: Iterable[tuple[str, Run]], answers: Iterable[tuple[str, bytes]]
    ) -> list[str]:
        """Return the violations.

        Args:
            answers: Target and body of each answer.
        """
        found = [
            f"withheld: {target} was refused as if it crashed servers"
            for target, body in answers
            if _CRASH_REFUSAL in body and CRASH_MARKER not in target
        ]
        return found + self._find_late_runs(runs)

    def _find_late_runs(self, runs: Iterable[tuple[str, Run]]) -> list[str]:
        if len(self.crashes_ms) < _CRASHES_TO_DETECT:
            return []
        from_ms = sorted(self.crashes_ms)[_CRASHES_TO_DETECT - 1] + self.reconnect_ms
        later = [
            f"{server} from {router}"
            for server, run in runs
            if CRASH_MARKER in run.target
            and run.at_ms > from_ms
            and (router := self.undisturbed_router(run)) is not None
        ]
        if len(later) <= _MAX_LATE_RUNS:
            return []
        crashes = len(self.crashes_ms)
        return [f"fatal: sent {len(later)} times too late, first to {later[0]}; {crashes} crashed"]

"""Whether routers keep a request from servers that crashes each server that runs it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define, field

from cicadaledge.codes import Code
from cicadaledge.standins import Run

CRASH_MARKER = "fatal"  # targets with this word crash the server that runs them
_CRASHES_TO_DETECT = 3  # after which routers in touch must know the request
_MAX_LATE_RUNS = 3  # sendings that are allowed after that, of the whole fleet
_CRASH_REFUSAL = f'"code": {int(Code.CRASHES_SERVERS)}'.encode()


@define
class FatalRequestChecker:
    """Judges what was sent of a request under which servers crash, and that no other is refused.

    Args:
        reconnect_ms: From the third crash until it counts.
        undisturbed_router: Returns the router of a run's request, if it was in touch at that time.
    """

    reconnect_ms: float
    undisturbed_router: Callable[[Run], str | None]
    crashes_ms: list[float] = field(factory=list)

    def violations(
        self, runs: Iterable[tuple[str, Run]], answers: Iterable[tuple[str, bytes]]
    ) -> list[str]:
        """Return what was broken.

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

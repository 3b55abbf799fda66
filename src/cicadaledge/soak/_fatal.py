"""Whether routers keep a request from servers that crashes each server that runs it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define, field

from cicadaledge.codes import Code
from cicadaledge.standins import Run

FATAL = "fatal"  # targets with this word crash the server that runs them
_CRASHES = 3  # after which routers in touch must know the request
_MOST_LATER = 3  # sendings that are allowed after that, of the whole fleet
_REFUSED = f'"code": {int(Code.CRASHES_SERVERS)}'.encode()


@define
class FatalJudge:
    """Judges what was sent of a request under which servers crash, and that no other is refused.

    Args:
        contact_ms: From the third crash until it counts.
        router_in_touch: Returns the router of a run's request, if it was in touch at that time.
    """

    contact_ms: float
    router_in_touch: Callable[[Run], str | None]
    crashes_ms: list[float] = field(factory=list)

    def broken(
        self, runs: Iterable[tuple[str, Run]], answers: Iterable[tuple[str, bytes]]
    ) -> list[str]:
        """Return what was broken.

        Args:
            answers: Target and body of each answer.
        """
        found = [
            f"withheld: {target} was refused as if it crashed servers"
            for target, body in answers
            if _REFUSED in body and FATAL not in target
        ]
        return found + self._sent_on(runs)

    def _sent_on(self, runs: Iterable[tuple[str, Run]]) -> list[str]:
        if len(self.crashes_ms) < _CRASHES:
            return []
        from_ms = sorted(self.crashes_ms)[_CRASHES - 1] + self.contact_ms
        later = [
            f"{server} from {router}"
            for server, run in runs
            if FATAL in run.target
            and run.at_ms > from_ms
            and (router := self.router_in_touch(run)) is not None
        ]
        if len(later) <= _MOST_LATER:
            return []
        crashes = len(self.crashes_ms)
        return [f"fatal: sent {len(later)} times too late, first to {later[0]}; {crashes} crashed"]

"""Checks that routers stop sending what crashes every server that runs it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define, field

from cicadaledge.codes import Code
from cicadaledge.standins import Run

CRASH_MARKER = "fatal"  # A request whose target contains this crashes the server that runs it.
CRASH_PART = "dead0001"  # A server that begins to answer a prompt with this part crashes.
CRASH_PART_MARKER = "tainted"  # The targets of all requests with that part contain this.
# By the users' rules, a request that has crashed servers this many times, or a prompt part under
# which this many have crashed, must be refused by every router that no fault disturbs.
# `reconnect_ms` is the time that routers have to learn of it.
_CRASHES_TO_DETECT = {CRASH_MARKER: 3, CRASH_PART_MARKER: 5}
# After that, the rules allow this many further runs, counted over all routers.
_MAX_LATE_RUNS = 3
_CRASH_REFUSALS = tuple(
    f'"code": {int(code)}'.encode() for code in (Code.CRASHES_SERVERS, Code.PART_CRASHES_SERVERS)
)


@define
class FatalRequestChecker:
    """Checks that requests that crash servers are refused, and that no other request is.

    Args:
        marker: What the targets of requests that crash servers contain.
        reconnect_ms: From the crash by which it must be detected until routers must refuse the request.
        undisturbed_router: Returns the router that sent a run, None if it was disturbed at
            that time.
    """

    marker: str
    reconnect_ms: float
    undisturbed_router: Callable[[Run], str | None]
    crashes_ms: list[float] = field(factory=list)

    def violations(
        self, runs: Iterable[tuple[str, Run]], answers: Iterable[tuple[str, bytes, float]]
    ) -> list[str]:
        """Return the violations.

        Args:
            answers: Target and body of each answer, and when the request was sent.
        """
        from_ms = self._parts_known_ms()
        found = [
            f"withheld: {target} was refused as if it crashed servers"
            for target, body, sent_ms in answers
            if self.marker not in target
            and sent_ms > from_ms
            and any(refusal in body for refusal in _CRASH_REFUSALS)
        ]
        return found + self._find_late_runs(runs)

    def _parts_known_ms(self) -> float:
        """Return from when on no harmless request may be refused.

        While all servers crash one after another, nothing shows which of the parts that waited in
        the crashes is harmless. The rule allows twice `reconnect_ms` from the fifth crash on, or
        from the last one.
        """
        if self.marker == CRASH_MARKER or not self.crashes_ms:
            return float("-inf")
        needed = _CRASHES_TO_DETECT[self.marker]
        return sorted(self.crashes_ms)[:needed][-1] + 2 * self.reconnect_ms

    def _find_late_runs(self, runs: Iterable[tuple[str, Run]]) -> list[str]:
        needed = _CRASHES_TO_DETECT[self.marker]
        if len(self.crashes_ms) < needed:
            return []
        from_ms = sorted(self.crashes_ms)[needed - 1] + self.reconnect_ms
        later = [
            f"{server} from {router}"
            for server, run in runs
            if self.marker in run.target
            and run.at_ms > from_ms
            and (router := self.undisturbed_router(run)) is not None
        ]
        if len(later) <= _MAX_LATE_RUNS:
            return []
        crashes = len(self.crashes_ms)
        return [
            f"{self.marker}: sent {len(later)} times too late, first to {later[0]}; {crashes} crashed"
        ]

"""Checks that routers obey the shutdown and pause signals in the answers of servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define, field

from cicadaledge.standins import Refusal, Run

# Requests that reach a server within this time after its refusal do not count: the router may have
# sent them before the refusal arrived.
_IN_FLIGHT_MS = 500.0
# Up to this many later requests of one router may reach the server during the pause that it asked
# for; more are a violation.
_MAX_IN_PAUSE = 2


@define
class ServerRecord:
    """What one incarnation of a server received.

    Args:
        resent: Ids of requests that arrived again on a connection that had carried them.
    """

    name: str
    runs: list[Run]
    refusals: list[Refusal]
    resent: list[str] = field(factory=list)


@define
class ServerSignalChecker:
    """Finds requests that were sent to a server after it had signalled that it takes none.

    Args:
        drain_ms: From an answer that announces a shutdown until the last time at which a caller may
            send a request that reaches the server.
        request_times: Returns router, send time and end time of a known request; the end time is
            None if it had no answer.
        is_excused: Returns whether a router was paused or restarted in a span of time; if the last
            argument is true, also whether it was cut off.
    """

    drain_ms: float
    request_times: Callable[[str], tuple[str, float, float | None] | None]
    is_excused: Callable[[str, float, float, bool], bool]
    records: list[ServerRecord] = field(factory=list)

    def violations(self) -> list[str]:
        """Return the violations."""
        found: list[str] = []
        for record in self.records:
            found += self._find_runs_after_leaving(record)
            found += self._find_requests_in_pauses(record)
        return found

    def _find_runs_after_leaving(self, record: ServerRecord) -> Iterable[str]:
        announced_ms: dict[str, float] = {}
        for run in record.runs:
            sent = self.request_times(run.request_id)
            if run.announced_leaving and run.finished and sent is not None and sent[2] is not None:
                announced_ms[sent[0]] = min(announced_ms.get(sent[0], sent[2]), sent[2])
        for run in record.runs:
            sent = self.request_times(run.request_id)
            if sent is None or sent[0] not in announced_ms:
                continue
            router, sent_ms, _ = sent
            late_ms = sent_ms - announced_ms[router] - self.drain_ms
            if late_ms > 0 and not self.is_excused(router, announced_ms[router], run.at_ms, False):
                yield (
                    f"leaving by word: {record.name} got {run.request_id} of {router}"
                    f" {late_ms:.0f} ms too late"
                )

    def _find_requests_in_pauses(self, record: ServerRecord) -> Iterable[str]:
        arrivals = [(run.request_id, run.at_ms) for run in record.runs]
        arrivals += [(one.request_id, one.at_ms) for one in record.refusals]
        for refusal in record.refusals:
            sent = self.request_times(refusal.request_id)
            if sent is None:
                continue
            router = sent[0]
            begin_ms = refusal.at_ms + _IN_FLIGHT_MS
            end_ms = refusal.at_ms + refusal.pause_s * 1000
            came = [
                request_id
                for request_id, at_ms in arrivals
                if begin_ms < at_ms < end_ms
                and (other := self.request_times(request_id)) is not None
                and other[0] == router
            ]
            if len(came) > _MAX_IN_PAUSE and not self.is_excused(
                router, refusal.at_ms, end_ms, True
            ):
                yield (
                    f"pause: {record.name} got {len(came)} requests of {router} in a pause"
                    f" of {refusal.pause_s} s, the first {came[0]}"
                )
                return

"""Tells crashes of backend servers from lost connections, and which requests were running."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import define, field

from cicadaledge.clock import clock_ms
from cicadaledge.edge._http_client import HttpConnection
from cicadaledge.edge._interrupted_run import InterruptedRun
from cicadaledge.edge._server_pool import ServerPool
from cicadaledge.errors import BackendError
from cicadaledge.logs import PartLog
from cicadaledge.placing import LoadTracker
from cicadaledge.routing import ServerDirectory, ServerEntry

# Unanswered requests are kept this long. A crashed server restarts as a new incarnation within some
# seconds, which shows that the former one has crashed.
_RETENTION_MS = 10_000.0
# At most this many unanswered requests, the latest ones, are kept for each incarnation. One router
# runs about as many requests on a server at a time.
_MAX_UNANSWERED = 64
# Requests that lose their caller or connection within this time before a refused connection shows
# the crash, or after it, count as running in it, as they are not all lost at the same moment.
_CRASH_WINDOW_MS = 2_000.0
# A server is probed no more often than this, so that a live server that loses many connections is
# not probed for each of them.
_PROBE_INTERVAL_MS = 250.0
# After a lost connection, a retry waits at most this long for the probe of the server and for
# reports of simultaneous crashes: about three one-way delays between regions. Without the wait, it
# could go to a server that has crashed, too.
_CORRELATION_MS = 100.0
# After a server's port has refused a connection, the router waits this long to notice that the
# server's other connections have ended. If one of them is still open, the server counts as alive.
_CONNECTION_END_S = 0.05
# Heartbeats that are read within this time after a crash may have been written before it, and do
# not show that the server is alive.
_LIVENESS_DELAY_MS = 2_000.0
# After that delay, a server with this many heartbeats since its crash was detected seems alive. It
# is probed again.
_LIVENESS_HEARTBEATS = 2
_log = PartLog("crashes")

_IncarnationKey = tuple[str, int]


@define
class _Incarnation:
    """Requests that got no complete answer from one incarnation (one start) of a server.

    Args:
        unanswered: When each run ended, and the run.
        probed_ms: When the last connection probe ended.
        last_heartbeat: Number of its newest heartbeat when the crash was detected.
        is_resolved: Whether a newer incarnation has confirmed the crash, or a new connection has
            disproved it.
    """

    entry: ServerEntry
    unanswered: deque[tuple[float, InterruptedRun]] = field(
        factory=lambda: deque(maxlen=_MAX_UNANSWERED)
    )
    probed_ms: float = float("-inf")
    probe: asyncio.Task[None] | None = None
    crashed_ms: float | None = None
    last_heartbeat: int = 0
    is_resolved: bool = False

    def unanswered_since(self, from_ms: float) -> list[InterruptedRun]:
        """Return the runs that ended without a complete answer since a time."""
        return [run for at_ms, run in self.unanswered if at_ms >= from_ms]


class CrashDetector:
    """Detects crashed servers and reports the requests that were running on them.

    A server has crashed if it had not announced a shutdown and its port refuses connections or a
    newer incarnation has replaced it. A lost connection or a timeout alone is no crash.

    Args:
        on_crash: Called with the crash, how it was detected and the runs that it interrupted;
            possibly several times for one crash.
        on_false_alarm: Called with a crash that turned out to be none, as the server is alive.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        load: LoadTracker,
        pool: ServerPool,
        connect_ms: float,
        on_crash: Callable[[str, str, list[InterruptedRun]], None],
        on_false_alarm: Callable[[str], None],
    ) -> None:
        self._directory = directory
        self._load = load
        self._pool = pool
        self._connect_ms = connect_ms
        self._on_crash = on_crash
        self._on_false_alarm = on_false_alarm
        self._incarnations: dict[_IncarnationKey, _Incarnation] = {}

    def record_unanswered(
        self, entry: ServerEntry, run: InterruptedRun, began_ms: float, *, connection_lost: bool
    ) -> None:
        """Record that a request was sent to a server and got no complete answer.

        Args:
            began_ms: When it was sent. A request sent after a crash ran in a newer incarnation,
                whose entry has not been read yet.
            connection_lost: Whether the connection was lost; otherwise the caller disconnected or
                the request timed out.
        """
        if not self._stays_in_service(entry):
            return
        now_ms = clock_ms()
        key = (entry.server, entry.born_ms)
        incarnation = self._incarnations.setdefault(key, _Incarnation(entry))
        if incarnation.crashed_ms is not None:
            if (
                began_ms < incarnation.crashed_ms
                and now_ms - incarnation.crashed_ms < _CRASH_WINDOW_MS
            ):
                self._on_crash(_crash_id(entry), "refused", [run])
            return
        incarnation.unanswered.append((now_ms, run))
        if (
            connection_lost
            and incarnation.probe is None
            and now_ms - incarnation.probed_ms >= _PROBE_INTERVAL_MS
        ):
            incarnation.probe = asyncio.get_running_loop().create_task(self._probe(incarnation))

    async def wait_for_verdict(self, entry: ServerEntry) -> None:
        """Wait for the probe of a server, and after a crash for reports of simultaneous crashes.

        Without the wait, a retry could go to a server that has crashed for the same reason, which
        this router does not know yet. The request would be lost again and become suspect.
        """
        incarnation = self._incarnations.get((entry.server, entry.born_ms))
        if incarnation is None:
            return
        begin_ms = clock_ms()
        if incarnation.probe is not None:
            await asyncio.wait([incarnation.probe], timeout=_CORRELATION_MS / 1000)
        if incarnation.crashed_ms is not None:
            await asyncio.sleep(max(0.0, begin_ms + _CORRELATION_MS - clock_ms()) / 1000)

    def check(self) -> None:
        """Look for replaced incarnations, and for servers that are alive after a reported crash."""
        now_ms = clock_ms()
        for key, incarnation in list(self._incarnations.items()):
            if incarnation.probe is None and not self._check_incarnation(incarnation, now_ms):
                del self._incarnations[key]

    def _check_incarnation(self, incarnation: _Incarnation, now_ms: float) -> bool:
        """Return whether an incarnation must still be tracked."""
        if not incarnation.is_resolved and self._directory.is_replaced(incarnation.entry):
            incarnation.is_resolved = True
            if incarnation.crashed_ms is None:
                self._report_crash(incarnation, "replaced", now_ms - _RETENTION_MS)
        if incarnation.crashed_ms is None and not self._stays_in_service(incarnation.entry):
            return False
        if (
            self._seems_alive(incarnation, now_ms)
            and now_ms - incarnation.probed_ms >= _PROBE_INTERVAL_MS
        ):
            incarnation.probe = asyncio.get_running_loop().create_task(self._probe(incarnation))
        return now_ms - incarnation.unanswered[-1][0] <= _RETENTION_MS

    def _stays_in_service(self, entry: ServerEntry) -> bool:
        """Return whether a server has not announced a shutdown."""
        if not self._directory.is_staying(entry):
            return False
        departing = self._load.departing(clock_ms())
        return (entry.server, entry.born_ms) not in {
            (item.server, item.born_ms) for item in departing
        }

    async def _probe(self, incarnation: _Incarnation) -> None:
        """Check whether a server's port accepts connections."""
        try:
            is_refused = await self._is_refused(incarnation.entry)
            if incarnation.crashed_ms is None:
                if is_refused and self._stays_in_service(incarnation.entry):
                    self._report_crash(incarnation, "refused", clock_ms() - _CRASH_WINDOW_MS)
            elif is_refused is False and not incarnation.is_resolved:
                incarnation.is_resolved = True
                self._on_false_alarm(_crash_id(incarnation.entry))
        finally:
            incarnation.probed_ms = clock_ms()
            incarnation.probe = None

    async def _is_refused(self, entry: ServerEntry) -> bool | None:
        """Return whether a server's port refuses connections, or None if it does not respond.

        A server with an open connection counts as alive, even if its port refuses new ones.
        """
        try:
            connection = await HttpConnection.open(
                entry.host, entry.port, entry.server, self._connect_ms
            )
        except BackendError as error:
            if not isinstance(error.__cause__, ConnectionError):
                return None
        else:
            connection.channel.close()
            return False
        if self._pool.has_open_connection(entry):
            await asyncio.sleep(_CONNECTION_END_S)
        return not self._pool.has_open_connection(entry)

    def _report_crash(self, incarnation: _Incarnation, told_by: str, from_ms: float) -> None:
        incarnation.crashed_ms = clock_ms()
        incarnation.last_heartbeat = self._directory.newest_sequence(incarnation.entry)
        self._on_crash(_crash_id(incarnation.entry), told_by, incarnation.unanswered_since(from_ms))

    def _seems_alive(self, incarnation: _Incarnation, now_ms: float) -> bool:
        """Return whether heartbeats continue after connections were refused.

        A network partition can refuse connections while the server runs. Heartbeats are counted
        only after a delay, as the store can publish those from before the crash late.
        """
        if incarnation.crashed_ms is None or incarnation.is_resolved:
            return False
        if now_ms - incarnation.crashed_ms < _LIVENESS_DELAY_MS:
            return False
        heartbeats = self._directory.newest_sequence(incarnation.entry)
        return heartbeats - incarnation.last_heartbeat >= _LIVENESS_HEARTBEATS


def _crash_id(entry: ServerEntry) -> str:
    """Return the id of a crash: a server can crash once per incarnation."""
    return f"{entry.server}/{entry.born_ms}"

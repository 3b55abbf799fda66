"""Tells crashes of backend servers from broken connections, and who was running in them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import define, field

from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._http_client import HttpConnection
from cicadaledge.edge._server_pool import ServerPool
from cicadaledge.edge._work import ActiveRequest
from cicadaledge.errors import BackendError
from cicadaledge.logs import PartLog
from cicadaledge.placing import LoadBook
from cicadaledge.routing import ServerDirectory, ServerEntry

_KEPT_MS = 10_000.0  # a server is back, as a new incarnation, some seconds after a crash
_KEPT_WORKS = 64  # of one incarnation; about what one router runs there at once
_JUST_BEFORE_MS = 2_000.0  # callers leave, and connections break, a little before or after
_PROBE_EVERY_MS = 250.0  # a server that breaks many answers and goes on is not probed for each
_SAME_MOMENT_MS = 100.0  # about three times a way between regions
_LAST_BYTES_S = 0.05  # for the ends of other connections to be read
_PROOF_OF_LIFE_MS = 2_000.0  # heartbeats written before a crash are read within this
_PROOF_HEARTBEATS = 2
_log = PartLog("crashes")

_Key = tuple[str, int]


@define
class _Incarnation:
    """Requests that got no whole answer from one incarnation of a server.

    Args:
        last_heartbeat: Number of its newest heartbeat when it was found to have crashed.
        is_proved: Whether another incarnation, or a new connection, has shown what happened.
    """

    entry: ServerEntry
    unanswered: deque[tuple[float, ActiveRequest]] = field(
        factory=lambda: deque(maxlen=_KEPT_WORKS)
    )
    probed_ms: float = float("-inf")
    probe: asyncio.Task[None] | None = None
    crashed_ms: float | None = None
    last_heartbeat: int = 0
    is_proved: bool = False

    def works_since(self, from_ms: float) -> list[ActiveRequest]:
        """Return the requests that ended unanswered since a time."""
        return [work for at_ms, work in self.unanswered if at_ms >= from_ms]


class CrashWatch:
    """Notes which requests were running on servers that crashed.

    A crash is a server of which nothing said that it leaves, and which nobody listens for any more
    or which another incarnation has replaced. A broken connection alone is none, nor is silence.

    Args:
        on_crash: Takes crash, what told of it and the requests that were running; may be called
            again for one crash.
        on_life: Takes a crash that was none, as the server goes on.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        load: LoadBook,
        pool: ServerPool,
        connect_ms: float,
        on_crash: Callable[[str, str, list[ActiveRequest]], None],
        on_life: Callable[[str], None],
    ) -> None:
        self._directory = directory
        self._load = load
        self._pool = pool
        self._connect_ms = connect_ms
        self._on_crash = on_crash
        self._on_life = on_life
        self._incarnations: dict[_Key, _Incarnation] = {}

    def note_unanswered(
        self, entry: ServerEntry, work: ActiveRequest, began_ms: float, *, broke: bool
    ) -> None:
        """Note that a request was sent to a server and got no whole answer.

        Args:
            began_ms: When it was given to the server. What began after a crash ran in a later
                incarnation, which is not known yet.
            broke: Whether the connection broke; else the caller left or its time ran out.
        """
        if not self._is_to_stay(entry):
            return
        now_ms = clock_ms()
        key = (entry.server, entry.born_ms)
        known = self._incarnations.setdefault(key, _Incarnation(entry))
        if known.crashed_ms is not None:
            if began_ms < known.crashed_ms and now_ms - known.crashed_ms < _JUST_BEFORE_MS:
                self._on_crash(_name(entry), "refused", [work])
            return
        known.unanswered.append((now_ms, work))
        if broke and known.probe is None and now_ms - known.probed_ms >= _PROBE_EVERY_MS:
            known.probe = asyncio.get_running_loop().create_task(self._probe(known))

    async def settle(self, entry: ServerEntry) -> None:
        """Wait until it is known what ended a request, and what else ended at that moment.

        After a crash a request that is sent on at once can meet a server that crashed for the same
        reason, in another zone. It would be lost again, and be suspect for no other reason.
        """
        known = self._incarnations.get((entry.server, entry.born_ms))
        if known is None:
            return
        begin_ms = clock_ms()
        if known.probe is not None:
            await asyncio.wait([known.probe], timeout=_SAME_MOMENT_MS / 1000)
        if known.crashed_ms is not None:
            await asyncio.sleep(max(0.0, begin_ms + _SAME_MOMENT_MS - clock_ms()) / 1000)

    def check(self) -> None:
        """Look for incarnations that were replaced, and for servers that go on after all."""
        now_ms = clock_ms()
        for key, known in list(self._incarnations.items()):
            if known.probe is None and not self._check_one(known, now_ms):
                del self._incarnations[key]

    def _check_one(self, known: _Incarnation, now_ms: float) -> bool:
        """Return whether an incarnation is still of interest."""
        if not known.is_proved and self._directory.is_replaced(known.entry):
            known.is_proved = True
            if known.crashed_ms is None:
                self._note_crash(known, "replaced", now_ms - _KEPT_MS)
        if known.crashed_ms is None and not self._is_to_stay(known.entry):
            return False
        if self._seems_to_live(known, now_ms) and now_ms - known.probed_ms >= _PROBE_EVERY_MS:
            known.probe = asyncio.get_running_loop().create_task(self._probe(known))
        return now_ms - known.unanswered[-1][0] <= _KEPT_MS

    def _is_to_stay(self, entry: ServerEntry) -> bool:
        """Return whether nothing that is known says that a server leaves."""
        if not self._directory.is_to_stay(entry):
            return False
        departing = self._load.departing(clock_ms())
        return (entry.server, entry.born_ms) not in {(one.server, one.born_ms) for one in departing}

    async def _probe(self, known: _Incarnation) -> None:
        """Ask whether anybody listens at a server's address."""
        try:
            is_refused = await self._is_refused(known.entry)
            if known.crashed_ms is None:
                if is_refused and self._is_to_stay(known.entry):
                    self._note_crash(known, "refused", clock_ms() - _JUST_BEFORE_MS)
            elif is_refused is False and not known.is_proved:
                known.is_proved = True
                self._on_life(_name(known.entry))
        finally:
            known.probed_ms = clock_ms()
            known.probe = None

    async def _is_refused(self, entry: ServerEntry) -> bool | None:
        """Return whether nobody listens for a server, or None if there is no answer."""
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
            await asyncio.sleep(_LAST_BYTES_S)
        return not self._pool.has_open_connection(entry)

    def _note_crash(self, known: _Incarnation, told_by: str, from_ms: float) -> None:
        known.crashed_ms = clock_ms()
        known.last_heartbeat = self._directory.heartbeats(known.entry)
        self._on_crash(_name(known.entry), told_by, known.works_since(from_ms))

    def _seems_to_live(self, known: _Incarnation, now_ms: float) -> bool:
        """Return whether heartbeats go on though nobody listened.

        A cut can refuse connections; a store can take heartbeats over late.
        """
        if known.crashed_ms is None or known.is_proved:
            return False
        if now_ms - known.crashed_ms < _PROOF_OF_LIFE_MS:
            return False
        heartbeats = self._directory.heartbeats(known.entry)
        return heartbeats - known.last_heartbeat >= _PROOF_HEARTBEATS


def _name(entry: ServerEntry) -> str:
    """Return the name of a crash: a server can crash once in each incarnation."""
    return f"{entry.server}/{entry.born_ms}"

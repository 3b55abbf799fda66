"""Load of the soak: callers that keep their connections open between requests."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random

from attrs import define, evolve, field, frozen

from cicadaledge.edge import HttpConnection, clock_ms
from cicadaledge.errors import BackendError
from cicadaledge.routing import RouteKind
from cicadaledge.soak._deployment import IDLE_TIMEOUT_MS, KEYS, SoakWorld
from cicadaledge.soak._fatal_requests import CRASH_MARKER, CRASH_PART, CRASH_PART_MARKER
from cicadaledge.soak._observations import ROUTE_TIMEOUT_MS, SentRequest
from cicadaledge.standins import CallerRequest, response_seal

# Callers disconnect after this time; an answer that came later would violate the route's timeout.
_CALL_TIMEOUT_S = 6.0
_CONNECT_TIMEOUT_MS = 1_000.0
# Fraction of the requests whose caller disconnects within 0.3 s if there is no answer by then.
_DISCONNECT_SHARE = 0.05
_SHARED_PREFIXES = 20  # Each prompt begins with one of this many prefixes.
_THINK_S = (0.02, 0.15)
# Fraction of the pauses between requests that last about as long as the idle timeout, so that the
# next request meets a connection that the router is about to close or has just closed.
_LONG_THINK_SHARE = 0.05
_LONG_THINK_S = (0.7 * IDLE_TIMEOUT_MS / 1000, 1.05 * IDLE_TIMEOUT_MS / 1000)
_REPEATED_REQUEST_KEY = KEYS[0]
_FATAL_THINK_S = (0.15, 0.5)
# Number of callers that repeat one harmless request beside the one that crashes servers; it must
# not be refused as if it crashed servers, too.
_HOT_CALLERS = 2
# Interval at which `Callers._tick` notes the time. It determines how exactly the end of a
# connection is timed when the event loop of the callers is late.
_TICK_S = 0.01


@frozen
class _RequestKind:
    prefix: str
    kind: RouteKind
    resumable: bool = False

    @property
    def is_model(self) -> bool:
        return self.kind is RouteKind.STREAM


_KINDS = (
    _RequestKind("/book/", RouteKind.UNSAFE),
    _RequestKind("/look/", RouteKind.SAFE),
    _RequestKind("/draft/", RouteKind.STREAM),
    _RequestKind("/chat/", RouteKind.STREAM, resumable=True),
)


@frozen
class _RepeatedRequest:
    """A request that is sent repeatedly.

    Args:
        crash_part: Whether its prompt holds the part that crashes servers. No two of these are
            alike otherwise; without it, the request is sent without changes.
    """

    kind: _RequestKind
    target: str
    think_s: tuple[float, float]
    crash_part: bool = False


@define
class Callers:
    """All callers of one round.

    Args:
        seed: Seeds the choice of requests and routers.
    """

    world: SoakWorld
    seed: int
    _request_numbers: itertools.count[int] = field(factory=itertools.count)
    _tasks: list[asyncio.Task[None]] = field(factory=list)
    _ticks_ms: tuple[float, float] = field(factory=lambda: (clock_ms(), clock_ms()))

    def start(self) -> None:
        """Start all callers."""
        self._tasks.append(asyncio.create_task(self._tick()))
        for index in range(self.world.size.callers):
            rng = random.Random(f"{self.seed}/{index}")
            self._tasks.append(asyncio.create_task(self._send_continuously(rng)))

    async def stop(self) -> None:
        """Cancel all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start_fatal_requests(self) -> None:
        """Start a caller that repeats a crashing request and some that repeat a harmless one."""
        rng = random.Random(f"{self.seed}/fatal")
        kind = rng.choice(_KINDS)
        fatal = _RepeatedRequest(kind, f"{kind.prefix}{CRASH_MARKER}", _FATAL_THINK_S)
        hot = _RepeatedRequest(kind, f"{kind.prefix}hot", _THINK_S)
        for repeated in (fatal, *[hot] * _HOT_CALLERS):
            repeat_rng = random.Random(rng.random())
            self._tasks.append(asyncio.create_task(self._send_repeatedly(repeated, repeat_rng)))

    def start_fatal_parts(self) -> None:
        """Start a caller whose prompts share a part that crashes servers."""
        rng = random.Random(f"{self.seed}/part")
        kind = rng.choice([kind for kind in _KINDS if kind.is_model])
        target = f"{kind.prefix}{CRASH_PART_MARKER}"
        tainted = _RepeatedRequest(kind, target, _FATAL_THINK_S, crash_part=True)
        self._tasks.append(asyncio.create_task(self._send_repeatedly(tainted, rng)))

    def burst(self, router: str, count: int) -> None:
        """Open further connections to a router now and send one request on each."""
        for _ in range(count):
            rng = random.Random(f"{self.seed}/burst/{len(self._tasks)}")
            self._tasks.append(asyncio.create_task(self._send_once(router, rng)))

    async def _tick(self) -> None:
        """Record when the event loop runs.

        A connection's end that is seen now occurred after the tick before the last one, however
        late the loop is.
        """
        while True:
            self._ticks_ms = (self._ticks_ms[1], clock_ms())
            await asyncio.sleep(_TICK_S)

    async def _send_continuously(self, rng: random.Random) -> None:
        while True:
            name = rng.choice(list(self.world.routers))
            try:
                connection = await self._connection(name)
            except BackendError:
                await asyncio.sleep(rng.uniform(*_THINK_S))
                continue
            try:
                while await self._send_request(connection, name, rng):
                    is_long = rng.random() < _LONG_THINK_SHARE
                    await asyncio.sleep(rng.uniform(*(_LONG_THINK_S if is_long else _THINK_S)))
            finally:
                connection.abort()

    async def _send_repeatedly(self, repeated: _RepeatedRequest, rng: random.Random) -> None:
        while True:
            name = rng.choice(list(self.world.routers))
            with contextlib.suppress(BackendError):
                connection = await self._connection(name)
                try:
                    await self._send_request(connection, name, rng, repeated)
                finally:
                    connection.abort()
            await asyncio.sleep(rng.uniform(*repeated.think_s))

    async def _send_once(self, router: str, rng: random.Random) -> None:
        with contextlib.suppress(BackendError):
            connection = await self._connection(router)
            try:
                await self._send_request(connection, router, rng)
            finally:
                connection.abort()

    async def _connection(self, router: str) -> HttpConnection:
        address = self.world.routers[router].callers
        return await HttpConnection.open(address.host, address.port, router, _CONNECT_TIMEOUT_MS)

    async def _send_request(
        self,
        connection: HttpConnection,
        router: str,
        rng: random.Random,
        repeated: _RepeatedRequest | None = None,
    ) -> bool:
        """Send one request and record its answer; return whether the connection can be reused."""
        kind = repeated.kind if repeated else rng.choice(_KINDS)
        number = next(self._request_numbers)
        sent = SentRequest(
            request_id=f"s{self.seed}-{number}",
            kind=kind.kind,
            resumable=kind.resumable,
            router=router,
            target=(
                repeated.target
                if repeated and not repeated.crash_part
                else f"{repeated.target if repeated else kind.prefix}{number}?n={number}"
            ),
            body=b"{}" if repeated and not repeated.crash_part else b"{%d}" % number,
            key=(
                _REPEATED_REQUEST_KEY
                if repeated
                else rng.choice(list(self.world.observations.accounts))
            ),
            sent_ms=clock_ms(),
        )
        timeout_s = rng.uniform(0.0, 0.3) if rng.random() < _DISCONNECT_SHARE else _CALL_TIMEOUT_S
        self.world.observations.sent[sent.request_id] = sent
        try:
            connection.send(
                "POST", sent.target, _request(sent, kind, rng, repeated).headers(), sent.body
            )
        except BackendError:
            del self.world.observations.sent[sent.request_id]
            return False
        try:
            async with asyncio.timeout(timeout_s):
                await self._read(connection, sent)
        except TimeoutError:
            sent.abandoned_ms = clock_ms()
            connection.abort()
        except BackendError:
            pass
        except asyncio.CancelledError:
            sent.abandoned_ms = clock_ms()
            raise
        sent.last_open_ms = max(sent.sent_ms, self._ticks_ms[0])
        sent.ended_ms = clock_ms()
        return sent.complete and connection.finish_exchange()

    async def _read(self, connection: HttpConnection, sent: SentRequest) -> None:
        head = await connection.read_head()
        sent.status = head.status
        sent.seal = response_seal(head)
        while (piece := await connection.read_chunk()) is not None:
            sent.received += piece
        sent.complete = True


def _request(
    sent: SentRequest, kind: _RequestKind, rng: random.Random, repeated: _RepeatedRequest | None
) -> CallerRequest:
    plain = CallerRequest(sent.request_id, sent.key, ROUTE_TIMEOUT_MS)
    if not kind.is_model:
        return plain
    if repeated and repeated.crash_part:
        parts = [f"{rng.randrange(_SHARED_PREFIXES):x}:150", f"{CRASH_PART}:100"]
        rng.shuffle(parts)
        return evolve(plain, prompt="300,40", parts=",".join([*parts, "bb:50"]))
    prefix = 0 if repeated else rng.randrange(_SHARED_PREFIXES)
    return evolve(plain, prompt="300,40", parts=f"{prefix:x}:200,bb:100")

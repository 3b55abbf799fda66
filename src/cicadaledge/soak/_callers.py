"""Callers that keep their connections open for as long as the router's process lives."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random

from attrs import define, evolve, field, frozen

from cicadaledge.edge import HttpConnection, clock_ms
from cicadaledge.errors import BackendError
from cicadaledge.routing import RouteKind
from cicadaledge.soak._fatal import FATAL
from cicadaledge.soak._ledger import ROUTE_TIMEOUT_MS, Sent
from cicadaledge.soak._world import IDLE_TIMEOUT_MS, KEYS, SoakWorld
from cicadaledge.standins import CallerRequest, response_seal

_PATIENCE_S = 6.0  # an answer later than this breaks the promise about time-outs
_CONNECT_MS = 1_000.0
_LEAVE_SHARE = 0.05  # callers that leave before the answer
_SUBJECTS = 20  # shared parts of prompts
_THINK_S = (0.02, 0.15)
_REST_SHARE = 0.05  # pauses that last about the idle time-out
_REST_S = (0.7 * IDLE_TIMEOUT_MS / 1000, 1.05 * IDLE_TIMEOUT_MS / 1000)
_KEY_OF_REPEATED = KEYS[0]
_FATAL_THINK_S = (0.15, 0.5)
_HOT_CALLERS = 2  # that send the same sound request beside the fatal one
_TICK_S = 0.01  # how exactly an end is timed while the callers' own loop is late


@frozen
class _Kind:
    prefix: str
    kind: RouteKind
    resumable: bool = False

    @property
    def is_model(self) -> bool:
        return self.kind is RouteKind.STREAM


_KINDS = (
    _Kind("/book/", RouteKind.UNSAFE),
    _Kind("/look/", RouteKind.SAFE),
    _Kind("/draft/", RouteKind.STREAM),
    _Kind("/chat/", RouteKind.STREAM, resumable=True),
)


@frozen
class _Repeated:
    """A request that is sent again and again, each time the same."""

    kind: _Kind
    target: str
    think_s: tuple[float, float]


@define
class Callers:
    """All callers of one round.

    Args:
        seed: Draws what they send, and where.
    """

    world: SoakWorld
    seed: int
    _numbers: itertools.count[int] = field(factory=itertools.count)
    _tasks: list[asyncio.Task[None]] = field(factory=list)
    _ticks_ms: tuple[float, float] = field(factory=lambda: (clock_ms(), clock_ms()))

    def start(self) -> None:
        """Let the callers begin."""
        self._tasks.append(asyncio.create_task(self._tick()))
        for place in range(self.world.size.callers):
            chance = random.Random(f"{self.seed}/{place}")
            self._tasks.append(asyncio.create_task(self._call_for_ever(chance)))

    async def stop(self) -> None:
        """End all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start_fatal(self) -> None:
        """Let one caller send a request again and again that crashes servers, others a sound one."""
        chance = random.Random(f"{self.seed}/fatal")
        kind = chance.choice(_KINDS)
        fatal = _Repeated(kind, f"{kind.prefix}{FATAL}", _FATAL_THINK_S)
        hot = _Repeated(kind, f"{kind.prefix}hot", _THINK_S)
        for repeated in (fatal, *[hot] * _HOT_CALLERS):
            again = random.Random(chance.random())
            self._tasks.append(asyncio.create_task(self._repeat(repeated, again)))

    def burst(self, router: str, count: int) -> None:
        """Let further callers connect to a router now and send one request each."""
        for _ in range(count):
            chance = random.Random(f"{self.seed}/burst/{len(self._tasks)}")
            self._tasks.append(asyncio.create_task(self._call_once(router, chance)))

    async def _tick(self) -> None:
        """Note when the loop reads; an end noticed now came after the tick before the last."""
        while True:
            self._ticks_ms = (self._ticks_ms[1], clock_ms())
            await asyncio.sleep(_TICK_S)

    async def _call_for_ever(self, chance: random.Random) -> None:
        while True:
            name = chance.choice(list(self.world.routers))
            try:
                connection = await self._connection(name)
            except BackendError:
                await asyncio.sleep(chance.uniform(*_THINK_S))
                continue
            try:
                while await self._call(connection, name, chance):
                    rests = chance.random() < _REST_SHARE
                    await asyncio.sleep(chance.uniform(*(_REST_S if rests else _THINK_S)))
            finally:
                connection.abort()

    async def _repeat(self, repeated: _Repeated, chance: random.Random) -> None:
        while True:
            name = chance.choice(list(self.world.routers))
            with contextlib.suppress(BackendError):
                connection = await self._connection(name)
                try:
                    await self._call(connection, name, chance, repeated)
                finally:
                    connection.abort()
            await asyncio.sleep(chance.uniform(*repeated.think_s))

    async def _call_once(self, router: str, chance: random.Random) -> None:
        with contextlib.suppress(BackendError):
            connection = await self._connection(router)
            try:
                await self._call(connection, router, chance)
            finally:
                connection.abort()

    async def _connection(self, router: str) -> HttpConnection:
        address = self.world.routers[router].callers
        return await HttpConnection.open(address.host, address.port, router, _CONNECT_MS)

    async def _call(
        self,
        connection: HttpConnection,
        router: str,
        chance: random.Random,
        repeated: _Repeated | None = None,
    ) -> bool:
        """Send one request and note what comes; return whether the connection can be kept."""
        kind = repeated.kind if repeated else chance.choice(_KINDS)
        number = next(self._numbers)
        sent = Sent(
            request_id=f"s{self.seed}-{number}",
            kind=kind.kind,
            resumable=kind.resumable,
            router=router,
            target=repeated.target if repeated else f"{kind.prefix}{number}?n={number}",
            body=b"{}" if repeated else b"{%d}" % number,
            key=_KEY_OF_REPEATED if repeated else chance.choice(list(self.world.ledger.accounts)),
            sent_ms=clock_ms(),
        )
        leave_s = chance.uniform(0.0, 0.3) if chance.random() < _LEAVE_SHARE else _PATIENCE_S
        self.world.ledger.sent[sent.request_id] = sent
        try:
            connection.send(
                "POST", sent.target, _request(sent, kind, chance, repeated).headers(), sent.body
            )
        except BackendError:
            del self.world.ledger.sent[sent.request_id]
            return False
        try:
            async with asyncio.timeout(leave_s):
                await self._read(connection, sent)
        except TimeoutError:
            sent.left_ms = clock_ms()
            connection.abort()
        except BackendError:
            pass
        except asyncio.CancelledError:
            sent.left_ms = clock_ms()
            raise
        sent.open_ms = max(sent.sent_ms, self._ticks_ms[0])
        sent.ended_ms = clock_ms()
        return sent.complete and connection.finish_exchange()

    async def _read(self, connection: HttpConnection, sent: Sent) -> None:
        head = await connection.read_head()
        sent.status = head.status
        sent.seal = response_seal(head)
        while (piece := await connection.read_chunk()) is not None:
            sent.received += piece
        sent.complete = True


def _request(
    sent: Sent, kind: _Kind, chance: random.Random, repeated: _Repeated | None
) -> CallerRequest:
    plain = CallerRequest(sent.request_id, sent.key, ROUTE_TIMEOUT_MS)
    if not kind.is_model:
        return plain
    subject = 0 if repeated else chance.randrange(_SUBJECTS)
    return evolve(plain, prompt="300,40", parts=f"{subject:x}:200,bb:100")

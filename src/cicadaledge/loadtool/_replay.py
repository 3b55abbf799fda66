"""Replays a heavy day against the placing code in simulated time, without a network.

Says how many requests are in aim, what accounts get and how much is read again, for the placing
in force and for ways to compare it with. Frames, connections and faults are not played.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from cicadaledge.loadtool._replay_day import MODES, Mode, ReplayDay, RequestClass
from cicadaledge.loadtool._replay_fleet import DirectExchange, Exchange, RelayExchange
from cicadaledge.loadtool._replay_result import ReplayRequest, ReplayResult, measure
from cicadaledge.placing import (
    AccountShares,
    Chosen,
    FleetLoad,
    LoadTracker,
    Placer,
    ServerHealth,
    ShareUse,
)
from cicadaledge.routing import (
    Call,
    Engine,
    PromptPart,
    Route,
    RouteKind,
    ServerDirectory,
    ServerEntry,
    ServerState,
    Service,
    ServiceWeight,
)
from cicadaledge.standins import EngineEmulator, EngineParameters, EngineRun

_SERVICE = "pool"
_MOST_SIZE_WORTH = 4.0
_HOLD_PART = 0.11
_HOLD_STEP_MS = 15.0
_RETRY_PART = 1 / 3
_SEND_MS = 1.0  # from a router to an engine
_PAUSE_AIM_MS = 500.0


class _SimRouter:
    """The decision parts of one router."""

    def __init__(
        self, name: str, region: str, day: ReplayDay, mode: Mode, directory: ServerDirectory
    ) -> None:
        self.name = name
        self.fleet = FleetLoad(name)
        members = day.routers if mode.shared_views or mode.split else 1
        self.fleet.set_roles(name, is_relay=True, members=members)
        self.load = LoadTracker(self.fleet)
        self.shares = AccountShares(4_000, self.fleet)
        self.placer = Placer(
            mode.settings,
            directory,
            self.load,
            ServerHealth(),
            lambda zone: zone,
            region,
        )


class Replay:
    """One day in one mode."""

    def __init__(self, day: ReplayDay, mode: Mode) -> None:
        self._day = day
        self._mode = mode
        self._chance = random.Random(day.seed)
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count()
        self._requests: list[ReplayRequest] = []
        figures = EngineParameters(slots=day.slots)
        self._engines = {f"engine-{n}": EngineEmulator(figures) for n in range(day.engines)}
        self._stepping: set[str] = set()
        directory = ServerDirectory()
        for place, name in enumerate(self._engines):
            zone = f"region-{place % day.regions}"
            entry = ServerEntry(
                name, _SERVICE, "h", 1, zone, ServerState.READY, day.slots, 0.0, 1, 1
            )
            directory.apply(entry, -60_000.0)
        self._routers = [
            _SimRouter(f"router-{n}", f"region-{n % day.regions}", day, mode, directory)
            for n in range(day.routers)
        ]
        self._service = Service(_SERVICE, engine=Engine(day.slots, figures.memory_tokens))
        self._exchange: Exchange = (
            RelayExchange(day, self._routers, self._at, day.seed)
            if day.zones
            else DirectExchange(day, self._routers, self._at)
        )
        self._clients = [self._chance.choice(self._routers) for _ in range(day.clients)]

    def run(self) -> ReplayResult:
        """Play the day and its end; return what callers got."""
        for kind in self._day.classes:
            self._at(self._chance.expovariate(kind.per_s) * 1000, self._arrival(kind))
        if self._mode.shared_views:
            self._exchange.start()
        while self._heap:
            now_ms, _, action = heapq.heappop(self._heap)
            action(now_ms)
        return measure(self._day, self._mode, self._requests, self._engines.values())

    def _at(self, time_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._heap, (time_ms, next(self._order), action))

    def _arrival(self, kind: RequestClass) -> Callable[[float], None]:
        def arrive(now_ms: float) -> None:
            if now_ms > self._day.seconds * 1000:
                return
            self._at(now_ms + self._chance.expovariate(kind.per_s) * 1000, arrive)
            request = self._new_request(kind, now_ms)
            self._requests.append(request)
            self._try(request, now_ms)

        return arrive

    def _new_request(self, kind: RequestClass, now_ms: float) -> ReplayRequest:
        account = self._account(now_ms)
        subject = self._chance.randrange(max(1, kind.subjects // self._day.accounts))
        own = self._size(kind.prompt_tokens, kind.spread)
        output = max(2, self._size(kind.output_tokens, 0.5))
        number = next(self._ids)
        parts = (
            PromptPart(f"{kind.name}-{account}-{subject}", kind.shared_tokens),
            PromptPart(f"own-{number}", own),
        )
        prompt = kind.shared_tokens + own
        call = Call(
            f"r{number}", "POST", "h", "/", [], b"", now_ms,
            prompt_tokens=prompt, output_tokens=output, parts=parts,
        )  # fmt: skip
        mean = kind.shared_tokens + kind.prompt_tokens + 10 * kind.output_tokens
        size = min(_MOST_SIZE_WORTH, 0.3 + 0.7 * (prompt + 10 * output) / mean)
        return ReplayRequest(kind, account, call, now_ms, size)

    def _account(self, now_ms: float) -> str:
        third_ms = self._day.seconds * 1000 / 3
        weights = []
        for place in range(self._day.accounts):
            weight = 1.0 / (place + 1) ** (self._day.skew / 2)
            is_hot = 0 <= place - self._day.first_hot < self._day.hot_accounts
            hot = is_hot and third_ms <= now_ms < 2 * third_ms
            weights.append(weight * self._day.hot_factor if hot else weight)
        return f"account-{self._chance.choices(range(self._day.accounts), weights)[0]}"

    def _size(self, mean: float, spread: float) -> int:
        drawn = self._chance.lognormvariate(-spread * spread / 2, spread)
        return max(1, int(mean * min(drawn, 8.0)))

    def _try(self, request: ReplayRequest, now_ms: float) -> None:
        router = self._router_of(request.account)
        request.tries += 1
        request.call.started_ms = now_ms
        router.shares.record_asked(request.account, request.call.cost_tokens, now_ms)
        if self._chance.random() < self._use(request, router, now_ms).admitted_fraction:
            self._place(request, router, now_ms)
        else:
            self._refuse(request, self._mode.settings.min_retry_ms, now_ms)

    def _router_of(self, account: str) -> _SimRouter:
        if not self._clients:
            weights = self._day.uneven[: len(self._routers)]
            return self._chance.choices(self._routers, weights)[0]
        rank = int(account.rpartition("-")[2])
        if rank < self._day.single_client_accounts:
            return self._clients[rank]
        return self._chance.choice(self._clients[self._day.single_client_accounts :])

    def _place(self, request: ReplayRequest, router: _SimRouter, now_ms: float) -> None:
        kind = request.kind
        route = Route(
            kind.name, "h", "/", RouteKind.STREAM, kind.deadline_ms, kind.aim_ms, 1,
            (ServiceWeight(_SERVICE, 1),),
        )  # fmt: skip
        use = self._use(request, router, now_ms)
        choice = router.placer.choose(request.call, route, self._service, None, set(), use, now_ms)
        if isinstance(choice, Chosen):
            self._send(request, router, choice, now_ms)
        elif now_ms + _HOLD_STEP_MS <= request.call.started_ms + kind.aim_ms * _HOLD_PART:
            self._at(now_ms + _HOLD_STEP_MS, lambda at: self._place(request, router, at))
        else:
            self._refuse(request, choice.retry_after_ms, now_ms)

    def _use(self, request: ReplayRequest, router: _SimRouter, now_ms: float) -> ShareUse:
        if not self._mode.shares:
            return ShareUse()
        return router.shares.share_use(request.account, self._day.tokens_per_s, now_ms)

    def _refuse(self, request: ReplayRequest, retry_after_ms: float, now_ms: float) -> None:
        left_ms = request.first_ms + request.kind.deadline_ms - now_ms
        if request.tries == 1 and retry_after_ms <= left_ms * _RETRY_PART:
            self._at(now_ms + retry_after_ms, lambda at: self._try(request, at))

    def _send(
        self, request: ReplayRequest, router: _SimRouter, chosen: Chosen, now_ms: float
    ) -> None:
        router.placer.record_sent(request.call, chosen, now_ms)
        router.shares.record_admitted(request.account, request.call.cost_tokens, now_ms)
        request.admitted_ms = now_ms
        engine = self._engines[chosen.server.server]

        def on_event(at_ms: float) -> None:
            if not request.started:
                request.started = True
                request.in_aim = at_ms - request.first_ms <= request.kind.aim_ms
                router.load.record_first_token(chosen.placement)
            elif at_ms - request.last_event_ms > _PAUSE_AIM_MS:
                request.in_aim = False
            request.last_event_ms = at_ms

        def on_end(at_ms: float) -> None:
            request.ended = at_ms - request.first_ms <= request.kind.deadline_ms
            router.load.record_end(chosen.placement)

        run = EngineRun(
            request.call.prompt_tokens,
            request.call.output_tokens,
            request.call.shared_parts,
            on_event,
            on_end,
        )

        def expire(at_ms: float) -> None:
            if not chosen.placement.ended:
                run.cancelled = True
                router.load.record_end(chosen.placement)

        self._at(request.first_ms + request.kind.deadline_ms, expire)
        self._at(now_ms + _SEND_MS, lambda at: self._submit(chosen.server.server, engine, run, at))

    def _submit(self, name: str, engine: EngineEmulator, run: EngineRun, now_ms: float) -> None:
        engine.submit(run)
        if name not in self._stepping:
            self._stepping.add(name)
            self._step(name, engine, now_ms)

    def _step(self, name: str, engine: EngineEmulator, now_ms: float) -> None:
        if engine.is_idle:
            self._stepping.discard(name)
            return
        end_ms = engine.step(now_ms)
        self._at(end_ms, lambda at: self._step(name, engine, at))


def replay_modes(day: ReplayDay, modes: tuple[Mode, ...] = MODES) -> list[ReplayResult]:
    """Return the results of one day in several modes."""
    return [Replay(day, mode).run() for mode in modes]

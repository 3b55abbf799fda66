"""Replays a synthetic load against the placing code in simulated time, without a network.

Measures the requests answered within their latency target, the service of accounts and the
prompt tokens that engines prefill again, for the current placing and for baselines. The
network protocol, connections and faults are not simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import evolve

from cicadaledge.loadtool._replay_day import MODES, EngineCrash, Mode, ReplayDay, RequestClass
from cicadaledge.loadtool._replay_fleet import DirectViewExchange, RelayViewExchange, ViewExchange
from cicadaledge.loadtool._replay_result import ReplayRequest, ReplayResult, measure
from cicadaledge.loadtool._replay_speeds import MachineSpeed, SpeedPattern
from cicadaledge.placing import (
    AccountShares,
    Chosen,
    EngineCapacity,
    FleetLoad,
    LoadTracker,
    Placer,
    Refused,
    ServerHealth,
    ShareUse,
    WaitingQueue,
    WaitingRequest,
    WaitingSettings,
    waiting_group,
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
from cicadaledge.standins import EngineEmulator, EngineRun

_SERVICE = "pool"
_MAX_SIZE_FACTOR = 4.0
# Interval at which a router looks for engines that can take its waiting requests.
_LOOK_INTERVAL_MS = 50.0
# Callers repeat a refused request unless they are asked to wait for more than this fraction of the
# time that is left until the deadline.
_MAX_RETRY_FRACTION = 1 / 3
_ENGINE_LATENCY_MS = 1.0  # A request takes this long from a router to an engine.
_MAX_EVENT_GAP_MS = 500.0  # An answer with a longer gap between events misses the latency target.


class _SimulatedRouter:
    """The parts of one router that admit and place requests."""

    def __init__(
        self, name: str, region: str, day: ReplayDay, mode: Mode, directory: ServerDirectory
    ) -> None:
        self.name = name
        self.fleet = FleetLoad(name)
        members = day.routers if mode.shared_views or mode.split else 1
        self.fleet.set_roles(name, is_relay=True, members=members)
        self.load = LoadTracker(self.fleet)
        self.shares = AccountShares(4_000, self.fleet)
        self.health = ServerHealth()
        self.capacity = EngineCapacity(mode.settings, directory, self.load, self.health)
        self.placer = Placer(
            mode.settings,
            directory,
            self.load,
            self.health,
            lambda zone: zone,
            region,
        )
        self.queue = WaitingQueue(WaitingSettings())
        self.waiting: dict[WaitingRequest, ReplayRequest] = {}


class Replay:
    """Discrete-event simulation of one day in one placing mode."""

    def __init__(self, day: ReplayDay, mode: Mode) -> None:
        self._day = day
        self._mode = mode
        self._random = random.Random(day.seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._request_numbers = itertools.count()
        self._requests: list[ReplayRequest] = []
        figures = evolve(day.engine, slots=day.slots)
        self._figures = figures
        self._speeds = self._machine_speeds()
        self._engines = {name: self._new_engine(name) for name in self._speeds}
        self._down: set[str] = set()
        self._active_engines: set[str] = set()
        self._loss_actions: dict[EngineRun, Callable[[float], None]] = {}
        self._directory = directory = ServerDirectory()
        for index, name in enumerate(self._engines):
            zone = f"region-{index % day.regions}"
            entry = ServerEntry(
                name, _SERVICE, "h", 1, zone, ServerState.READY, day.slots, 0.0, 1, 1
            )
            directory.apply(entry, -60_000.0)
        self._routers = [
            _SimulatedRouter(f"router-{n}", f"region-{n % day.regions}", day, mode, directory)
            for n in range(day.routers)
        ]
        self._service = Service(
            _SERVICE,
            day.cold_per_s,
            Engine(day.slots, figures.memory_tokens),
            shortest_objective_ms=min(kind.latency_target_ms for kind in day.classes),
        )
        self._exchange: ViewExchange = (
            RelayViewExchange(day, self._routers, self._schedule, day.seed)
            if day.zones
            else DirectViewExchange(day, self._routers, self._schedule)
        )
        self._clients = [self._random.choice(self._routers) for _ in range(day.clients)]

    def run(self) -> ReplayResult:
        """Run until the last request has ended; return the measures."""
        for kind in self._day.classes:
            self._schedule(self._random.expovariate(kind.per_s) * 1000, self._arrival_action(kind))
        for crash in self._day.crashes:
            self._schedule(crash.at_ms, self._crash_action(crash))
        if self._mode.shared_views:
            self._exchange.start()
        while self._events:
            now_ms, _, action = heapq.heappop(self._events)
            action(now_ms)
        return measure(self._day, self._mode, self._requests, self._engines.values())

    def _schedule(self, time_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time_ms, next(self._sequence), action))

    def _crash_action(self, crash: EngineCrash) -> Callable[[float], None]:
        names = list(self._engines)[-crash.engines :]

        def go_down(now_ms: float) -> None:
            for name in names:
                self._down.add(name)
                engine = self._engines[name]
                for run in engine.running + engine.waiting:
                    self._loss_actions.pop(run)(now_ms)
            self._schedule(now_ms + crash.down_ms, come_back)

        def come_back(now_ms: float) -> None:
            for name in names:
                entry = self._directory.usable_by_name(_SERVICE)[name]
                self._directory.remove(name, now_ms)
                restarted = f"{name}-restarted"
                self._speeds[restarted] = self._speeds[name]
                self._engines[restarted] = self._new_engine(restarted)
                self._directory.apply(
                    evolve(entry, server=restarted, cold_left_ms=self._day.cold_ms), now_ms
                )

        return go_down

    def _machine_speeds(self) -> dict[str, MachineSpeed]:
        day = self._day
        pattern = day.speeds or SpeedPattern((1.0,))
        end_ms = day.seconds * 1000
        return {
            f"engine-{n}": MachineSpeed(pattern, n, day.seed, end_ms) for n in range(day.engines)
        }

    def _new_engine(self, name: str) -> EngineEmulator:
        return EngineEmulator(self._figures, self._speeds[name].time_factor)

    def _arrival_action(self, kind: RequestClass) -> Callable[[float], None]:
        def arrive(now_ms: float) -> None:
            if now_ms > self._day.seconds * 1000:
                return
            bursts = self._day.bursts
            per_s = kind.per_s * (bursts.rate_factor(now_ms) if bursts else 1.0)
            self._schedule(now_ms + self._random.expovariate(per_s) * 1000, arrive)
            request = self._draw_request(kind, now_ms)
            self._requests.append(request)
            self._attempt(request, now_ms)

        return arrive

    def _draw_request(self, kind: RequestClass, now_ms: float) -> ReplayRequest:
        account = self._draw_account(now_ms)
        subject = self._random.randrange(max(1, kind.subjects // self._day.accounts))
        own = self._draw_size(kind.prompt_tokens, kind.spread)
        output = max(2, self._draw_size(kind.output_tokens, 0.5))
        number = next(self._request_numbers)
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
        size = min(_MAX_SIZE_FACTOR, 0.3 + 0.7 * (prompt + 10 * output) / mean)
        return ReplayRequest(kind, account, call, now_ms, size)

    def _draw_account(self, now_ms: float) -> str:
        third_ms = self._day.seconds * 1000 / 3
        weights = []
        for rank in range(self._day.accounts):
            weight = 1.0 / (rank + 1) ** (self._day.skew / 2)
            is_hot = 0 <= rank - self._day.first_hot_rank < self._day.hot_accounts
            hot = is_hot and third_ms <= now_ms < 2 * third_ms
            weights.append(weight * self._day.hot_factor if hot else weight)
        return f"account-{self._random.choices(range(self._day.accounts), weights)[0]}"

    def _draw_size(self, mean: float, spread: float) -> int:
        drawn = self._random.lognormvariate(-spread * spread / 2, spread)
        return max(1, int(mean * min(drawn, 8.0)))

    def _attempt(self, request: ReplayRequest, now_ms: float) -> None:
        router = self._router_for(request.account)
        request.attempts += 1
        request.call.started_ms = now_ms
        request.call.deadline_ms = request.arrived_ms + request.kind.deadline_ms - now_ms
        router.shares.record_asked(request.account, request.call.cost_tokens, now_ms)
        if self._random.random() < self._share_use(request, router, now_ms).admitted_fraction:
            self._place(request, router, now_ms)
        else:
            self._refuse(request, self._mode.settings.min_retry_ms, now_ms)

    def _router_for(self, account: str) -> _SimulatedRouter:
        if not self._clients:
            weights = self._day.router_weights[: len(self._routers)]
            return self._random.choices(self._routers, weights)[0]
        index = int(account.rpartition("-")[2]) - self._day.first_single_client_rank
        if 0 <= index < self._day.single_client_accounts:
            return self._clients[index]
        return self._random.choice(self._clients[self._day.single_client_accounts :])

    def _place(self, request: ReplayRequest, router: _SimulatedRouter, now_ms: float) -> None:
        use = self._share_use(request, router, now_ms)
        engine = router.placer.bound_engine(request.call, self._service, None, now_ms)
        group = waiting_group(engine, request.account, use)
        refused = Refused("others wait", self._mode.settings.min_retry_ms)
        if not router.queue.has_group(group):
            choice = self._choose(request, router, now_ms)
            if isinstance(choice, Chosen):
                self._send(request, router, choice, now_ms)
                return
            refused = choice
        if not router.queue:
            self._schedule(now_ms + _LOOK_INTERVAL_MS, lambda at: self._look(router, at))
        latest_start_ms = _route(request).answer_due_ms(request.call) - refused.work_ms
        waiting = WaitingRequest(
            group,
            0,
            use.share_multiple > 1.0,
            refused.work_ms,
            now_ms,
            latest_start_ms,
            refused,
            objective_start_ms=self._mode.settings.objective_start_ms(
                _route(request), request.call, refused.work_ms, use.served_fraction
            ),
        )
        router.queue.add(waiting, now_ms)
        router.waiting[waiting] = request
        self._refuse_hopeless(router, now_ms)

    def _look(self, router: _SimulatedRouter, now_ms: float) -> None:
        """Look for engines that can take the waiting requests of a router."""
        self._serve_waiting(router, now_ms)
        if router.queue:
            self._schedule(now_ms + _LOOK_INTERVAL_MS, lambda at: self._look(router, at))

    def _serve_waiting(self, router: _SimulatedRouter, now_ms: float) -> None:
        def place(waiting: WaitingRequest) -> Chosen | Refused:
            request = router.waiting[waiting]
            choice = self._choose(request, router, now_ms)
            if isinstance(choice, Chosen):
                self._send(request, router, choice, now_ms)
            return choice

        for waiting, _ in router.queue.serve(place, now_ms):
            del router.waiting[waiting]
        self._refuse_hopeless(router, now_ms)

    def _refuse_hopeless(self, router: _SimulatedRouter, now_ms: float) -> None:
        for waiting in router.queue.take_hopeless(now_ms):
            request = router.waiting.pop(waiting)
            self._refuse(request, waiting.refused.retry_after_ms, now_ms)

    def _choose(
        self, request: ReplayRequest, router: _SimulatedRouter, now_ms: float
    ) -> Chosen | Refused:
        use = self._share_use(request, router, now_ms)
        route = _route(request)
        return router.placer.choose(
            request.call, route, self._service, None, request.tried_engines, use, now_ms
        )

    def _share_use(
        self, request: ReplayRequest, router: _SimulatedRouter, now_ms: float
    ) -> ShareUse:
        if not self._mode.shares:
            return ShareUse()
        capacity_per_s = router.capacity.admissible_per_s(
            (self._service,), self._day.tokens_per_s, now_ms
        )
        return router.shares.share_use(request.account, capacity_per_s, now_ms)

    def _refuse(self, request: ReplayRequest, retry_after_ms: float, now_ms: float) -> None:
        left_ms = request.arrived_ms + request.kind.deadline_ms - now_ms
        if (
            request.attempts <= self._day.repeats
            and retry_after_ms <= left_ms * _MAX_RETRY_FRACTION
        ):
            self._schedule(now_ms + retry_after_ms, lambda at: self._attempt(request, at))

    def _send(
        self, request: ReplayRequest, router: _SimulatedRouter, chosen: Chosen, now_ms: float
    ) -> None:
        router.placer.record_sent(request.call, chosen, now_ms)
        router.shares.record_admitted(request.account, request.call.cost_tokens, now_ms)
        request.admitted_ms = now_ms
        name = chosen.server.server

        def on_event(at_ms: float) -> None:
            if not request.started:
                request.began_ms = at_ms
                router.load.record_begun(request.call.cost_tokens, at_ms)
                if self._day.learns_speeds:
                    waited_ms = at_ms - now_ms
                    router.load.record_first_token_wait(chosen.placement, waited_ms, at_ms)
                router.health.record_reached(name)
                request.first_event_ms = at_ms - request.arrived_ms
                request.within_target = at_ms - request.arrived_ms <= request.kind.latency_target_ms
                router.load.record_first_token(chosen.placement)
                if self._day.speeds is not None:
                    self._record_speed(router, chosen, at_ms - now_ms, at_ms)
            elif at_ms - request.last_event_ms > _MAX_EVENT_GAP_MS:
                request.within_target = False
            request.last_event_ms = at_ms

        def on_end(at_ms: float) -> None:
            del self._loss_actions[run]
            request.met_deadline = at_ms - request.arrived_ms <= request.kind.deadline_ms
            router.load.record_end(chosen.placement)
            self._serve_waiting(router, at_ms)

        run = EngineRun(
            request.call.prompt_tokens,
            request.call.output_tokens,
            request.call.shared_parts,
            on_event,
            on_end,
        )

        def lose(at_ms: float) -> None:
            run.cancelled = True
            router.load.record_end(chosen.placement)

        def leave(at_ms: float) -> None:
            if not chosen.placement.ended:
                run.cancelled = True
                router.load.record_end(chosen.placement)

        def leave_if_silent(at_ms: float) -> None:
            if not request.started:
                leave(at_ms)

        self._schedule(_route(request).answer_due_ms(request.call), leave_if_silent)
        self._schedule(request.arrived_ms + request.kind.deadline_ms, leave)

        def connect(at_ms: float) -> None:
            if name not in self._down:
                self._loss_actions[run] = lose
                self._submit(name, run, at_ms)
                return
            router.load.record_end(chosen.placement)
            router.health.record_unreachable(name, at_ms)
            request.tried_engines.add(name)
            self._place(request, router, at_ms)

        self._schedule(now_ms + _ENGINE_LATENCY_MS, connect)

    def _record_speed(
        self, router: _SimulatedRouter, chosen: Chosen, waited_ms: float, now_ms: float
    ) -> None:
        """Record what an answer that begins now shows about its engine's speed."""
        router.load.record_first_token_wait(chosen.placement, waited_ms, now_ms)
        if self._mode.reports:
            name = chosen.server.server
            factor = self._speeds[name].time_factor(now_ms)
            router.load.speed_reports.record(name, factor, now_ms)

    def _submit(self, name: str, run: EngineRun, now_ms: float) -> None:
        engine = self._engines[name]
        engine.submit(run)
        if name not in self._active_engines:
            self._active_engines.add(name)
            self._run_step(name, engine, now_ms)

    def _run_step(self, name: str, engine: EngineEmulator, now_ms: float) -> None:
        if engine.is_idle or name in self._down:
            self._active_engines.discard(name)
            return
        end_ms = engine.step(now_ms)
        self._schedule(end_ms, lambda at: self._run_step(name, engine, at))


def _route(request: ReplayRequest) -> Route:
    kind = request.kind
    return Route(
        kind.name, "h", "/", RouteKind.STREAM, kind.deadline_ms, kind.latency_target_ms, 1,
        (ServiceWeight(_SERVICE, 1),), max_gap_ms=_MAX_EVENT_GAP_MS,
    )  # fmt: skip


def replay_modes(day: ReplayDay, modes: tuple[Mode, ...] = MODES) -> list[ReplayResult]:
    """Replay one day in several modes and return the results."""
    return [Replay(day, mode).run() for mode in modes]

"""Replays a heavy day against the placing code in simulated time, without a network.

Says how many requests are in aim, what accounts get and how much is read again, for the placing
in force and for ways to compare it with. Frames, connections and faults are not played.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from cicadaledge.placing import (
    AccountShares,
    Chosen,
    FleetLoad,
    LoadBook,
    Placer,
    PlacingSettings,
    ServerHealth,
    ShareUse,
    fair_level,
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
from cicadaledge.standins import EngineEmulator, EngineFigures, EngineRun
from cicadaledge.wire import LoadView, ViewScope

_SERVICE = "pool"
_MOST_SIZE_WORTH = 4.0
_HOLD_PART = 0.11
_HOLD_STEP_MS = 15.0
_RETRY_PART = 1 / 3
_SEND_MS = 1.0  # from a router to an engine
_NO_LIMIT_TOKENS = 100_000
_PAUSE_AIM_MS = 500.0
_SPARED_REQUESTS = 3  # the largest ones, which may find no room by chance
_EVEN_SPAN_S = 6  # seconds in which an account must not get less than half of the others
_WINDOW_MS = 4_000.0  # windows in which an account is owed its max-min share


@frozen
class RequestClass:
    """Requests of one kind.

    Args:
        prompt_tokens: Mean of the own part of a prompt; sizes are log-normal.
        subjects: How many shared parts there are; each belongs to one account.
    """

    name: str
    per_s: float
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    shared_tokens: int
    subjects: int
    prompt_tokens: int
    spread: float
    output_tokens: int


@frozen
class ReplayDay:
    """A day's load and the deployment that it meets.

    Args:
        skew: Exponent of the accounts' sizes.
        hot_accounts: Accounts that send `hot_factor` times their usual in the middle third.
        uneven: Weights of the routers, as connections come unevenly.
    """

    classes: tuple[RequestClass, ...]
    seconds: float = 24.0
    routers: int = 9
    engines: int = 9
    regions: int = 3
    accounts: int = 16
    skew: float = 1.8
    hot_accounts: int = 3
    hot_factor: float = 5.0
    uneven: tuple[float, ...] = (3.0, 1.0, 1.0, 2.0, 0.5, 0.5, 1.0, 0.3, 0.7)
    tokens_per_s: float = 225_000.0
    view_ms: float = 50.0
    view_delay_ms: float = 80.0
    seed: int = 1


HEAVY_DAY = ReplayDay(
    (
        RequestClass("draft", 40, 1000, 15_000, 4.7, 1.4, 5382, 170, 6610, 1.0, 384),
        RequestClass("chat", 52, 600, 12_000, 1.5, 0.45, 198, 332, 628, 0.8, 294),
        RequestClass("sort", 56, 600, 3_000, 0.47, 0.14, 568, 240, 1800, 1.0, 24),
    )
)


@frozen
class Mode:
    """A way of placing.

    Args:
        shared_views: Whether routers hear each other.
        split: Whether each router takes the others to place as much as itself.
        shares: Whether accounts beyond their share are held back.
    """

    name: str
    settings: PlacingSettings = field(factory=PlacingSettings)
    shared_views: bool = True
    split: bool = False
    shares: bool = True


MODES = (
    Mode("placed"),
    Mode("static_split", shared_views=False, split=True),
    Mode("uncoordinated", shared_views=False),
    Mode("least_loaded", PlacingSettings(affine_tokens=_NO_LIMIT_TOKENS)),
    Mode("no_shares", shares=False),
)


@define
class _Request:
    kind: RequestClass
    account: str
    call: Call
    first_ms: float
    size_worth: float
    tries: int = 0
    admitted_ms: float | None = None
    started: bool = False
    last_event_ms: float = 0.0
    in_aim: bool = True
    ended: bool = False


@define
class _Sum:
    """Worth earned and owed."""

    earned: float = 0.0
    owed: float = 0.0

    @property
    def part(self) -> float:
        return self.earned / self.owed if self.owed else 1.0

    def add(self, earned: float, owed: float) -> None:
        self.earned += earned
        self.owed += owed

    def limit(self, owed_part: float) -> None:
        """Owe only a part; what is earned beyond it does not count."""
        self.owed *= owed_part
        self.earned = min(self.earned, self.owed)


@frozen
class ReplayResult:
    """What callers got.

    Args:
        worth: Worth earned over worth owed.
        worst_tenth: The same for the worst tenth of accounts, two at least.
        in_aim: Part of the requests answered in aim.
        evenness: Least of what an account got that had a request refused or late in each
            second of a span, over what it asked or the best served one got, whichever is less.
        read_again: Tokens of shared parts read again over all tokens read.
        by_class: Worth earned over worth asked for, beyond shares too.
    """

    mode: str
    worth: float
    worst_tenth: float
    in_aim: float
    late: float
    refused: float
    read_again: float
    evenness: float
    by_class: dict[str, float]

    def row(self) -> str:
        """Return a line of the table."""
        classes = " ".join(f"{name} {value:.2f}" for name, value in self.by_class.items())
        return (
            f"{self.mode:14} {self.worth:6.3f} {self.worst_tenth:8.3f} {self.in_aim:7.3f} "
            f"{self.late:6.3f} {self.refused:8.3f} {self.read_again:11.3f} {self.evenness:8.2f}  {classes}"
        )


REPLAY_HEADER = f"{'mode':14} {'worth':>6} {'accounts':>8} {'in aim':>7} {'late':>6} {'refused':>8} {'read again':>11} {'evenness':>8}"


class _SimRouter:
    """The decision parts of one router."""

    def __init__(
        self, name: str, region: str, day: ReplayDay, mode: Mode, directory: ServerDirectory
    ) -> None:
        self.name = name
        self.fleet = FleetLoad()
        members = day.routers if mode.shared_views or mode.split else 1
        self.fleet.set_roles(name, is_relay=True, members=members)
        self.load = LoadBook(self.fleet)
        self.shares = AccountShares(4_000, self.fleet)
        self.placer = Placer(
            mode.settings,
            directory,
            self.load,
            self.shares,
            ServerHealth(),
            lambda zone: zone,
            region,
        )

    def view(self, now_ms: float) -> LoadView:
        """Return what this router tells the others."""
        return LoadView(
            int(now_ms),
            int(ViewScope.SENDER),
            1,
            False,
            self.load.own_uses(now_ms),
            self.shares.own_uses(now_ms),
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
        self._requests: list[_Request] = []
        self._engines = {f"engine-{n}": EngineEmulator(EngineFigures()) for n in range(day.engines)}
        self._stepping: set[str] = set()
        directory = ServerDirectory()
        for place, name in enumerate(self._engines):
            zone = f"region-{place % day.regions}"
            entry = ServerEntry(name, _SERVICE, "h", 1, zone, ServerState.READY, 64, 0.0, 1, 1)
            directory.apply(entry, -60_000.0)
        self._routers = [
            _SimRouter(f"router-{n}", f"region-{n % day.regions}", day, mode, directory)
            for n in range(day.routers)
        ]
        self._service = Service(_SERVICE, engine=Engine(64, EngineFigures().memory_tokens))

    def run(self) -> ReplayResult:
        """Play the day and its end; return what callers got."""
        for kind in self._day.classes:
            self._at(self._chance.expovariate(kind.per_s) * 1000, self._arrival(kind))
        if self._mode.shared_views:
            self._at(0.0, self._exchange_views)
        while self._heap:
            now_ms, _, action = heapq.heappop(self._heap)
            action(now_ms)
        return self._result()

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

    def _new_request(self, kind: RequestClass, now_ms: float) -> _Request:
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
        return _Request(kind, account, call, now_ms, size)

    def _account(self, now_ms: float) -> str:
        third_ms = self._day.seconds * 1000 / 3
        weights = []
        for place in range(self._day.accounts):
            weight = 1.0 / (place + 1) ** (self._day.skew / 2)
            hot = place < self._day.hot_accounts and third_ms <= now_ms < 2 * third_ms
            weights.append(weight * self._day.hot_factor if hot else weight)
        return f"account-{self._chance.choices(range(self._day.accounts), weights)[0]}"

    def _size(self, mean: float, spread: float) -> int:
        drawn = self._chance.lognormvariate(-spread * spread / 2, spread)
        return max(1, int(mean * min(drawn, 8.0)))

    def _try(self, request: _Request, now_ms: float) -> None:
        router = self._chance.choices(self._routers, self._day.uneven[: len(self._routers)])[0]
        request.tries += 1
        request.call.started_ms = now_ms
        router.shares.note_asked(request.account, request.call.cost_tokens, now_ms)
        self._place(request, router, now_ms)

    def _place(self, request: _Request, router: _SimRouter, now_ms: float) -> None:
        kind = request.kind
        route = Route(
            kind.name, "h", "/", RouteKind.STREAM, kind.deadline_ms, kind.aim_ms, 1,
            (ServiceWeight(_SERVICE, 1),),
        )  # fmt: skip
        use = ShareUse()
        if self._mode.shares:
            use = router.shares.use(request.account, self._day.tokens_per_s, now_ms)
        choice = router.placer.choose(request.call, route, self._service, None, set(), use, now_ms)
        if isinstance(choice, Chosen):
            self._send(request, router, choice, now_ms)
        elif now_ms + _HOLD_STEP_MS <= request.call.started_ms + kind.aim_ms * _HOLD_PART:
            self._at(now_ms + _HOLD_STEP_MS, lambda at: self._place(request, router, at))
        else:
            self._refuse(request, choice.retry_after_ms, now_ms)

    def _refuse(self, request: _Request, retry_after_ms: float, now_ms: float) -> None:
        left_ms = request.first_ms + request.kind.deadline_ms - now_ms
        if request.tries == 1 and retry_after_ms <= left_ms * _RETRY_PART:
            self._at(now_ms + retry_after_ms, lambda at: self._try(request, at))

    def _send(self, request: _Request, router: _SimRouter, chosen: Chosen, now_ms: float) -> None:
        router.placer.note_sent(request.call, chosen, now_ms)
        router.shares.note_admitted(request.account, request.call.cost_tokens, now_ms)
        request.admitted_ms = now_ms
        engine = self._engines[chosen.server.server]

        def on_event(at_ms: float) -> None:
            if not request.started:
                request.started = True
                request.in_aim = at_ms - request.first_ms <= request.kind.aim_ms
                router.load.first_token(chosen.placement)
            elif at_ms - request.last_event_ms > _PAUSE_AIM_MS:
                request.in_aim = False
            request.last_event_ms = at_ms

        def on_end(at_ms: float) -> None:
            request.ended = at_ms - request.first_ms <= request.kind.deadline_ms
            router.load.end(chosen.placement)

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
                router.load.end(chosen.placement)

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

    def _exchange_views(self, now_ms: float) -> None:
        if now_ms > self._day.seconds * 1000 + 5_000:
            return
        views = [(router.name, router.view(now_ms)) for router in self._routers]

        def deliver(at_ms: float) -> None:
            for router in self._routers:
                for name, view in views:
                    if name != router.name:
                        router.fleet.take(name, view, at_ms)

        self._at(now_ms + self._day.view_delay_ms, deliver)
        self._at(now_ms + self._day.view_ms, self._exchange_views)

    def _result(self) -> ReplayResult:
        by_account: dict[str, _Sum] = {}
        by_class: dict[str, _Sum] = {}
        for (account, _), window in self._windows().items():
            by_account.setdefault(account, _Sum()).add(window.earned, window.owed)
        for request in self._requests:
            total = by_class.setdefault(request.kind.name, _Sum())
            total.add(self._earned(request), request.kind.worth * request.size_worth)
        worst = sorted(one.part for one in by_account.values() if one.owed)
        tenth = max(2, len(worst) // 10)
        count = len(self._requests)
        answered = [one for one in self._requests if one.ended]
        engines = self._engines.values()
        return ReplayResult(
            mode=self._mode.name,
            worth=sum(one.earned for one in by_account.values())
            / sum(one.owed for one in by_account.values()),
            worst_tenth=sum(worst[:tenth]) / tenth,
            in_aim=sum(one.in_aim for one in answered) / count,
            late=sum(not one.in_aim for one in answered) / count,
            refused=sum(one.admitted_ms is None for one in self._requests) / count,
            read_again=sum(one.read_again_tokens for one in engines)
            / max(1, sum(one.read_tokens for one in engines)),
            evenness=self._evenness(),
            by_class={name: one.part for name, one in by_class.items()},
        )

    def _evenness(self) -> float:
        """Return how evenly accounts were served that waited all through a span."""
        seconds = int(self._day.seconds)
        asked = [dict.fromkeys(self._accounts(), 0.0) for _ in range(seconds)]
        got = [dict.fromkeys(self._accounts(), 0.0) for _ in range(seconds)]
        waited: list[set[str]] = [set() for _ in range(seconds)]
        sizes: dict[tuple[str, int], list[int]] = {}
        for request in self._requests:
            second = min(int(request.first_ms / 1000), seconds - 1)
            asked[second][request.account] += request.call.cost_tokens
            for begin in range(second - _EVEN_SPAN_S + 1, second + 1):
                sizes.setdefault((request.account, begin), []).append(request.call.cost_tokens)
            if request.admitted_ms is not None:
                got[second][request.account] += request.call.cost_tokens
            if request.admitted_ms is None or not request.in_aim:
                waited[second].add(request.account)
        least = 1.0
        for begin in range(seconds - _EVEN_SPAN_S + 1):
            span = slice(begin, begin + _EVEN_SPAN_S)
            for account in set.intersection(*waited[span]):
                spared = sum(sorted(sizes[account, begin])[-_SPARED_REQUESTS:])
                least = min(least, _part_got(account, asked[span], got[span], spared))
        return least

    def _accounts(self) -> list[str]:
        return [f"account-{number}" for number in range(self._day.accounts)]

    def _windows(self) -> dict[tuple[str, int], _Sum]:
        """Return what each account earned and was owed in each window.

        What an account asks beyond its max-min share of the engines' tokens is not owed.
        """
        tokens: dict[int, dict[str, float]] = {}
        sums: dict[tuple[str, int], _Sum] = {}
        for request in self._requests:
            window = int(request.first_ms // _WINDOW_MS)
            asked = tokens.setdefault(window, {})
            asked[request.account] = asked.get(request.account, 0.0) + request.call.cost_tokens
            total = sums.setdefault((request.account, window), _Sum())
            total.add(self._earned(request), request.kind.worth * request.size_worth)
        produced = self._day.tokens_per_s * _WINDOW_MS / 1000
        for (account, window), total in sums.items():
            share = fair_level(tokens[window].values(), produced)
            total.limit(min(1.0, share / tokens[window][account]))
        return sums

    @staticmethod
    def _earned(request: _Request) -> float:
        if not request.ended:
            return 0.0
        worth = request.kind.worth if request.in_aim else request.kind.late_worth
        return worth * request.size_worth


def _part_got(
    account: str,
    asked: list[dict[str, float]],
    got: list[dict[str, float]],
    spared_tokens: int,
) -> float:
    """Return what an account got over what it could expect, second by second."""
    expected = sum(
        min(asked_then[account], max(got_then.values()))
        for asked_then, got_then in zip(asked, got, strict=True)
    )
    expected -= spared_tokens
    return sum(one[account] for one in got) / expected if expected > 0 else 1.0


def replay_modes(day: ReplayDay, modes: tuple[Mode, ...] = MODES) -> list[ReplayResult]:
    """Return the results of one day in several modes."""
    return [Replay(day, mode).run() for mode in modes]


def scaled(day: ReplayDay, factor: float) -> ReplayDay:
    """Return a day with *factor* times the requests."""
    return evolve(day, classes=tuple(evolve(one, per_s=one.per_s * factor) for one in day.classes))

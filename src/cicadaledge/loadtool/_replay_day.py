"""Synthetic loads (days) and placing modes for replays."""

from __future__ import annotations

from attrs import evolve, field, frozen

from cicadaledge.loadtool._replay_speeds import SpeedPattern
from cicadaledge.placing import PlacingSettings
from cicadaledge.standins import EngineParameters

_AFFINITY_OFF_TOKENS = 100_000


@frozen
class RequestClass:
    """Load of one kind of request.

    Args:
        latency_target_ms: Target for the time to the first event.
        worth: Value of an answer of mean size within the latency target.
        late_worth: Value of an answer after the target but before the deadline.
        shared_tokens: Length of the prompt prefix that requests share.
        subjects: Number of distinct shared prefixes; each belongs to one account.
        prompt_tokens: Mean length of the unshared part of a prompt; lengths are log-normal.
        spread: Standard deviation of the logarithm of prompt lengths.
    """

    name: str
    per_s: float
    latency_target_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    shared_tokens: int
    subjects: int
    prompt_tokens: int
    spread: float
    output_tokens: int


@frozen
class EngineCrash:
    """Engines that crash at the same moment and come back.

    Args:
        at_ms: Time of the crash.
        engines: Number of engines; those with the highest numbers crash.
        down_ms: Time until new ones replace them, with empty caches.
    """

    at_ms: float
    engines: int
    down_ms: float


@frozen
class Bursts:
    """Repeated bursts of all requests.

    Args:
        every_ms: Time from the start of a burst to that of the next.
        length_ms: Length of a burst; each starts at the end of its interval.
        factor: Factor of the request rate.
    """

    every_ms: float
    length_ms: float
    factor: float

    def rate_factor(self, now_ms: float) -> float:
        """Return the factor at a time."""
        return self.factor if now_ms % self.every_ms >= self.every_ms - self.length_ms else 1.0


@frozen
class ReplayDay:
    """A load and the deployment that serves it.

    Args:
        skew: Twice the exponent of the power law of request rates over accounts.
        hot_accounts: Number of accounts that send `hot_factor` times their usual rate in the
            middle third.
        first_hot_rank: Rank by size of the largest such account.
        router_weights: Relative request rates of the routers; callers connect unevenly.
        tokens_per_s: Token capacity of the engines that accounts share.
        slots: Concurrent requests of an engine.
        engine: Other figures of an engine.
        learns_speeds: Whether routers learn the engines' speed from the times to first tokens.
        repeats: How often callers repeat a request that is refused.
        bursts: Repeated bursts of all requests.
        rates_every_views: Interval, in views, at which a view includes the rates of accounts.
        view_interval_ms: Interval of load views between routers.
        view_delay_ms: Latency of a load view between routers, without relays.
        zones: Number of zones, whose relays forward views; 0 sends views directly between all
            routers.
        clients: Callers, each connected to one router; 0 draws a router for each request by
            `router_weights`.
        single_client_accounts: Number of accounts that have a single caller each.
        first_single_client_rank: Rank by size of the largest of these.
        crashes: Crashes of engines.
        cold_per_s: Requests per second that a cold engine can serve; 0 if none is ever cold.
        cold_ms: Time for which an engine is cold after its start.
        speeds: How the speeds of the engines differ and change; None if all are alike.
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
    first_hot_rank: int = 0
    router_weights: tuple[float, ...] = (3.0, 1.0, 1.0, 2.0, 0.5, 0.5, 1.0, 0.3, 0.7)
    tokens_per_s: float = 225_000.0
    slots: int = 64
    engine: EngineParameters = EngineParameters()
    bursts: Bursts | None = None
    learns_speeds: bool = False
    repeats: int = 1
    rates_every_views: int = 3
    view_interval_ms: float = 50.0
    view_delay_ms: float = 80.0
    seed: int = 1
    zones: int = 0
    clients: int = 0
    single_client_accounts: int = 0
    first_single_client_rank: int = 0
    crashes: tuple[EngineCrash, ...] = ()
    cold_per_s: float = 0.0
    cold_ms: float = 3_000.0
    speeds: SpeedPattern | None = None


def scaled(day: ReplayDay, factor: float) -> ReplayDay:
    """Return a day with the request rates multiplied by *factor*."""
    return evolve(day, classes=tuple(evolve(one, per_s=one.per_s * factor) for one in day.classes))


HEAVY_DAY = ReplayDay(
    (
        RequestClass("draft", 40, 1000, 15_000, 4.7, 1.4, 5382, 170, 6610, 1.0, 384),
        RequestClass("chat", 52, 600, 12_000, 1.5, 0.45, 198, 332, 628, 0.8, 294),
        RequestClass("sort", 56, 600, 3_000, 0.47, 0.14, 568, 240, 1800, 1.0, 24),
    )
)

# Twelve engines serve this load. A small account floods them while two large accounts already send
# more than can be served.
FLOODED_DAY = ReplayDay(
    (
        RequestClass("rewrite", 40, 1000, 12_000, 3.7, 1.1, 5382, 200, 6610, 1.0, 384),
        RequestClass("chat", 25, 600, 12_000, 2.2, 0.67, 198, 120, 628, 0.8, 294),
        RequestClass("label", 70, 600, 3_000, 0.31, 0.093, 568, 350, 1800, 1.0, 24),
    ),
    engines=12,
    accounts=12,
    skew=2.0,
    hot_accounts=1,
    first_hot_rank=8,
    hot_factor=150.0,
    slots=12,
    view_interval_ms=100.0,
)

# A fleet of 195 routers serves this load. Some routers have no callers, and each of the largest
# accounts is connected to a single router.
LARGE_DAY = ReplayDay(
    (
        RequestClass("draft", 145, 1000, 15_000, 4.0, 1.2, 5382, 700, 6610, 1.0, 384),
        RequestClass("chat", 123, 600, 12_000, 1.8, 0.55, 198, 900, 628, 0.8, 294),
        RequestClass("sort", 224, 600, 3_000, 0.37, 0.11, 568, 1000, 1800, 1.0, 24),
    ),
    seconds=18.0,
    routers=195,
    engines=39,
    accounts=60,
    hot_accounts=1,
    hot_factor=7.5,
    first_hot_rank=2,
    tokens_per_s=900_000.0,
    slots=24,
    zones=6,
    clients=270,
    single_client_accounts=6,
    rates_every_views=1,
)

# All accounts together send twice what the engines of the large day can do. The largest account has
# callers at almost all routers; the next ones are connected to a single router each. A quarter of
# the engines crashes while all are full.
OVERLOADED_DAY = evolve(
    scaled(LARGE_DAY, 1.25),
    hot_accounts=12,
    hot_factor=2.5,
    first_hot_rank=0,
    first_single_client_rank=1,
    crashes=(EngineCrash(9_000.0, 10, 2_000.0),),
    cold_per_s=8.9,
)

# All drafts of an account share one prefix, and the engine that caches it is full. Other engines
# have free slots.
_DRAFT, _CHAT, _SORT = LARGE_DAY.classes
BOUND_PREFIX_DAY = evolve(
    OVERLOADED_DAY,
    classes=(evolve(_DRAFT, subjects=LARGE_DAY.accounts), _CHAT, _SORT),
    crashes=(),
)

# The engines' machines are shared: two thirds of them take 0.7 and one third 1.7 of the usual time,
# and each takes 2.5 times as long in spells. This is a third of a fleet of 45 engines.
SHARED_MACHINES_DAY = ReplayDay(
    (
        RequestClass("long", 50, 1000, 12_000, 4.0, 1.2, 5382, 240, 6610, 0.5, 378),
        RequestClass("question", 72, 1200, 10_000, 1.5, 0.45, 198, 300, 628, 0.5, 288),
        RequestClass("summary", 76, 2000, 3_000, 0.4, 0.12, 568, 300, 1800, 0.5, 27),
    ),
    seconds=15.0,
    routers=21,
    engines=15,
    accounts=30,
    hot_accounts=0,
    router_weights=tuple(1.0 + number % 5 for number in range(21)),
    tokens_per_s=900_000.0,
    slots=32,
    zones=3,
    view_interval_ms=83.0,
    rates_every_views=1,
    speeds=SpeedPattern((0.7, 0.7, 1.7), 2.5, 0.15),
)

# Two fifths of a deployment of 63 routers, 45 engines and 30 accounts, with the request kinds of its
# callers, who repeat what is refused. They ask for over twice what the engines can begin, engines
# differ in speed, and a quarter of them is lost for two seconds. The configured capacity is a tenth
# of the real one, so that the estimate decides.
THROTTLED_DAY = scaled(
    ReplayDay(
        (
            RequestClass("long", 60.4, 1000, 12_000, 3.7, 1.1, 5382, 120, 6610, 1.0, 378),
            RequestClass("question", 86.0, 1200, 10_000, 1.5, 0.45, 198, 120, 628, 0.8, 288),
            RequestClass("summary", 91.2, 2000, 3_000, 0.47, 0.14, 568, 120, 1800, 1.0, 27),
        ),
        seconds=12.0,
        routers=24,
        engines=18,
        accounts=12,
        skew=1.6,
        hot_accounts=3,
        hot_factor=2.5,
        tokens_per_s=100_000.0,
        clients=30,
        single_client_accounts=5,
        repeats=20,
        learns_speeds=True,
        speeds=SpeedPattern((0.7, 1.0, 0.85, 1.7, 1.0, 1.2), 2.5, 0.15),
        slots=32,
        engine=EngineParameters(
            memory_tokens=473_994,
            step_ms=2.89,
            prefill_tokens_per_ms=55.0,
            tokens_per_event=9,
            chunk_tokens=2_048,
        ),
        view_interval_ms=83.0,
        zones=3,
        rates_every_views=1,
        crashes=(EngineCrash(6_000.0, 5, 2_000.0),),
        cold_per_s=8.9,
    ),
    2.0,
)


@frozen
class Mode:
    """A placing mode: the current placing or a baseline.

    Args:
        shared_views: Whether routers exchange load views.
        split: Whether each router assumes that every other router places as much as itself.
        shares: Whether accounts that exceed their share are throttled.
        reports: Whether engines report their speed with their answers.
    """

    name: str
    settings: PlacingSettings = field(factory=PlacingSettings)
    shared_views: bool = True
    split: bool = False
    shares: bool = True
    reports: bool = True


MODES = (
    Mode("placed"),
    Mode("static_split", shared_views=False, split=True),
    Mode("uncoordinated", shared_views=False),
    Mode("least_loaded", PlacingSettings(affinity_min_tokens=_AFFINITY_OFF_TOKENS)),
    Mode("no_shares", shares=False),
)

"""Measures of a replay, by callers and by accounts.

Worth is the value that callers assign to an answer. A request earns its full worth within the
latency target, less until the deadline, and none later.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

from cicadaledge.loadtool._replay_day import Mode, ReplayDay, RequestClass
from cicadaledge.placing import max_min_share
from cicadaledge.routing import Call
from cicadaledge.standins import EngineEmulator

# This many of the largest requests of an account are excluded from the evenness of each span,
# because they may find no free capacity by chance.
_EXCLUDED_REQUESTS = 3
# Over each span of this length, no account should get less than half of what others get.
_EVENNESS_SPAN_S = 6
# In each window of this length, an account is entitled to its max-min share of the engines' tokens.
_SHARE_WINDOW_MS = 4_000.0


@define
class ReplayRequest:
    """One request of a replay and its outcome.

    Args:
        tried_engines: Engines that it could not reach.
        admitted_ms: When it was first sent to an engine.
        began_ms: When its first event was produced.
        first_event_ms: Time from its arrival to that event.
    """

    kind: RequestClass
    account: str
    call: Call
    arrived_ms: float
    size_factor: float
    attempts: int = 0
    tried_engines: set[str] = field(factory=set)
    admitted_ms: float | None = None
    began_ms: float | None = None
    first_event_ms: float = 0.0
    last_event_ms: float = 0.0
    within_target: bool = True
    met_deadline: bool = False

    @property
    def started(self) -> bool:
        """Whether an engine has begun to answer."""
        return self.began_ms is not None

    @property
    def earned(self) -> float:
        """Worth of the answer as it was delivered."""
        if not self.met_deadline:
            return 0.0
        worth = self.kind.worth if self.within_target else self.kind.late_worth
        return worth * self.size_factor

    @property
    def owed(self) -> float:
        """Worth of an answer within the latency target."""
        return self.kind.worth * self.size_factor


@define
class _WorthTotal:
    """Sum of worth earned and owed."""

    earned: float = 0.0
    owed: float = 0.0

    @property
    def ratio(self) -> float:
        return self.earned / self.owed if self.owed else 1.0

    def add(self, earned: float, owed: float) -> None:
        self.earned += earned
        self.owed += owed

    def limit(self, fraction: float) -> None:
        """Reduce what is owed to a fraction and cap what was earned at it."""
        self.owed *= fraction
        self.earned = min(self.earned, self.owed)


@frozen
class ReplayResult:
    """Measures of one replay.

    Args:
        worth: Worth earned over worth owed.
        worst_tenth: The same for the worst served tenth of accounts, at least two.
        within_target: Fraction of requests answered within the latency target.
        late: Fraction answered after the latency target but before the deadline.
        refused: Fraction never admitted.
        read_again: Tokens of shared prefixes prefilled again over all tokens prefilled.
        evenness: Minimum, over spans and accounts with a refused or late request in each
            second of the span, of the tokens whose answers began over the tokens that the account
            could expect: in each second the lesser of its demand and the most any account got. The
            largest requests of the account are excluded.
        by_class: Worth earned over the worth of all requests, by request class; not limited
            to shares.
        begun_in_time: Fraction of requests answered with the first event within the latency target,
            whatever the gaps between events, by request class.
        begun_per_s: Cost in tokens of the requests whose answers engines began during the day, per
            second.
        abandoned: Fraction of the requests sent to engines whose callers left before the answer
            began.
    """

    mode: str
    worth: float
    worst_tenth: float
    within_target: float
    late: float
    refused: float
    read_again: float
    evenness: float
    by_class: dict[str, float]
    begun_in_time: dict[str, float]
    begun_per_s: float
    abandoned: float

    def row(self) -> str:
        """Return a line of the table."""
        classes = " ".join(f"{name} {value:.2f}" for name, value in self.by_class.items())
        return (
            f"{self.mode:14} {self.worth:6.3f} {self.worst_tenth:8.3f} {self.within_target:7.3f} "
            f"{self.late:6.3f} {self.refused:8.3f} {self.read_again:11.3f} {self.evenness:8.2f} "
            f"{self.begun_per_s:9.0f} {self.abandoned:9.3f}  {classes}"
        )


REPLAY_HEADER = f"{'mode':14} {'worth':>6} {'accounts':>8} {'in aim':>7} {'late':>6} {'refused':>8} {'read again':>11} {'evenness':>8} {'begun/s':>9} {'abandoned':>9}"


def measure(
    day: ReplayDay, mode: Mode, requests: list[ReplayRequest], engines: Iterable[EngineEmulator]
) -> ReplayResult:
    """Compute the measures of a replay."""
    by_account: dict[str, _WorthTotal] = {}
    by_class: dict[str, _WorthTotal] = {}
    for (account, _), window in _worth_by_window(day, requests).items():
        by_account.setdefault(account, _WorthTotal()).add(window.earned, window.owed)
    for request in requests:
        total = by_class.setdefault(request.kind.name, _WorthTotal())
        total.add(request.earned, request.owed)
    worst = sorted(one.ratio for one in by_account.values() if one.owed)
    tenth = max(2, len(worst) // 10)
    count = len(requests)
    answered = [one for one in requests if one.met_deadline]
    admitted = [one for one in requests if one.admitted_ms is not None]
    used = list(engines)
    return ReplayResult(
        mode=mode.name,
        worth=sum(one.earned for one in by_account.values())
        / sum(one.owed for one in by_account.values()),
        worst_tenth=sum(worst[:tenth]) / tenth,
        within_target=sum(one.within_target for one in answered) / count,
        late=sum(not one.within_target for one in answered) / count,
        refused=sum(one.admitted_ms is None for one in requests) / count,
        read_again=sum(one.recomputed_tokens for one in used)
        / max(1, sum(one.prefilled_tokens for one in used)),
        evenness=_evenness(day, requests),
        by_class={name: one.ratio for name, one in by_class.items()},
        begun_in_time=_begun_in_time(requests),
        begun_per_s=_begun_tokens(day, requests) / day.seconds,
        abandoned=sum(not one.started for one in admitted) / max(1, len(admitted)),
    )


def _begun_tokens(day: ReplayDay, requests: list[ReplayRequest]) -> int:
    """Return the cost of the requests begun during the day, without those begun after its end."""
    end_ms = day.seconds * 1000
    return sum(
        one.call.cost_tokens
        for one in requests
        if one.began_ms is not None and one.began_ms <= end_ms
    )


def _begun_in_time(requests: list[ReplayRequest]) -> dict[str, float]:
    by_class: dict[str, list[bool]] = {}
    for request in requests:
        in_time = request.first_event_ms <= request.kind.latency_target_ms
        in_time = in_time and request.met_deadline
        by_class.setdefault(request.kind.name, []).append(in_time)
    return {name: sum(in_time) / len(in_time) for name, in_time in by_class.items()}


def _evenness(day: ReplayDay, requests: list[ReplayRequest]) -> float:
    """Return the lowest service of an account that was short of service throughout a span."""
    seconds = int(day.seconds)
    accounts = [f"account-{number}" for number in range(day.accounts)]
    asked = [dict.fromkeys(accounts, 0.0) for _ in range(seconds)]
    got = [dict.fromkeys(accounts, 0.0) for _ in range(seconds)]
    underserved: list[set[str]] = [set() for _ in range(seconds)]
    sizes: dict[tuple[str, int], list[int]] = {}
    for request in requests:
        second = _second(request.arrived_ms, seconds)
        asked[second][request.account] += request.call.cost_tokens
        for begin in range(second - _EVENNESS_SPAN_S + 1, second + 1):
            sizes.setdefault((request.account, begin), []).append(request.call.cost_tokens)
        if request.began_ms is not None:
            began = _second(request.began_ms, seconds)
            got[began][request.account] += request.call.cost_tokens
        if request.began_ms is None or not request.within_target:
            underserved[second].add(request.account)
    least = 1.0
    for begin in range(seconds - _EVENNESS_SPAN_S + 1):
        span = slice(begin, begin + _EVENNESS_SPAN_S)
        for account in set.intersection(*underserved[span]):
            excluded = sum(sorted(sizes[account, begin])[-_EXCLUDED_REQUESTS:])
            least = min(least, _fraction_got(account, asked[span], got[span], excluded))
    return least


def _second(time_ms: float, seconds: int) -> int:
    """Return the second of a time, at most the last one of the day."""
    return min(int(time_ms / 1000), seconds - 1)


def _worth_by_window(
    day: ReplayDay, requests: list[ReplayRequest]
) -> dict[tuple[str, int], _WorthTotal]:
    """Return the worth earned by and owed to each account in each window.

    Demand of an account beyond its max-min share of the engines' tokens is not owed.
    """
    tokens: dict[int, dict[str, float]] = {}
    sums: dict[tuple[str, int], _WorthTotal] = {}
    for request in requests:
        window = int(request.arrived_ms // _SHARE_WINDOW_MS)
        asked = tokens.setdefault(window, {})
        asked[request.account] = asked.get(request.account, 0.0) + request.call.cost_tokens
        total = sums.setdefault((request.account, window), _WorthTotal())
        total.add(request.earned, request.owed)
    produced = day.tokens_per_s * _SHARE_WINDOW_MS / 1000
    for (account, window), total in sums.items():
        share = max_min_share(tokens[window].values(), produced)
        total.limit(min(1.0, share / tokens[window][account]))
    return sums


def _fraction_got(
    account: str,
    asked: list[dict[str, float]],
    got: list[dict[str, float]],
    excluded_tokens: int,
) -> float:
    """Return the tokens that an account got over those that it could expect."""
    expected = sum(
        min(asked_in_second[account], max(got_in_second.values()))
        for asked_in_second, got_in_second in zip(asked, got, strict=True)
    )
    expected -= excluded_tokens
    return sum(one[account] for one in got) / expected if expected > 0 else 1.0

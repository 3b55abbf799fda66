"""What callers and accounts got in a replay."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, frozen

from cicadaledge.loadtool._replay_day import Mode, ReplayDay, RequestClass
from cicadaledge.placing import max_min_share
from cicadaledge.routing import Call
from cicadaledge.standins import EngineEmulator

_EXCLUDED_REQUESTS = 3  # the largest ones, which may find no room by chance
_EVENNESS_SPAN_S = 6  # seconds in which an account must not get less than half of the others
_SHARE_WINDOW_MS = 4_000.0  # windows in which an account is owed its max-min share


@define
class ReplayRequest:
    """One request of a replay and what became of it."""

    kind: RequestClass
    account: str
    call: Call
    arrived_ms: float
    size_factor: float
    attempts: int = 0
    admitted_ms: float | None = None
    started: bool = False
    last_event_ms: float = 0.0
    within_target: bool = True
    met_deadline: bool = False

    @property
    def earned(self) -> float:
        """Worth that its answer earns."""
        if not self.met_deadline:
            return 0.0
        worth = self.kind.worth if self.within_target else self.kind.late_worth
        return worth * self.size_factor

    @property
    def owed(self) -> float:
        """Worth of an answer in aim."""
        return self.kind.worth * self.size_factor


@define
class _WorthTotal:
    """Worth earned and owed."""

    earned: float = 0.0
    owed: float = 0.0

    @property
    def part(self) -> float:
        return self.earned / self.owed if self.owed else 1.0

    def add(self, earned: float, owed: float) -> None:
        self.earned += earned
        self.owed += owed

    def limit(self, fraction: float) -> None:
        """Owe only a part; what is earned beyond it does not count."""
        self.owed *= fraction
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
    within_target: float
    late: float
    refused: float
    read_again: float
    evenness: float
    by_class: dict[str, float]

    def row(self) -> str:
        """Return a line of the table."""
        classes = " ".join(f"{name} {value:.2f}" for name, value in self.by_class.items())
        return (
            f"{self.mode:14} {self.worth:6.3f} {self.worst_tenth:8.3f} {self.within_target:7.3f} "
            f"{self.late:6.3f} {self.refused:8.3f} {self.read_again:11.3f} {self.evenness:8.2f}  {classes}"
        )


REPLAY_HEADER = f"{'mode':14} {'worth':>6} {'accounts':>8} {'in aim':>7} {'late':>6} {'refused':>8} {'read again':>11} {'evenness':>8}"


def measure(
    day: ReplayDay, mode: Mode, requests: list[ReplayRequest], engines: Iterable[EngineEmulator]
) -> ReplayResult:
    """Return what callers got."""
    by_account: dict[str, _WorthTotal] = {}
    by_class: dict[str, _WorthTotal] = {}
    for (account, _), window in _worth_by_window(day, requests).items():
        by_account.setdefault(account, _WorthTotal()).add(window.earned, window.owed)
    for request in requests:
        total = by_class.setdefault(request.kind.name, _WorthTotal())
        total.add(request.earned, request.owed)
    worst = sorted(one.part for one in by_account.values() if one.owed)
    tenth = max(2, len(worst) // 10)
    count = len(requests)
    answered = [one for one in requests if one.met_deadline]
    used = list(engines)
    return ReplayResult(
        mode=mode.name,
        worth=sum(one.earned for one in by_account.values())
        / sum(one.owed for one in by_account.values()),
        worst_tenth=sum(worst[:tenth]) / tenth,
        within_target=sum(one.within_target for one in answered) / count,
        late=sum(not one.within_target for one in answered) / count,
        refused=sum(one.admitted_ms is None for one in requests) / count,
        read_again=sum(one.read_again_tokens for one in used)
        / max(1, sum(one.read_tokens for one in used)),
        evenness=_evenness(day, requests),
        by_class={name: one.part for name, one in by_class.items()},
    )


def _evenness(day: ReplayDay, requests: list[ReplayRequest]) -> float:
    """Return how evenly accounts were served that waited all through a span."""
    seconds = int(day.seconds)
    accounts = [f"account-{number}" for number in range(day.accounts)]
    asked = [dict.fromkeys(accounts, 0.0) for _ in range(seconds)]
    got = [dict.fromkeys(accounts, 0.0) for _ in range(seconds)]
    underserved: list[set[str]] = [set() for _ in range(seconds)]
    sizes: dict[tuple[str, int], list[int]] = {}
    for request in requests:
        second = min(int(request.arrived_ms / 1000), seconds - 1)
        asked[second][request.account] += request.call.cost_tokens
        for begin in range(second - _EVENNESS_SPAN_S + 1, second + 1):
            sizes.setdefault((request.account, begin), []).append(request.call.cost_tokens)
        if request.admitted_ms is not None:
            got[second][request.account] += request.call.cost_tokens
        if request.admitted_ms is None or not request.within_target:
            underserved[second].add(request.account)
    least = 1.0
    for begin in range(seconds - _EVENNESS_SPAN_S + 1):
        span = slice(begin, begin + _EVENNESS_SPAN_S)
        for account in set.intersection(*underserved[span]):
            excluded = sum(sorted(sizes[account, begin])[-_EXCLUDED_REQUESTS:])
            least = min(least, _fraction_got(account, asked[span], got[span], excluded))
    return least


def _worth_by_window(
    day: ReplayDay, requests: list[ReplayRequest]
) -> dict[tuple[str, int], _WorthTotal]:
    """Return what each account earned and was owed in each window.

    What an account asks beyond its max-min share of the engines' tokens is not owed.
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
    """Return what an account got over what it could expect, second by second."""
    expected = sum(
        min(asked_in_second[account], max(got_in_second.values()))
        for asked_in_second, got_in_second in zip(asked, got, strict=True)
    )
    expected -= excluded_tokens
    return sum(one[account] for one in got) / expected if expected > 0 else 1.0

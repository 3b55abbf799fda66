"""Shares of client accounts in what the engines produce, over the whole fleet."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import frozen

from cicadaledge.placing._fleet import FleetLoad
from cicadaledge.placing._rates import SlidingSum
from cicadaledge.wire import AccountUse

_LEVEL_PERIOD_MS = 100.0  # a tenth of the time in which a share can change visibly
_ADMITTED_WINDOW_PART = 0.5  # of the time for shares: large requests come seldom
_ASKED_WINDOW_PART = 0.25  # the same: a flood at many routers is seen by each of them only in sum
_GROWTH = 1.25  # more is let through than was served, so that unused capacity is found
_FALL_PER_S = 0.1  # of the level's tokens: engines that fill up for a moment must not halve it
_MOST_CORRECTION = 2.0  # for accounts whose engines refuse more than those of others
_SHORT_PART = 0.3  # an account that gets less of its due may use more engines for a prefix
_HELD_BACK_PART = 0.8  # an account that gets less of what it asks counts as held back
_LARGE_PART = 0.5  # of a share; accounts that ask for less are refused by chance at times


def max_min_share(asked_per_s: Iterable[float], capacity_per_s: float) -> float:
    """Return the max-min share: what each account that asks for more may have."""
    rates = sorted(asked_per_s)
    left_per_s = capacity_per_s
    for place, rate in enumerate(rates):
        share = left_per_s / (len(rates) - place)
        if rate >= share:
            return share
        left_per_s -= rate
    return math.inf


@frozen
class ShareUse:
    """How much an account gets.

    Args:
        of_share: As a multiple of its max-min share; 0 if there is enough for all.
        of_least: As a multiple of what the least served of the large accounts gets that are
            held back, or of the share if that is more; 1 at least.
        admitted_part: Part of its requests that may be placed at all.
        is_short: Whether it gets far less than it asks, up to its share.
    """

    share_multiple: float = 0.0
    least_served_multiple: float = 1.0
    admitted_fraction: float = 1.0
    is_underserved: bool = False


class _Rates:
    """Rates of one account at this router."""

    def __init__(self, window_ms: float) -> None:
        self.asked = SlidingSum(window_ms * _ASKED_WINDOW_PART)
        self.admitted = SlidingSum(window_ms * _ADMITTED_WINDOW_PART)


class AccountShares:
    """Token rates of accounts, own and heard, against their max-min share.

    Args:
        window_ms: Time within which accounts get their shares.
        others: The other routers' rates.
    """

    def __init__(self, window_ms: float, others: FleetLoad) -> None:
        self._window_ms = window_ms
        self._others = others
        self._own: dict[str, _Rates] = {}
        self._level_per_s = math.inf
        self._least_per_s = math.inf
        self._asked_per_s: dict[str, float] = {}
        self._admitted_per_s: dict[str, float] = {}
        self._level_ms = -math.inf
        self._served_per_s = 0.0

    @property
    def share_per_s(self) -> int | None:
        """Newest max-min share in tokens a second; None if there is enough for all."""
        return None if math.isinf(self._level_per_s) else round(self._level_per_s)

    def latest_rates(self, account: str) -> AccountUse:
        """Return what the whole fleet asked and admitted for an account, as last summed."""
        asked_per_s = self._asked_per_s.get(account, 0.0)
        return AccountUse(account, asked_per_s, self._admitted_per_s.get(account, 0.0))

    def rates_age_ms(self, now_ms: float) -> float:
        """Return how long ago the fleet's rates were summed."""
        return now_ms - self._level_ms

    def record_asked(self, account: str, tokens: int, now_ms: float) -> None:
        """Count a request that an account makes."""
        self._rates(account).asked.add(tokens, now_ms)

    def record_admitted(self, account: str, tokens: int, now_ms: float) -> None:
        """Count a request that was sent to a server."""
        self._rates(account).admitted.add(tokens, now_ms)

    def own_rates(self, now_ms: float) -> list[AccountUse]:
        """Return this router's rates, for its peers."""
        uses = []
        for account, rates in list(self._own.items()):
            asked_per_s = rates.asked.per_s(now_ms)
            admitted_per_s = rates.admitted.per_s(now_ms)
            if not asked_per_s and not admitted_per_s:
                del self._own[account]
                continue
            uses.append(AccountUse(account, asked_per_s, admitted_per_s))
        return uses

    def share_use(self, account: str, capacity_per_s: float, now_ms: float) -> ShareUse:
        """Return how much an account gets.

        Args:
            capacity_per_s: What the engines are said to produce together; 0 for no limit. They
                serve more where they keep shared parts.
        """
        if capacity_per_s <= 0:
            return ShareUse()
        if now_ms - self._level_ms >= _LEVEL_PERIOD_MS:
            self._update_level(capacity_per_s, now_ms)
        asked_per_s = self._asked_per_s.get(account, 0.0)
        admitted_per_s = self._admitted_per_s.get(account, 0.0)
        due_per_s = min(asked_per_s, self._level_per_s)
        is_short = admitted_per_s < due_per_s * _SHORT_PART
        if math.isinf(self._level_per_s):
            return ShareUse(is_underserved=is_short)
        of_least = max(1.0, admitted_per_s / max(self._least_per_s, self._level_per_s))
        admitted_part = 1.0
        if asked_per_s > due_per_s:
            correction = min(due_per_s / max(admitted_per_s, 1.0), _MOST_CORRECTION)
            admitted_part = min(1.0, due_per_s / asked_per_s * max(1.0, correction))
        return ShareUse(admitted_per_s / self._level_per_s, of_least, admitted_part, is_short)

    def _update_level(self, capacity_per_s: float, now_ms: float) -> None:
        asked: dict[str, float] = {}
        admitted: dict[str, float] = {}
        for use in self._all_uses(now_ms):
            asked[use.account] = asked.get(use.account, 0.0) + use.asked_per_s
            admitted[use.account] = admitted.get(use.account, 0.0) + use.admitted_per_s
        self._asked_per_s = asked
        self._admitted_per_s = admitted
        fallen = min(1.0, _FALL_PER_S * (now_ms - self._level_ms) / 1000)
        lately_per_s = self._served_per_s * (1.0 - fallen)
        self._served_per_s = max(sum(admitted.values()), lately_per_s)
        let_through_per_s = max(capacity_per_s, _GROWTH * self._served_per_s)
        self._level_per_s = max_min_share(asked.values(), let_through_per_s)
        self._least_per_s = self._least_served(asked)
        self._level_ms = now_ms

    def _least_served(self, asked_per_s: dict[str, float]) -> float:
        """Return the least rate of the large accounts that are held back."""
        return min(
            (
                self._admitted_per_s[account]
                for account, rate in asked_per_s.items()
                if rate >= self._level_per_s * _LARGE_PART
                and self._admitted_per_s[account] < rate * _HELD_BACK_PART
            ),
            default=math.inf,
        )

    def _all_uses(self, now_ms: float) -> list[AccountUse]:
        return self.own_rates(now_ms) + self._others.account_rates(now_ms)

    def _rates(self, account: str) -> _Rates:
        rates = self._own.get(account)
        if rates is None:
            rates = self._own[account] = _Rates(self._window_ms)
        return rates

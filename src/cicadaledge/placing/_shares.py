"""Shares of client accounts in what the engines produce, over the whole fleet."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, frozen

from cicadaledge.placing._fleet import FleetLoad
from cicadaledge.wire import AccountUse

_LEVEL_PERIOD_MS = 100.0  # a tenth of the time in which a share can change visibly
_LEAST_RATE_PER_S = 1.0  # below one token a second an account counts as silent
_HELD_BACK_PART = 0.8  # an account that gets less of what it asks counts as held back
_LARGE_PART = 0.5  # of a share; accounts that ask for less are refused by chance at times


def fair_level(asked_per_s: Iterable[float], capacity_per_s: float) -> float:
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
    """

    of_share: float = 0.0
    of_least: float = 1.0


@define
class _Rate:
    asked_per_s: float = 0.0
    admitted_per_s: float = 0.0
    updated_ms: float = 0.0


class AccountShares:
    """Token rates of accounts, own and heard, against their max-min share.

    Args:
        window_ms: Time constant of the rates.
        others: The other routers' rates.
    """

    def __init__(self, window_ms: float, others: FleetLoad) -> None:
        self._window_ms = window_ms
        self._others = others
        self._own: dict[str, _Rate] = {}
        self._level_per_s = math.inf
        self._least_per_s = math.inf
        self._asked_per_s: dict[str, float] = {}
        self._admitted_per_s: dict[str, float] = {}
        self._level_ms = -math.inf

    @property
    def share_per_s(self) -> int | None:
        """Newest max-min share in tokens a second; None if there is enough for all."""
        return None if math.isinf(self._level_per_s) else round(self._level_per_s)

    def newest_use(self, account: str) -> AccountUse:
        """Return what the whole fleet asked and admitted for an account, as last summed."""
        asked_per_s = self._asked_per_s.get(account, 0.0)
        return AccountUse(account, asked_per_s, self._admitted_per_s.get(account, 0.0))

    def sum_age_ms(self, now_ms: float) -> float:
        """Return how long ago the fleet's rates were summed."""
        return now_ms - self._level_ms

    def note_asked(self, account: str, tokens: int, now_ms: float) -> None:
        """Count a request that an account makes."""
        self._rate(account, now_ms).asked_per_s += tokens * 1000.0 / self._window_ms

    def note_admitted(self, account: str, tokens: int, now_ms: float) -> None:
        """Count a request that was sent to a server."""
        self._rate(account, now_ms).admitted_per_s += tokens * 1000.0 / self._window_ms

    def own_uses(self, now_ms: float) -> list[AccountUse]:
        """Return this router's rates, for its peers."""
        uses = []
        for account in list(self._own):
            rate = self._rate(account, now_ms)
            if rate.asked_per_s < _LEAST_RATE_PER_S:
                del self._own[account]
                continue
            uses.append(AccountUse(account, rate.asked_per_s, rate.admitted_per_s))
        return uses

    def use(self, account: str, capacity_per_s: float, now_ms: float) -> ShareUse:
        """Return how much an account gets.

        Args:
            capacity_per_s: Tokens that all accounts may have together; 0 for no limit.
        """
        if capacity_per_s <= 0:
            return ShareUse()
        if now_ms - self._level_ms >= _LEVEL_PERIOD_MS:
            self._update_level(capacity_per_s, now_ms)
        if math.isinf(self._level_per_s):
            return ShareUse()
        admitted_per_s = self._admitted_per_s.get(account, 0.0)
        of_least = max(1.0, admitted_per_s / max(self._least_per_s, self._level_per_s))
        return ShareUse(admitted_per_s / self._level_per_s, of_least)

    def _update_level(self, capacity_per_s: float, now_ms: float) -> None:
        asked: dict[str, float] = {}
        admitted: dict[str, float] = {}
        for use in self._all_uses(now_ms):
            asked[use.account] = asked.get(use.account, 0.0) + use.asked_per_s
            admitted[use.account] = admitted.get(use.account, 0.0) + use.admitted_per_s
        self._asked_per_s = asked
        self._admitted_per_s = admitted
        self._level_per_s = fair_level(asked.values(), capacity_per_s)
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
        return self.own_uses(now_ms) + self._others.account_uses(now_ms)

    def _rate(self, account: str, now_ms: float) -> _Rate:
        rate = self._own.get(account)
        if rate is None:
            rate = self._own[account] = _Rate(updated_ms=now_ms)
        fade = math.exp(-max(0.0, now_ms - rate.updated_ms) / self._window_ms)
        rate.asked_per_s *= fade
        rate.admitted_per_s *= fade
        rate.updated_ms = now_ms
        return rate

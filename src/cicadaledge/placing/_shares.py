"""Shares of client accounts in what the engines produce, over the whole fleet."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define

from cicadaledge.placing._fleet import FleetLoad
from cicadaledge.wire import AccountUse

_LEVEL_PERIOD_MS = 100.0  # a tenth of the time in which a share can change visibly
_LEAST_RATE_PER_S = 1.0  # below one token a second an account counts as silent


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
        self._admitted_per_s: dict[str, float] = {}
        self._level_ms = -math.inf

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

    def use_of_share(self, account: str, capacity_per_s: float, now_ms: float) -> float:
        """Return what an account gets as a multiple of its max-min share; 0 if unlimited."""
        if capacity_per_s <= 0:
            return 0.0
        if now_ms - self._level_ms >= _LEVEL_PERIOD_MS:
            self._update_level(capacity_per_s, now_ms)
        if math.isinf(self._level_per_s):
            return 0.0
        return self._admitted_per_s.get(account, 0.0) / self._level_per_s

    def _update_level(self, capacity_per_s: float, now_ms: float) -> None:
        asked: dict[str, float] = {}
        admitted: dict[str, float] = {}
        for use in self._all_uses(now_ms):
            asked[use.account] = asked.get(use.account, 0.0) + use.asked_per_s
            admitted[use.account] = admitted.get(use.account, 0.0) + use.admitted_per_s
        self._admitted_per_s = admitted
        self._level_per_s = fair_level(asked.values(), capacity_per_s)
        self._level_ms = now_ms

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

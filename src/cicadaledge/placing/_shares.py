"""Fair shares of client accounts in the engines' capacity, over the whole fleet."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import frozen

from cicadaledge.placing._fleet import FleetLoad
from cicadaledge.placing._rates import SlidingSum
from cicadaledge.wire import AccountUse

# The max-min share is computed again after this time, a tenth of that in which it can change
# noticeably.
_UPDATE_INTERVAL_MS = 100.0
# Admitted rates are measured over this fraction of the time within which accounts get their shares.
# A shorter window would see too few requests, as large ones are rare.
_ADMITTED_WINDOW_FRACTION = 0.5
# Asked rates are measured over a shorter window than admitted ones: a flood that is spread over
# many routers, each of which sees it only in the fleet's sum, must be detected soon.
_ASKED_WINDOW_FRACTION = 0.25
# The admitted fraction is raised by up to this factor for an account whose engines refuse more
# requests than those of others.
_MAX_CORRECTION = 2.0
# An account counts as throttled if it gets less than this fraction of what it asks for.
_THROTTLED_FRACTION = 0.8
# An account counts as large if it asks for at least this fraction of the max-min share. Smaller
# accounts are sometimes refused by chance, so they never count as the least served account.
_LARGE_ACCOUNT_FRACTION = 0.5


def max_min_share(asked_per_s: Iterable[float], capacity_per_s: float) -> float:
    """Return the max-min fair share: the most that an account may get.

    It is infinite if the capacity suffices for all.
    """
    rates = sorted(asked_per_s)
    unassigned_per_s = capacity_per_s
    for index, rate in enumerate(rates):
        share = unassigned_per_s / (len(rates) - index)
        if rate >= share:
            return share
        unassigned_per_s -= rate
    return math.inf


@frozen
class ShareUse:
    """The rate admitted for an account, in relation to its fair share and to other accounts.

    Args:
        share_multiple: The rate as a multiple of the max-min share; 0 if capacity suffices for all.
        least_served_multiple: The rate as a multiple of that of the least served large account that
            is throttled, or of the share if that is larger; 1 at least.
        admitted_fraction: Fraction of the account's requests that may be placed at all.
        served_fraction: The rate as a fraction of that to which the account is entitled, at most 1:
            what it asks for or its share, whichever is less.
    """

    share_multiple: float = 0.0
    least_served_multiple: float = 1.0
    admitted_fraction: float = 1.0
    served_fraction: float = 1.0


class _Rates:
    """Rates of one account at this router, in tokens."""

    def __init__(self, window_ms: float) -> None:
        self.asked = SlidingSum(window_ms * _ASKED_WINDOW_FRACTION)
        self.admitted = SlidingSum(window_ms * _ADMITTED_WINDOW_FRACTION)


class AccountShares:
    """Compares the token rates of accounts, over the whole fleet, with their max-min share.

    Args:
        window_ms: Time within which accounts get their shares.
        others: The other routers' rates.
    """

    def __init__(self, window_ms: float, others: FleetLoad) -> None:
        self._window_ms = window_ms
        self._others = others
        self._own: dict[str, _Rates] = {}
        self._share_per_s = math.inf
        self._least_served_per_s = math.inf
        self._asked_per_s: dict[str, float] = {}
        self._admitted_per_s: dict[str, float] = {}
        self._updated_ms = -math.inf

    @property
    def share_per_s(self) -> int | None:
        """Latest max-min share in tokens per second; None if capacity suffices for all."""
        return None if math.isinf(self._share_per_s) else round(self._share_per_s)

    def latest_rates(self, account: str) -> AccountUse:
        """Return an account's asked and admitted rates over the whole fleet, as last summed."""
        asked_per_s = self._asked_per_s.get(account, 0.0)
        return AccountUse(account, asked_per_s, self._admitted_per_s.get(account, 0.0))

    def rates_age_ms(self, now_ms: float) -> float:
        """Return the time since the fleet's rates were last summed."""
        return now_ms - self._updated_ms

    def record_asked(self, account: str, tokens: int, now_ms: float) -> None:
        """Record a request made by an account."""
        self._rates(account).asked.add(tokens, now_ms)

    def record_admitted(self, account: str, tokens: int, now_ms: float) -> None:
        """Record a request that was sent to a server."""
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
            capacity_per_s: Rate that may be admitted to all engines, in tokens per second; 0 for no
                limit.
        """
        if capacity_per_s <= 0:
            return ShareUse()
        if now_ms - self._updated_ms >= _UPDATE_INTERVAL_MS:
            self._update_share(capacity_per_s, now_ms)
        asked_per_s = self._asked_per_s.get(account, 0.0)
        admitted_per_s = self._admitted_per_s.get(account, 0.0)
        entitled_per_s = min(asked_per_s, self._share_per_s)
        served_fraction = min(1.0, admitted_per_s / entitled_per_s) if entitled_per_s else 1.0
        if math.isinf(self._share_per_s):
            return ShareUse(served_fraction=served_fraction)
        least_served_multiple = max(
            1.0, admitted_per_s / max(self._least_served_per_s, self._share_per_s)
        )
        admitted_fraction = 1.0
        if asked_per_s > entitled_per_s:
            correction = min(entitled_per_s / max(admitted_per_s, 1.0), _MAX_CORRECTION)
            admitted_fraction = min(1.0, entitled_per_s / asked_per_s * max(1.0, correction))
        return ShareUse(
            admitted_per_s / self._share_per_s,
            least_served_multiple,
            admitted_fraction,
            served_fraction,
        )

    def _update_share(self, capacity_per_s: float, now_ms: float) -> None:
        asked: dict[str, float] = {}
        admitted: dict[str, float] = {}
        for use in self._all_uses(now_ms):
            asked[use.account] = asked.get(use.account, 0.0) + use.asked_per_s
            admitted[use.account] = admitted.get(use.account, 0.0) + use.admitted_per_s
        self._asked_per_s = asked
        self._admitted_per_s = admitted
        self._share_per_s = max_min_share(asked.values(), capacity_per_s)
        self._least_served_per_s = self._least_served(asked)
        self._updated_ms = now_ms

    def _least_served(self, asked_per_s: dict[str, float]) -> float:
        """Return the lowest rate among the large accounts that are throttled."""
        return min(
            (
                self._admitted_per_s[account]
                for account, rate in asked_per_s.items()
                if rate >= self._share_per_s * _LARGE_ACCOUNT_FRACTION
                and self._admitted_per_s[account] < rate * _THROTTLED_FRACTION
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

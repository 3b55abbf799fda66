"""Corrects the cost hints of client accounts by the actual cost of their requests."""

from __future__ import annotations

from attrs import define, field

_DECAY = 0.9
_MIN_RATIO = 0.001
_MAX_RATIO = 1000.0


@define
class _History:
    hint_cost: float = 0.0
    cost: float = 0.0


@define
class HintCorrection:
    """Estimates the ratio of actual cost to cost hint for each account.

    A hint that is far too high would delay the account's next requests while the request
    runs; one that is far too low would let the account run too many requests at once.
    """

    _histories: dict[str, _History] = field(factory=dict)

    def correct(self, account: str, hint_cost: float) -> float:
        """Return the expected cost of a request with this hint."""
        history = self._histories.get(account)
        if history is None or history.hint_cost <= 0:
            return hint_cost
        ratio = history.cost / history.hint_cost
        return max(1.0, hint_cost * min(_MAX_RATIO, max(_MIN_RATIO, ratio)))

    def learn(self, account: str, hint_cost: float, cost: float) -> None:
        """Record the actual cost of a finished request; the weight of older ones decays."""
        history = self._histories.setdefault(account, _History())
        history.hint_cost = history.hint_cost * _DECAY + hint_cost
        history.cost = history.cost * _DECAY + cost

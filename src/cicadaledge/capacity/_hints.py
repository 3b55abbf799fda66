"""Corrects the cost hints of client accounts by what their requests turned out to cost."""

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
    """Learns for each account the ratio of cost to hint.

    A hint that is far too high would delay its account while the request runs, and one
    that is far too low would let it run too many requests at once.
    """

    _histories: dict[str, _History] = field(factory=dict)

    def correct(self, account: str, hint_cost: float) -> float:
        """Return the cost to expect of a request with this hint."""
        history = self._histories.get(account)
        if history is None or history.hint_cost <= 0:
            return hint_cost
        ratio = history.cost / history.hint_cost
        return max(1.0, hint_cost * min(_MAX_RATIO, max(_MIN_RATIO, ratio)))

    def learn(self, account: str, hint_cost: float, cost: float) -> None:
        """Note the true cost of a finished request; older ones count less and less."""
        history = self._histories.setdefault(account, _History())
        history.hint_cost = history.hint_cost * _DECAY + hint_cost
        history.cost = history.cost * _DECAY + cost

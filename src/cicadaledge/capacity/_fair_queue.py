"""Weighted fair queue of request descriptors, ordered by virtual cost."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import TypeVar

from attrs import define, field

from cicadaledge.settings import FairnessSettings
from cicadaledge.wire import Descriptor

T = TypeVar("T")
RequestKey = tuple[str, int]

_MAX_SCANNED_PER_ACCOUNT = 8


@define
class _Account:
    weight: float = 1.0
    own_cost: float = 0.0
    running_cost: float = 0.0
    remote_cost: float = 0.0
    remote_waiting: int = 0
    adjustment: float = 0.0
    waiting: deque[Descriptor] = field(factory=deque)

    @property
    def virtual_cost(self) -> float:
        """Fleet-wide cost over weight, plus the adjustment for idle time and repayment."""
        return (
            self.own_cost + self.running_cost + self.remote_cost
        ) / self.weight + self.adjustment

    @property
    def backlogged(self) -> bool:
        return bool(self.waiting) or self.remote_waiting > 0


@define
class _RunningCost:
    account: str
    hint_cost: float
    served_cost: float = 0.0

    @property
    def charge(self) -> float:
        return max(self.hint_cost, self.served_cost)


@define
class _RemoteCounters:
    sequence: int
    costs: dict[str, float]
    waiting: dict[str, int]


class FairQueue:
    """Orders waiting requests so that backlogged accounts are served in proportion to weight.

    The virtual cost of an account is the cost charged to it, here and at the other
    coordinators of the pool, divided by its weight. The backlogged account with the
    lowest virtual cost is served first. A request is charged its estimated cost (hint)
    at its start, then the larger of hint and cost so far, and its actual cost at its
    end. When an account becomes backlogged, its virtual cost is raised to the lowest
    one among the backlogged accounts, so that idle time earns no credit.

    Args:
        settings: Fairness parameters; costs are in the pool's cost unit.
    """

    def __init__(self, settings: FairnessSettings) -> None:
        self._settings = settings
        self._accounts: dict[str, _Account] = {}
        self._waiting: dict[RequestKey, Descriptor] = {}
        self._running: dict[RequestKey, _RunningCost] = {}
        self._remotes: dict[str, _RemoteCounters] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def set_weight(self, account: str, weight: float) -> None:
        """Set an account's weight without changing its virtual cost."""
        state = self._account(account)
        if state.weight == weight:
            return
        before = state.virtual_cost
        state.weight = weight
        state.adjustment += before - state.virtual_cost

    def push(self, request: Descriptor) -> bool:
        """Add a waiting request; return False if it is already waiting or running."""
        if request.key in self._waiting or request.key in self._running:
            return False
        state = self._account(request.account)
        if not state.backlogged:
            self._raise_to_floor(state)
        state.waiting.append(request)
        self._waiting[request.key] = request
        return True

    def waiting_keys(self, entry: str) -> list[RequestKey]:
        """Return the keys of the requests that wait for an entry router."""
        return [key for key in self._waiting if key[0] == entry]

    def withdraw(self, key: RequestKey) -> Descriptor | None:
        """Remove and return a waiting request, or return None if it is not waiting."""
        request = self._waiting.pop(key, None)
        if request is not None:
            self._accounts[request.account].waiting.remove(request)
        return request

    def pop(self, admit: Callable[[Descriptor], T | None]) -> tuple[Descriptor, T] | None:
        """Remove the first request in fair order that *admit* accepts.

        Args:
            admit: Returns where the request may run, or None to pass over it.
        """
        self._cap_leads()
        for name in self._fair_order():
            state = self._accounts[name]
            for request in list(state.waiting)[:_MAX_SCANNED_PER_ACCOUNT]:
                place = admit(request)
                if place is not None:
                    self._virtual_time = state.virtual_cost
                    self.withdraw(request.key)
                    return request, place
        return None

    def head(self) -> Descriptor | None:
        """Return the first request in fair order, or None."""
        for name in self._fair_order():
            return self._accounts[name].waiting[0]
        return None

    def start(self, key: RequestKey, account: str, hint_cost: float) -> None:
        """Charge the estimated cost of a request that starts."""
        if key in self._running:
            return
        running = _RunningCost(account, hint_cost)
        self._running[key] = running
        self._account(account).running_cost += running.charge

    def progress(self, key: RequestKey, served_cost: float) -> None:
        """Update the cost so far of a running request."""
        running = self._running.get(key)
        if running is None or served_cost <= running.served_cost:
            return
        before = running.charge
        running.served_cost = served_cost
        self._accounts[running.account].running_cost += running.charge - before

    def finish(self, key: RequestKey, cost: float) -> None:
        """Replace the charge of a request by its actual cost."""
        running = self._running.pop(key, None)
        if running is None:
            return
        state = self._accounts[running.account]
        state.running_cost -= running.charge
        state.own_cost += cost

    def abandon(self, key: RequestKey) -> None:
        """End a request whose actual cost is unknown; charge its last reported cost."""
        running = self._running.get(key)
        if running is not None:
            self.finish(key, running.served_cost)

    def merge(
        self,
        source: str,
        sequence: int,
        costs: Mapping[str, float],
        waiting: Mapping[str, int],
    ) -> None:
        """Replace the counters of another coordinator.

        Args:
            source: Identifies the coordinator and its incarnation.
            sequence: Counters that are not newer than the last ones are ignored.
            costs: Cost charged so far, by account.
            waiting: Number of requests waiting there, by account.
        """
        known = self._remotes.get(source)
        if known is not None and known.sequence >= sequence:
            return
        self._forget_remote(known)
        self._remotes[source] = _RemoteCounters(sequence, dict(costs), dict(waiting))
        for account, cost in costs.items():
            self._account(account).remote_cost += cost
        for account, count in waiting.items():
            self._account(account).remote_waiting += count

    def clear_remote_waiting(self, source: str) -> None:
        """Clear the waiting counts of a replaced coordinator; its costs still count."""
        known = self._remotes.get(source)
        if known is None:
            return
        for account, count in known.waiting.items():
            self._accounts[account].remote_waiting -= count
        known.waiting = {}

    def costs(self) -> dict[str, float]:
        """Return the cost charged here, by account."""
        return {
            name: state.own_cost + state.running_cost
            for name, state in self._accounts.items()
            if state.own_cost or state.running_cost
        }

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of requests waiting here, by account."""
        return {name: len(state.waiting) for name, state in self._accounts.items() if state.waiting}

    def virtual_cost(self, account: str) -> float:
        """Return the account's virtual cost."""
        return self._account(account).virtual_cost

    def floor_cost(self) -> float | None:
        """Return the lowest virtual cost among the accounts waiting here, or None."""
        costs = [state.virtual_cost for state in self._accounts.values() if state.waiting]
        return min(costs, default=None)

    def _account(self, name: str) -> _Account:
        return self._accounts.setdefault(name, _Account())

    def _fair_order(self) -> list[str]:
        names = [name for name, state in self._accounts.items() if state.waiting]
        return sorted(names, key=lambda name: (self._accounts[name].virtual_cost, name))

    def _raise_to_floor(self, state: _Account) -> None:
        others = [
            other.virtual_cost
            for other in self._accounts.values()
            if other is not state and other.backlogged
        ]
        floor = min(others, default=self._virtual_time)
        if state.virtual_cost < floor:
            state.adjustment += floor - state.virtual_cost

    def _cap_leads(self) -> None:
        waiting = [state for state in self._accounts.values() if state.waiting]
        if not waiting:
            return
        floor = min(state.virtual_cost for state in waiting)
        for state in waiting:
            excess = state.virtual_cost - floor - self._settings.max_repay_cost
            if excess > 0:
                state.adjustment -= excess

    def _forget_remote(self, known: _RemoteCounters | None) -> None:
        if known is None:
            return
        for account, cost in known.costs.items():
            self._accounts[account].remote_cost -= cost
        for account, count in known.waiting.items():
            self._accounts[account].remote_waiting -= count

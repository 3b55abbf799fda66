"""Feeds a load of requests to the rollout decisions of several routers; uses no network."""

import random
from collections import deque

from attrs import define, evolve, field

from cicadaledge.rollouts import (
    AnswerOutcome,
    RequestSide,
    RolloutCounts,
    RolloutKeeper,
    RolloutOrder,
    RolloutSettings,
    RolloutState,
)
from cicadaledge.routing import ServerDirectory, ServerEntry, ServerState

SETTINGS = RolloutSettings(is_enabled=True)
STEP_MS = 100
WORK_MS = 50.0


def entry(server, version="v1", zone="a", slots=6, **changes):
    """Return a server's entry."""
    plain = ServerEntry(server, "desk", "h", 1, zone, ServerState.READY, slots, 0.0, 1, 1, version)
    return evolve(plain, **changes)


def never_bad(server, route, now_ms, rng):
    """Answer of a healthy server: one in a hundred fails, one in twenty is slow."""
    factor = 4.0 if rng.random() < 0.05 else rng.lognormvariate(0.0, 0.25)
    return rng.random() < 0.01, WORK_MS * factor


@define
class Fleet:
    """Routers that see the fleet's counts *lag_ms* late.

    Args:
        answer: Returns for a server, route and time whether the answer fails, and its duration.
        routes: Routes with their weights.
    """

    routers: int = 10
    per_s: float = 200.0
    duration_s: float = 30.0
    former: int = 6
    new: int = 6
    lag_ms: int = 1_000
    seed: int = 1
    answer: object = never_bad
    routes: dict = field(factory=lambda: {"look": 3.0, "book": 1.0})
    order_ms: float = 10_000.0
    new_from_ms: float = 11_000.0
    cut_off: tuple = ()
    sent: int = 0
    sent_new: int = 0
    bad_new: int = 0
    fiftieth_ms: float = float("inf")
    last_new_ms: float = 0.0
    state: RolloutState = RolloutState.RUNNING
    ended_ms: float = float("inf")
    full_ms: float = float("inf")
    keepers: list = field(factory=list)

    def run(self):
        """Run until the rollout has ended, or 3 s longer than its deadline."""
        rng = random.Random(self.seed)
        directory = ServerDirectory()
        for number in range(self.former):
            directory.apply(entry(f"f{number}"), 0.0)
        known_ms = [0.0]
        for _ in range(self.routers):
            keeper = RolloutKeeper(SETTINGS, directory, lambda zone: "r", lambda: known_ms[0], rng)
            keeper.retain_orders(set(), 0.0)
            self.keepers.append(keeper)
        views = deque()
        running = {}
        now_ms, credit = 0.0, 0.0
        deadline_ms = self.order_ms + self.duration_s * 1000
        while now_ms < deadline_ms + 3_000 and self.state is RolloutState.RUNNING:
            now_ms += STEP_MS
            known_ms[0] = now_ms
            if now_ms == self.order_ms:
                order = RolloutOrder("desk", "v2", self.duration_s * 1000)
                for keeper in self.keepers:
                    keeper.apply_order(order, now_ms, 0)
            if now_ms == self.new_from_ms:
                for number in range(self.new):
                    directory.apply(entry(f"n{number}", "v2"), now_ms)
            credit += self.per_s * STEP_MS / 1000
            while credit >= 1.0:
                credit -= 1.0
                self._request(directory, running, now_ms, rng)
            for at_ms in [at for at in running if at <= now_ms]:
                for index, outcome in running.pop(at_ms):
                    self._end(index, outcome, now_ms)
            self._decide(views, running, now_ms)
        return self

    def _request(self, directory, running, now_ms, rng):
        index = rng.randrange(self.routers)
        keeper = self.keepers[index]
        (route,) = rng.choices(list(self.routes), list(self.routes.values()))
        allowed = keeper.allowed_servers("desk", route, RequestSide(), set(), now_ms)
        usable = directory.usable_by_name("desk")
        server = usable[rng.choice(sorted(allowed[0] if allowed else usable))]
        keeper.record_sent("desk", route, server, is_first=True)
        failed, took_ms = self.answer(server.server, route, now_ms, rng)
        if now_ms >= self.order_ms:
            self.sent += 1
            if server.version == "v2":
                self.sent_new += 1
                self.last_new_ms = now_ms
        took = None if failed else took_ms
        outcome = AnswerOutcome("desk", route, server, now_ms, failed=failed, took_ms=took)
        ends_ms = now_ms + took_ms
        running.setdefault(ends_ms, []).append((index, outcome))

    def _end(self, index, outcome, now_ms):
        if self.keepers[index].record_outcome(outcome, now_ms):
            self.bad_new += 1
            if self.bad_new == 50:
                self.fiftieth_ms = now_ms

    def _decide(self, views, running, now_ms):
        rollouts = [keeper.rollout("desk") for keeper in self.keepers]
        if rollouts[0] is None:
            return
        reached = [one for index, one in enumerate(rollouts) if index not in self.cut_off]
        total = RolloutCounts.sum_of([one.tally.own for one in reached])
        views.append((now_ms, total))
        while len(views) > 1 and views[1][0] <= now_ms - self.lag_ms:
            views.popleft()
        former_running = sum(
            outcome.server.version == "v1" for ended in running.values() for _, outcome in ended
        )
        for index, rollout in enumerate(rollouts):
            is_informed = index not in self.cut_off
            if is_informed and views[0][0] <= now_ms - self.lag_ms:
                rollout.tally.record_fleet(views[0][1], now_ms)
            self.keepers[index].refresh(now_ms)
            state = self.keepers[index].decide(
                rollout, former_running, now_ms, is_relay=False, is_informed=is_informed
            )
            if rollout.fraction >= 1.0:
                self.full_ms = min(self.full_ms, now_ms)
            if index == 0 and state is not RolloutState.RUNNING:
                self.state, self.ended_ms = state, now_ms

    @property
    def bound(self):
        """Requests that a bad version may get."""
        remaining_s = (self.order_ms + self.duration_s * 1000 - min(self.ended_ms, 1e9)) / 1000
        return 0.1 * (self.sent + max(0.0, remaining_s) * self.per_s) + 50

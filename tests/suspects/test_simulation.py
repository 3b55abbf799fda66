"""Simulates requests and crashes, and counts refused requests and crashed servers."""

import heapq
import itertools
import random

import pytest

from cicadaledge.suspects import SuspectTracker

SERVERS = 9
ROUTERS = 3
PROPAGATION_MS = 150.0  # Other routers learn of a crash or a complete answer after this delay.
RESTART_MS = 400.0
DURATION_MS = 12_000.0
RETRY_DELAY_MS = 100.0
# By the users' rule, one request may crash this many servers before all routers must know it.
MAX_CRASHES = 3
# By the users' rule, that request may be sent this many times more afterwards.
MAX_LATER_SENDS = 3
SEEDS = range(12)


class Simulation:
    """Routers, each with a tracker, that send requests to servers which crash."""

    def __init__(self, seed, *, fatal_every_ms=None, crash_every_ms=None, tries=2):
        self.random_source = random.Random(seed)
        self.trackers = [SuspectTracker(600_000) for _ in range(ROUTERS)]
        self.running = {server: {} for server in range(SERVERS)}
        self.up_ms = [0.0] * SERVERS
        self.incarnations = [0] * SERVERS
        self.tries = tries
        self.crashes = 0
        self.fatal_crashes = 0
        self.outcomes = {"served": 0, "lost": 0, "refused": 0}
        self._events = []
        self._order = itertools.count()
        self.every(40.0, lambda now: self.arrive("hot", now))
        numbers = itertools.count()
        self.every(20.0, lambda now: self.arrive(f"one-{next(numbers)}", now))
        if fatal_every_ms:
            self.every(fatal_every_ms, lambda now: self.arrive("fatal", now))
        if crash_every_ms:
            self.every(
                crash_every_ms, lambda now: self.crash(self.random_source.randrange(SERVERS), now)
            )

    def at(self, time_ms, action):
        heapq.heappush(self._events, (time_ms, next(self._order), action))

    def every(self, period_ms, action):
        def again(now):
            action(now)
            self.at(now + period_ms * self.random_source.uniform(0.5, 1.5), again)

        self.at(period_ms, again)

    def run(self):
        while self._events and self._events[0][0] < DURATION_MS:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def arrive(self, digest, now):
        self.send(digest, self.random_source.randrange(ROUTERS), self.tries, now)

    def send(self, digest, router, tries, now):
        if self.trackers[router].is_blamed(digest):
            self.record_outcome(digest, "refused")
            return
        up = [server for server in range(SERVERS) if self.up_ms[server] <= now]
        if not up:
            return
        server = self.random_source.choice(up)
        run = (digest, router, tries)
        key = object()
        self.running[server][key] = run
        if digest == "fatal":
            self.fatal_crashes += 1
            self.at(now + 1.0, lambda at: self.crash(server, at))
        else:
            took_ms = self.random_source.choice((50.0, 200.0, 900.0))
            self.at(now + took_ms, lambda at: self.finish(server, key, at))

    def finish(self, server, key, now):
        run = self.running[server].pop(key, None)
        if run is None:
            return
        digest, router, _ = run
        self.record_outcome(digest, "served")
        for index, tracker in enumerate(self.trackers):
            delay_ms = 0.0 if index == router else PROPAGATION_MS
            self.at(
                now + delay_ms,
                lambda _, tracker=tracker: tracker.clear(digest, tracker.crashes_of(digest)),
            )

    def crash(self, server, now):
        if self.up_ms[server] > now:
            return
        self.crashes += 1
        self.up_ms[server] = now + RESTART_MS
        self.incarnations[server] += 1
        name = f"{server}/{self.incarnations[server]}"
        runs = list(self.running[server].values())
        self.running[server].clear()
        for index, tracker in enumerate(self.trackers):
            own = [digest for digest, router, _ in runs if router == index]
            others = [digest for digest, router, _ in runs if router != index]
            self.at(
                now,
                lambda at, tracker=tracker, own=own: own and tracker.record_crash(name, own, at),
            )
            self.at(
                now + PROPAGATION_MS,
                lambda _, tracker=tracker, others=others: tracker.record_crash(name, others, now),
            )
        for digest, router, tries in runs:
            if tries > 1:
                self.at(
                    now + RETRY_DELAY_MS,
                    lambda at, run=(digest, router, tries - 1): self.send(*run, at),
                )
            else:
                self.record_outcome(digest, "lost")

    def record_outcome(self, digest, how):
        if digest != "fatal":
            self.outcomes[how] += 1


@pytest.mark.parametrize("tries", [1, 2])
def test_few_servers_crash_under_a_fatal_request_and_no_harmless_one_is_refused(tries):
    refused = 0
    for seed in SEEDS:
        simulation = Simulation(seed, fatal_every_ms=300.0, tries=tries)
        simulation.run()
        assert simulation.crashes <= MAX_CRASHES
        assert simulation.outcomes["served"] > 0.97 * sum(simulation.outcomes.values())
        refused += simulation.outcomes["refused"]
    assert refused == 0


def test_harmless_requests_are_served_while_servers_crash_for_other_reasons():
    for seed in SEEDS:
        simulation = Simulation(seed, crash_every_ms=300.0)
        simulation.run()
        assert simulation.crashes > 25
        assert simulation.outcomes["refused"] <= 0.01 * sum(simulation.outcomes.values())
        assert simulation.outcomes["served"] > 0.95 * sum(simulation.outcomes.values())


def test_a_fatal_request_is_found_among_crashes_with_other_reasons():
    for seed in SEEDS:
        simulation = Simulation(seed, fatal_every_ms=300.0, crash_every_ms=600.0)
        simulation.run()
        assert simulation.fatal_crashes <= MAX_CRASHES + MAX_LATER_SENDS
        assert simulation.outcomes["refused"] <= 0.01 * sum(simulation.outcomes.values())

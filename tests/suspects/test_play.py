"""Plays the load that the book answers, in simulated time: who is refused, and how many crash."""

import heapq
import itertools
import random

import pytest

from cicadaledge.suspects import SuspectTracker

SERVERS = 9
ROUTERS = 3
NEWS_MS = 150.0  # until other routers know of a crash or a whole answer
DOWN_MS = 400.0
PLAY_MS = 12_000.0
SAME_MOMENT_MS = 100.0
MOST_CRASHES = 3  # under one request before all routers must know it, by the users' rule
MOST_LATER = 3  # sendings that the rule allows after that
SEEDS = range(12)


class Play:
    """Routers that send requests to servers which crash, with a book each."""

    def __init__(self, seed, *, fatal_every_ms=None, crash_every_ms=None, tries=2):
        self.chance = random.Random(seed)
        self.books = [SuspectTracker(600_000) for _ in range(ROUTERS)]
        self.running = {server: {} for server in range(SERVERS)}
        self.up_ms = [0.0] * SERVERS
        self.born = [0] * SERVERS
        self.tries = tries
        self.crashes = 0
        self.fatal_crashes = 0
        self.ends = {"served": 0, "lost": 0, "refused": 0}
        self._events = []
        self._order = itertools.count()
        self.every(40.0, lambda now: self.arrive("hot", now))
        numbers = itertools.count()
        self.every(20.0, lambda now: self.arrive(f"one-{next(numbers)}", now))
        if fatal_every_ms:
            self.every(fatal_every_ms, lambda now: self.arrive("fatal", now))
        if crash_every_ms:
            self.every(crash_every_ms, lambda now: self.crash(self.chance.randrange(SERVERS), now))

    def at(self, time_ms, action):
        heapq.heappush(self._events, (time_ms, next(self._order), action))

    def every(self, period_ms, action):
        def again(now):
            action(now)
            self.at(now + period_ms * self.chance.uniform(0.5, 1.5), again)

        self.at(period_ms, again)

    def run(self):
        while self._events and self._events[0][0] < PLAY_MS:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def arrive(self, digest, now):
        self.send(digest, self.chance.randrange(ROUTERS), self.tries, now)

    def send(self, digest, router, tries, now):
        if self.books[router].is_blamed(digest):
            self.note_end(digest, "refused")
            return
        up = [server for server in range(SERVERS) if self.up_ms[server] <= now]
        if not up:
            return
        server = self.chance.choice(up)
        run = (digest, router, tries)
        key = object()
        self.running[server][key] = run
        if digest == "fatal":
            self.fatal_crashes += 1
            self.at(now + 1.0, lambda at: self.crash(server, at))
        else:
            took_ms = self.chance.choice((50.0, 200.0, 900.0))
            self.at(now + took_ms, lambda at: self.finish(server, key, at))

    def finish(self, server, key, now):
        run = self.running[server].pop(key, None)
        if run is None:
            return
        digest, router, _ = run
        self.note_end(digest, "served")
        for place, book in enumerate(self.books):
            delay_ms = 0.0 if place == router else NEWS_MS
            self.at(
                now + delay_ms, lambda _, book=book: book.clear(digest, book.crashes_of(digest))
            )

    def crash(self, server, now):
        if self.up_ms[server] > now:
            return
        self.crashes += 1
        self.up_ms[server] = now + DOWN_MS
        self.born[server] += 1
        name = f"{server}/{self.born[server]}"
        runs = list(self.running[server].values())
        self.running[server].clear()
        for place, book in enumerate(self.books):
            own = [digest for digest, router, _ in runs if router == place]
            others = [digest for digest, router, _ in runs if router != place]
            self.at(now, lambda at, book=book, own=own: own and book.record_crash(name, own, at))
            self.at(
                now + NEWS_MS,
                lambda _, book=book, others=others: book.record_crash(name, others, now),
            )
        for digest, router, tries in runs:
            if tries > 1:
                self.at(
                    now + SAME_MOMENT_MS,
                    lambda at, run=(digest, router, tries - 1): self.send(*run, at),
                )
            else:
                self.note_end(digest, "lost")

    def note_end(self, digest, how):
        if digest != "fatal":
            self.ends[how] += 1


@pytest.mark.parametrize("tries", [1, 2])
def test_few_servers_crash_under_a_fatal_request_and_no_sound_one_is_refused(tries):
    refused = 0
    for seed in SEEDS:
        play = Play(seed, fatal_every_ms=300.0, tries=tries)
        play.run()
        assert play.crashes <= MOST_CRASHES
        assert play.ends["served"] > 0.97 * sum(play.ends.values())
        refused += play.ends["refused"]
    assert refused == 0


def test_sound_requests_are_served_while_servers_crash_for_other_reasons():
    for seed in SEEDS:
        play = Play(seed, crash_every_ms=300.0)
        play.run()
        assert play.crashes > 25
        assert play.ends["refused"] <= 0.01 * sum(play.ends.values())
        assert play.ends["served"] > 0.95 * sum(play.ends.values())


def test_a_fatal_request_is_found_among_crashes_with_other_reasons():
    for seed in SEEDS:
        play = Play(seed, fatal_every_ms=300.0, crash_every_ms=600.0)
        play.run()
        assert play.fatal_crashes <= MOST_CRASHES + MOST_LATER
        assert play.ends["refused"] <= 0.01 * sum(play.ends.values())

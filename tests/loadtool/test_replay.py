"""A heavy day played against the placing code: what callers and accounts get."""

import pytest
from attrs import evolve

from cicadaledge.loadtool import (
    FLOODED_DAY,
    HEAVY_DAY,
    LARGE_DAY,
    MODES,
    Replay,
    ReplayResult,
    scaled,
)

# A third of the heavy day before a third of its engines; queues need seconds to build up.
DAY = evolve(scaled(HEAVY_DAY, 1 / 3), seconds=18.0, engines=3, routers=3, tokens_per_s=75_000.0)


def play(name: str) -> ReplayResult:
    (mode,) = [mode for mode in MODES if mode.name == name]
    return Replay(DAY, mode).run()


def test_on_a_heavy_day_placing_earns_more_than_what_it_replaces():
    """Three accounts flood while connections come unevenly to the routers."""
    placed = play("placed")
    for baseline in (play("static_split"), play("uncoordinated")):
        assert placed.worth > baseline.worth
        assert placed.worst_tenth > baseline.worst_tenth
        assert placed.read_again <= baseline.read_again


def test_shares_keep_the_worst_served_accounts_up():
    assert play("placed").worst_tenth > play("no_shares").worst_tenth


def test_a_replay_repeats():
    day = evolve(DAY, seconds=2.0)
    assert Replay(day, MODES[0]).run() == Replay(day, MODES[0]).run()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_sudden_flood_does_not_hold_an_account_below_half_of_what_others_get(seed):
    """A small account turns into the largest; one held back for its past load got 0.30."""
    assert Replay(evolve(FLOODED_DAY, seed=seed), MODES[0]).run().evenness >= 0.5


@pytest.mark.parametrize("seed", [3, 4, 6])
def test_an_account_at_one_router_of_many_is_not_held_back_for_others(seed):
    """The level of a zone whose relay had no requests of its own was that of its accounts only."""
    assert Replay(evolve(LARGE_DAY, seed=seed), MODES[0]).run().evenness >= 0.5

"""Replays an overload in which accounts ask for over twice what the engines can begin."""

import pytest
from attrs import evolve

from cicadaledge.loadtool import MODES, THROTTLED_DAY, Replay, ReplayResult


def run_day(mode_name: str, seed: int) -> ReplayResult:
    (mode,) = [mode for mode in MODES if mode.name == mode_name]
    return Replay(evolve(THROTTLED_DAY, seed=seed), mode).run()


@pytest.mark.parametrize("seed", [1, 2])
def test_shares_leave_no_engine_idle_in_an_overload(seed):
    """Shares that follow what engines begin could hold back what the engines have room for.

    What the engines can begin is measured by the same load without shares.
    """
    placed = run_day("placed", seed)
    unlimited = run_day("no_shares", seed)
    assert placed.begun_per_s >= 0.9 * unlimited.begun_per_s
    assert placed.evenness >= 0.5
    assert placed.abandoned <= 0.05

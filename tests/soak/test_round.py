"""Short rounds with real processes, and the seeds that once failed."""

import pytest

from cicadaledge.soak import KINDS, SoakPlan, SoakSize, draw_faults, run_round

FIRST_PORT = 30_000
PORTS_PER_SEED = 100


def plan(seed, **changes):
    place = seed % 20
    size = SoakSize(routers_per_zone=1, callers=8, first_port=FIRST_PORT + PORTS_PER_SEED * place)
    return SoakPlan(seed, size=size, **{"faults": 4, "within_s": 4.0, **changes})


def test_a_seed_draws_the_same_faults_each_time():
    assert draw_faults(5, 20, 8.0) == draw_faults(5, 20, 8.0)
    assert draw_faults(5, 20, 8.0) != draw_faults(6, 20, 8.0)
    drawn = {fault.kind for seed in range(60) for fault in draw_faults(seed, 7, 8.0)}
    assert drawn == set(KINDS)


@pytest.mark.timeout(90)
def test_a_short_round_keeps_all_promises(tmp_path):
    result = run_round(plan(1), tmp_path)
    assert result.broken == []
    assert result.statuses["200"] > 50

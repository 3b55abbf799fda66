"""Which versions a request may go to."""

import pytest
from rollout_fleet import SETTINGS, entry

from cicadaledge.rollouts import (
    FractionSampler,
    RequestSide,
    Rollout,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    allowed_servers,
    group_servers,
)

FORMER, NEW, OTHER = frozenset({"f0", "f1"}), frozenset({"n0", "n1"}), frozenset({"x0"})
USABLE = {name: entry(name) for name in FORMER}
USABLE |= {name: entry(name, "v2") for name in NEW}
USABLE |= {name: entry(name, "v3") for name in OTHER}


@pytest.fixture
def rollout():
    order = RolloutOrder("desk", "v2", 30_000.0)
    return Rollout(order, SETTINGS, 0.0, True, former=frozenset({"v1"}))


def allowed(
    rollout, *, fraction=None, usable=USABLE, tried=frozenset(), replacements=frozenset(), **side
):
    if fraction is not None:
        rollout.fraction = fraction
    groups = group_servers(
        usable.values(), "v2", rollout.former, lambda name: False, lambda _: "", replacements
    )
    return allowed_servers(
        rollout, "look", RequestSide(**side), groups, set(tried), FractionSampler()
    )


def end(rollout, state):
    rollout.apply_status(RolloutStatus("desk", "v2", state), 0.0)


def without(*names):
    return {name: one for name, one in USABLE.items() if name not in names}


def test_a_drawn_request_may_fall_back_to_the_former_version_but_no_other_one_moves():
    rollout = Rollout(RolloutOrder("desk", "v2", 1e4), SETTINGS, 0.0, True, former={"v1"})
    assert allowed(rollout, fraction=0.04, is_for_new=True) == [NEW, FORMER]
    assert allowed(rollout, fraction=0.04, is_for_new=False) == [FORMER]
    assert allowed(rollout, fraction=0.0, is_for_new=True) == [FORMER]
    assert allowed(rollout, fraction=1.0, is_for_new=False) == [NEW]


def test_a_retry_prefers_the_former_version(rollout):
    assert allowed(rollout, fraction=0.04, is_for_new=True, is_retry=True) == [FORMER]
    every = {"is_for_new": True, "is_retry": True, "tried": FORMER}
    assert allowed(rollout, fraction=0.04, **every) == [NEW]


def test_a_stream_is_resumed_on_its_version_unless_nothing_else_is_left(rollout):
    assert allowed(rollout, fraction=0.04, is_for_new=False, is_resumed=True) == [FORMER, NEW]
    assert allowed(rollout, fraction=1.0, is_for_new=False, is_resumed=True) == [FORMER, NEW]
    assert allowed(rollout, fraction=0.04, is_for_new=True, is_resumed=True) == [NEW, FORMER]
    # A version that is no longer trusted gets no stream back.
    assert allowed(rollout, fraction=0.0, is_for_new=True, is_resumed=True) == [FORMER]


@pytest.mark.parametrize("side", [{}, {"is_retry": True}, {"is_for_new": True, "is_resumed": True}])
def test_nothing_goes_to_a_version_that_was_rolled_back(rollout, side):
    end(rollout, RolloutState.ROLLED_BACK)
    assert allowed(rollout, **side) == [FORMER]
    assert allowed(rollout, usable=without(*FORMER, *OTHER), **side) == []


def test_former_servers_get_nothing_once_a_rollout_is_completed(rollout):
    # They stop at once; what they run then is lost.
    end(rollout, RolloutState.COMPLETED)
    # Servers of a third version that started meanwhile were not ordered.
    assert allowed(rollout) == [NEW]
    assert allowed(rollout, replacements=OTHER) == [NEW | OTHER]
    assert allowed(rollout, usable=without(*NEW)) == [FORMER | OTHER]


def test_after_a_withdrawal_only_the_unproven_version_is_avoided(rollout):
    rollout.is_withdrawn = True
    assert allowed(rollout) == [FORMER | OTHER]
    assert allowed(rollout, usable=without(*FORMER, *OTHER)) == [NEW]


def test_many_routers_together_send_the_fraction_even_if_each_has_few_requests():
    # 385 routers that each send their first request would exceed the slack of 50 at once.
    drawn = sum(FractionSampler().draw("look", 0.04) for _ in range(385))
    assert drawn <= 40


def test_a_sampler_draws_the_fraction_evenly():
    sampler = FractionSampler()
    draws = [sampler.draw("look", 0.25) for _ in range(400)]
    assert sum(draws) in (100, 101)
    assert all(sum(draws[start : start + 4]) <= 1 for start in range(0, 400, 4))

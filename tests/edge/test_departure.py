"""The phases of a shutdown within the grace period."""

import math

import pytest
from edge_world import SETTINGS, evolve

from cicadaledge.edge import BoundSettings
from cicadaledge.edge._departure import ShutdownSchedule

# In this last fraction of the grace period, work that is still running on servers may be cut off.
LAST_RATIO = 1 / 6


def schedule(grace_ms):
    return ShutdownSchedule(evolve(SETTINGS, bounds=BoundSettings(grace_ms=grace_ms)))


def test_a_router_that_is_not_stopping_accepts_and_sends_everything():
    running = schedule(8_000)
    assert not running.has_begun
    assert running.accepts(1e12)
    assert running.has_time_for(math.inf, 1e12)


@pytest.mark.parametrize("grace_ms", [300, 1_000, 2_500, 8_000, 60_000])
def test_responses_end_in_the_last_part_of_the_grace_period_and_before_the_kill(grace_ms):
    stopping = schedule(grace_ms)
    stopping.begin(1_000)
    assert (
        stopping.accept_until_ms
        < stopping.respond_until_ms
        < stopping.abort_at_ms
        < 1_000 + grace_ms
    )
    assert stopping.respond_until_ms >= 1_000 + grace_ms * (1 - LAST_RATIO)
    assert stopping.accepts(stopping.accept_until_ms - 1)
    assert not stopping.accepts(stopping.accept_until_ms)


def test_a_second_signal_does_not_postpone_the_end():
    stopping = schedule(8_000)
    stopping.begin(1_000)
    stopping.begin(5_000)
    assert stopping.abort_at_ms < 9_000


def test_no_request_is_sent_that_cannot_be_answered_in_time():
    stopping = schedule(8_000)
    stopping.begin(0)
    assert stopping.has_time_for(1_000, 6_500)
    assert not stopping.has_time_for(1_000, 6_700)

"""What a leaving router still takes and sends, by the time that is left."""

import math

import pytest
from edge_world import SETTINGS, evolve

from cicadaledge.edge import BoundSettings
from cicadaledge.edge._departure import ShutdownSchedule

LAST_PART = 1 / 6  # of the grace, in which what still runs at a server may be cut off


def departure(grace_ms):
    return ShutdownSchedule(evolve(SETTINGS, bounds=BoundSettings(grace_ms=grace_ms)))


def test_a_router_that_stays_takes_and_sends_everything():
    staying = departure(8_000)
    assert not staying.has_begun
    assert staying.accepts(1e12)
    assert staying.has_time_for(math.inf, 1e12)


@pytest.mark.parametrize("grace_ms", [300, 1_000, 2_500, 8_000, 60_000])
def test_answers_end_in_the_last_part_of_the_grace_and_before_the_kill(grace_ms):
    leaving = departure(grace_ms)
    leaving.begin(1_000)
    assert (
        leaving.accept_until_ms < leaving.respond_until_ms < leaving.abort_at_ms < 1_000 + grace_ms
    )
    assert leaving.respond_until_ms >= 1_000 + grace_ms * (1 - LAST_PART)
    assert leaving.accepts(leaving.accept_until_ms - 1)
    assert not leaving.accepts(leaving.accept_until_ms)


def test_a_second_signal_does_not_put_the_end_off():
    leaving = departure(8_000)
    leaving.begin(1_000)
    leaving.begin(5_000)
    assert leaving.abort_at_ms < 9_000


def test_nothing_is_sent_that_cannot_be_answered_in_time():
    leaving = departure(8_000)
    leaving.begin(0)
    assert leaving.has_time_for(1_000, 6_500)
    assert not leaving.has_time_for(1_000, 6_700)

"""More new callers than are served: the newest come first, the oldest are sent elsewhere."""

from collections import deque

import pytest

from cicadaledge.wire import PendingConnections

PATIENCE_MS = 250.0
CALLER_WAITS_MS = 1_000.0
TURN_MS = 50.0


def test_the_newest_is_taken_and_the_oldest_is_cut():
    line = PendingConnections(PATIENCE_MS, 10)
    for now_ms in (0.0, 100.0, 200.0):
        line.add(now_ms, now_ms)
    assert line.shed(PATIENCE_MS) == []
    assert line.pop_newest() == 200.0
    assert line.shed(PATIENCE_MS + 50.0) == [0.0]
    assert len(line) == 1
    assert line.shed(PATIENCE_MS + 101.0) == [100.0]
    with pytest.raises(IndexError):
        line.pop_newest()


def test_those_beyond_the_most_are_cut_at_once():
    line = PendingConnections(PATIENCE_MS, 3)
    for number in range(5):
        line.add(number, 0.0)
    assert line.shed(0.0) == [0, 1]


class InOrder:
    """The kernel's queue: in order of arrival, and new ones are dropped while it is full."""

    def __init__(self, most):
        self._most = most
        self._line = deque()

    def __len__(self):
        return len(self._line)

    def add(self, one, now_ms):
        if len(self._line) < self._most:
            self._line.append(one)

    def take(self):
        return self._line.popleft()

    def cut(self, now_ms):
        return []


def play_flood(line, *, arrivals=20, served=5, turns=400):
    """Return the parts of the callers that were served and that were told, while they waited."""
    in_time = told = 0
    for turn in range(turns):
        now_ms = turn * TURN_MS
        for _ in range(arrivals):
            line.add(now_ms, now_ms)
        told += sum(now_ms - since_ms < CALLER_WAITS_MS for since_ms in line.cut(now_ms))
        for _ in range(min(served, len(line))):
            in_time += now_ms - line.take() < CALLER_WAITS_MS
    return in_time / (arrivals * turns), told / (arrivals * turns)


def test_a_flood_is_served_as_far_as_time_reaches_and_the_rest_is_told():
    """In order of arrival nearly nobody is served, as all have left before their turn."""
    in_order, _ = play_flood(InOrder(128))
    assert in_order < 0.03
    served, told = play_flood(PendingConnections(PATIENCE_MS, 128))
    assert served == pytest.approx(0.25, abs=0.01)
    assert served + told > 0.97

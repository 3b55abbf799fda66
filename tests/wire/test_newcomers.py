"""Tests of the queue of pending connections under overload."""

from collections import deque

import pytest

from cicadaledge.wire import PendingConnections

MAX_WAIT_MS = 250.0
CALLER_TIMEOUT_MS = 1_000.0
TURN_MS = 50.0


def test_the_newest_connection_is_served_and_the_oldest_is_shed():
    queue = PendingConnections(MAX_WAIT_MS, 10)
    for now_ms in (0.0, 100.0, 200.0):
        queue.add(now_ms, now_ms)
    assert queue.shed(MAX_WAIT_MS) == []
    assert queue.pop() == 200.0
    assert queue.shed(MAX_WAIT_MS + 50.0) == [0.0]
    assert len(queue) == 1
    assert queue.shed(MAX_WAIT_MS + 101.0) == [100.0]
    with pytest.raises(IndexError):
        queue.pop()


def test_connections_above_the_maximum_length_are_shed():
    queue = PendingConnections(MAX_WAIT_MS, 3)
    for number in range(5):
        queue.add(number, 0.0)
    assert queue.shed(0.0) == [0, 1]


class FifoQueue:
    """Queue like the kernel's backlog: in order of arrival, dropping new entries while full."""

    def __init__(self, max_pending):
        self._max_pending = max_pending
        self._queue = deque()

    def __len__(self):
        return len(self._queue)

    def add(self, connection, now_ms):
        if len(self._queue) < self._max_pending:
            self._queue.append(connection)

    def pop(self):
        return self._queue.popleft()

    def shed(self, now_ms):
        return []


def simulate_overload(queue, *, arrivals=20, served=5, turns=400):
    """Return the fractions of callers served and rejected before their timeout."""
    in_time = rejected = 0
    for turn in range(turns):
        now_ms = turn * TURN_MS
        for _ in range(arrivals):
            queue.add(now_ms, now_ms)
        rejected += sum(now_ms - added_ms < CALLER_TIMEOUT_MS for added_ms in queue.shed(now_ms))
        for _ in range(min(served, len(queue))):
            in_time += now_ms - queue.pop() < CALLER_TIMEOUT_MS
    return in_time / (arrivals * turns), rejected / (arrivals * turns)


def test_under_overload_callers_are_served_or_rejected_before_their_timeout():
    """In order of arrival nearly all callers time out before their turn."""
    fifo_served, _ = simulate_overload(FifoQueue(128))
    assert fifo_served < 0.03
    served, rejected = simulate_overload(PendingConnections(MAX_WAIT_MS, 128))
    assert served == pytest.approx(0.25, abs=0.01)
    assert served + rejected > 0.97

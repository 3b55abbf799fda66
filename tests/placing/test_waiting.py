"""Requests that wait at a router: their order, and how long waiting helps their callers."""

import math

import pytest

from cicadaledge.placing import (
    Chosen,
    Placement,
    Refused,
    ShareUse,
    WaitingQueue,
    WaitingRequest,
    WaitingSettings,
    waiting_group,
)
from cicadaledge.routing import ServerEntry, ServerState

FULL = Refused("full", 150.0)
SETTINGS = WaitingSettings()


def chosen() -> Chosen:
    entry = ServerEntry("a", "pool", "h", 1, "z", ServerState.READY, 6, 0.0, 1, 1)
    return Chosen(entry, Placement("a", 0, 0), 0.0)


def waiting(
    group: str = "",
    *,
    rank: int = 0,
    over_share: bool = False,
    work_ms: float = 50.0,
    joined_ms: float = 0.0,
    latest_start_ms: float = 1_600.0,
    size_bytes: int = 0,
    objective_start_ms: float = math.inf,
) -> WaitingRequest:
    return WaitingRequest(
        group,
        rank,
        over_share,
        work_ms,
        joined_ms,
        latest_start_ms,
        FULL,
        size_bytes,
        objective_start_ms,
    )


def queue_of(*requests: WaitingRequest, now_ms: float = 0.0) -> WaitingQueue:
    queue = WaitingQueue(SETTINGS)
    for request in requests:
        queue.add(request, now_ms)
    return queue


def test_the_next_is_served_by_rank_then_by_share_then_by_latest_start():
    in_order = [
        waiting(latest_start_ms=1_000.0),
        waiting(latest_start_ms=2_000.0),
        waiting(over_share=True, latest_start_ms=500.0),
        waiting(rank=1, latest_start_ms=100.0),
    ]
    queue = queue_of(*reversed(in_order))
    assert [one for one, _ in queue.serve(lambda one: chosen(), 10.0)] == in_order
    assert not queue


def test_a_request_that_finds_no_server_holds_up_only_its_own_group():
    bound = [waiting("engine-0"), waiting("engine-0")]
    free = waiting("engine-1", latest_start_ms=9_000.0)
    queue = queue_of(*bound, free)
    tried = []

    def place(one: WaitingRequest) -> Chosen | Refused:
        tried.append(one)
        return chosen() if one is free else FULL

    assert [one for one, _ in queue.serve(place, 10.0)] == [free]
    assert tried == [bound[0], free]
    assert queue.has_group("engine-0")
    assert not queue.has_group("engine-1")


def test_throttled_accounts_do_not_hold_up_others():
    assert waiting_group("e", "flood", ShareUse(2.0, admitted_fraction=0.3)) != waiting_group(
        "e", "small", ShareUse()
    )
    assert waiting_group("e", "one", ShareUse()) == waiting_group("e", "other", ShareUse())


def test_a_burst_waits_as_long_as_its_callers_have_time():
    burst = [waiting(latest_start_ms=1_600.0) for _ in range(20)]
    queue = queue_of(*burst)
    assert queue.take_hopeless(1_599.0) == []
    assert queue.take_hopeless(1_601.0) == burst


def test_a_request_that_the_rate_of_starts_cannot_reach_in_time_is_refused_at_once():
    """Ten start in a second, so that the last of forty would start after four seconds."""
    last = waiting(latest_start_ms=9_000.0)
    queue = queue_of(*[waiting(latest_start_ms=5_000.0) for _ in range(10)], last)
    for number in range(10):
        placed = iter([chosen()])
        queue.serve(lambda one, placed=placed: next(placed, FULL), number * 100.0)
    for _ in range(40):
        queue.add(waiting(joined_ms=900.0, latest_start_ms=2_500.0), 900.0)
    assert 22 <= len(queue.take_hopeless(1_000.0)) <= 28


def play_load(
    load: float,
    *,
    seconds: float = 20.0,
    settings: WaitingSettings = SETTINGS,
) -> tuple[float, float]:
    """Let evenly arriving callers with 2 s each wait for 16 servers whose work takes 0.4 s.

    Returns:
        The answered fraction of what the servers can do, and the mean wait of the last second.
    """
    queue = WaitingQueue(settings)
    ends_ms: list[float] = []
    answered = 0
    waits_ms: list[float] = []
    arrivals = 0.0
    for step in range(int(seconds * 200)):
        now_ms = step * 5.0
        ends_ms = [end_ms for end_ms in ends_ms if end_ms > now_ms]
        arrivals += load * 40 * 0.005
        while arrivals >= 1:
            arrivals -= 1
            queue.add(
                waiting(joined_ms=now_ms, latest_start_ms=now_ms + 1_600.0, work_ms=400.0), now_ms
            )

        def place(
            one: WaitingRequest, at_ms: float = now_ms, running: list[float] = ends_ms
        ) -> Chosen | Refused:
            if len(running) >= 16:
                return FULL
            running.append(at_ms + 400.0)
            return chosen()

        for one, _ in queue.serve(place, now_ms):
            answered += 1
            if now_ms >= (seconds - 1) * 1000:
                waits_ms.append(now_ms - one.joined_ms)
        queue.take_hopeless(now_ms)
    possible = min(load, 1.0) * 40 * seconds
    return answered / possible, sum(waits_ms) / len(waits_ms)


@pytest.mark.parametrize("load", [0.7, 1.0, 1.3, 2.0])
def test_servers_are_kept_busy_and_answers_of_an_overload_stay_in_time(load):
    """In an overload, callers wait for at most a quarter of the 1.6 s that they have."""
    answered, wait_ms = play_load(load)
    assert answered >= 0.97
    assert wait_ms <= 400.0


def test_waiting_for_as_long_as_callers_have_serves_no_more_in_an_overload():
    """It only delays every answer, which is why waits are cut there."""
    endless = WaitingSettings(overload_ratio=1.0)
    answered, wait_ms = play_load(2.0)
    answered_later, longer_wait_ms = play_load(2.0, settings=endless)
    assert answered_later <= answered + 0.02
    assert longer_wait_ms >= 2 * wait_ms


def test_an_overload_ends_when_nobody_has_waited_in_vain_for_a_while():
    queue = queue_of(waiting(latest_start_ms=100.0))
    assert len(queue.take_hopeless(101.0)) == 1
    assert queue.is_overloaded(102.0)
    assert not queue.is_overloaded(101.0 + SETTINGS.standing_ms)


def test_the_queue_is_bounded_in_requests_and_bytes_and_keeps_the_first_in_order():
    settings = WaitingSettings(max_requests=3, max_bytes=1_000)
    queue = WaitingQueue(settings)
    lowest = waiting(rank=1)
    queue.add(lowest, 0.0)
    kept = [waiting(latest_start_ms=1_000.0 + number) for number in range(3)]
    for one in kept:
        queue.add(one, 0.0)
    assert queue.take_hopeless(0.0) == [lowest]
    large = waiting(size_bytes=2_000, latest_start_ms=900.0)
    queue.remove(kept[0])
    queue.add(large, 0.0)
    assert queue.take_hopeless(0.0) == [large]
    assert kept[1] in queue


def test_a_request_whose_caller_left_is_not_served():
    gone, here = waiting(), waiting()
    queue = queue_of(gone, here)
    queue.remove(gone)
    queue.remove(gone)
    assert [one for one, _ in queue.serve(lambda one: chosen(), 0.0)] == [here]


def test_requests_past_their_objective_do_not_delay_others_in_an_overload():
    """In a lasting overload all waited until their objective was over, and were answered late."""
    late = waiting(latest_start_ms=10_000.0, objective_start_ms=300.0)
    queue = queue_of(late)
    assert queue.take_hopeless(SETTINGS.standing_ms - 1) == []
    assert queue.take_hopeless(SETTINGS.standing_ms) == [late]


def test_without_an_objective_a_request_waits_a_fraction_of_its_time_in_an_overload():
    queue = queue_of(waiting(latest_start_ms=10_000.0))
    assert queue.take_hopeless(SETTINGS.standing_ms) == []
    assert len(queue.take_hopeless(2_501.0)) == 1

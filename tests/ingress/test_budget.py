"""Who gives way when the memory for what callers send is used up."""

from attrs import evolve

from cicadaledge.ingress import IngressBudget, IngressSettings

KILOBYTE = 1_024
# Room for 1 MiB.
SETTINGS = IngressSettings(memory_mb=10, memory_ratio=0.1)
FULL = SETTINGS.memory_bytes


class Crowd:
    """Holdings of a budget, and the order in which they gave way."""

    def __init__(self, **changes):
        self.budget = IngressBudget(evolve(SETTINGS, **changes))
        self.gave_way = []

    def add(self, name, size_bytes, now_ms, *, sent_ms=None, received_bytes=None):
        holding = self.budget.open(lambda: self.gave_way.append(name), now_ms)
        assert self.budget.try_resize(holding, size_bytes, now_ms)
        received_bytes = size_bytes if received_bytes is None else received_bytes
        holding.record_received(received_bytes, now_ms if sent_ms is None else sent_ms)
        return holding


def test_stalled_holdings_give_way_before_others_the_longest_stalled_first():
    crowd = Crowd()
    for name, sent_ms in (("b", 200.0), ("a", 100.0), ("busy", 1_000.0)):
        crowd.add(name, FULL // 3, 0.0, sent_ms=sent_ms)
    caller = crowd.add("caller", 0, 1_000.0)
    assert crowd.budget.try_resize(caller, 20 * KILOBYTE, 1_000.0)
    assert crowd.gave_way == ["a"]
    assert crowd.budget.try_resize(caller, FULL // 2, 1_000.0)
    assert crowd.gave_way == ["a", "b"]


def test_slow_holdings_give_way_the_slowest_first():
    crowd = Crowd()
    for name, received_bytes in (("slow", 9_000), ("slowest", 1_000), ("fast", 2_000_000)):
        crowd.add(name, FULL // 3, 0.0, sent_ms=1_000.0, received_bytes=received_bytes)
    caller = crowd.add("caller", 0, 1_000.0)
    assert crowd.budget.try_resize(caller, FULL // 3, 1_000.0)
    assert crowd.gave_way == ["slowest"]


def test_a_larger_holding_that_is_sent_fast_gives_way_only_after_a_wait():
    crowd = Crowd()
    crowd.add("large", FULL, 990.0, sent_ms=1_000.0)
    caller = crowd.add("caller", 0, 1_000.0)
    assert not crowd.budget.try_resize(caller, 20 * KILOBYTE, 1_000.0)
    assert crowd.budget.try_resize(caller, 20 * KILOBYTE, 1_050.0, waited_ms=250.0)
    assert crowd.gave_way == ["large"]


def test_a_large_request_does_not_take_the_memory_of_small_ones_that_are_sent_fast():
    crowd = Crowd()
    for number in range(100):
        crowd.add(str(number), FULL // 100, 990.0, sent_ms=1_000.0)
    caller = crowd.add("caller", 0, 1_000.0)
    assert not crowd.budget.try_resize(caller, FULL // 2, 1_050.0, waited_ms=900.0)
    assert crowd.gave_way == []


def test_complete_requests_and_those_that_wait_for_memory_do_not_count_as_stalled():
    crowd = Crowd()
    crowd.add("complete", FULL // 2, 0.0).is_complete = True
    crowd.add("waiting", FULL // 2, 0.0, received_bytes=10_000_000).is_waiting = True
    caller = crowd.add("caller", 0, 5_000.0)
    assert not crowd.budget.try_resize(caller, FULL // 2 + 1, 5_000.0)
    assert crowd.gave_way == []


def test_memory_is_given_back_once():
    crowd = Crowd()
    evicted = crowd.add("evicted", FULL, 0.0)
    caller = crowd.add("caller", FULL, 1_000.0)
    for holding in (evicted, evicted, caller, caller):
        crowd.budget.close(holding)
    assert (crowd.gave_way, crowd.budget.used_bytes, evicted.is_evicted) == (["evicted"], 0, True)


def test_a_single_body_of_the_largest_usual_size_has_room_on_the_smallest_router():
    budget = IngressBudget(IngressSettings())
    holding = budget.open(lambda: None, 0.0)
    assert budget.try_resize(holding, 2 * 4_194_304, 0.0)

"""Detection of failing servers from the outcomes at all routers of a large fleet."""

from test_placer import PLAIN_SERVICE, SETTLED_MS, Pool, call, entry

from cicadaledge.placing import Chosen, FailingServers, FleetLoad, LoadTracker
from cicadaledge.wire import LoadView, NameTable, ViewScope, decode_message, encode_message

NAMES = [f"d{number}" for number in range(9)]


def view_of(failures, *, ended=1, at_ms=0.0):
    """Return the view of a router at which *ended* requests to each server have ended."""
    load = LoadTracker(FleetLoad("r"))
    for name in NAMES:
        for _ in range(ended):
            load.record_attempt_outcome(name, at_ms, failed=name in failures)
    view = LoadView(1, int(ViewScope.SENDER), 1, False, load.own_uses(at_ms), [])
    return decode_message(encode_message(view, NameTable()), NameTable())


def fleet_of(failures, *, routers=20, ended=1, own="relay", at_ms=0.0):
    fleet = FleetLoad(own)
    fleet.set_roles(own, is_relay=True, members=routers + 1)
    for number in range(routers):
        fleet.apply_view(f"r{number}", view_of(failures, ended=ended, at_ms=at_ms), at_ms)
    return fleet


def excluded(fleet, now_ms=10.0):
    return FailingServers(LoadTracker(fleet)).excluded_servers("desk", NAMES, now_ms)


def test_a_failing_server_is_detected_from_one_failure_at_each_router():
    assert excluded(fleet_of({"d2"})) == {"d2"}
    assert excluded(fleet_of({"d2"}, routers=3)) == set()
    assert excluded(fleet_of(set())) == set()


def test_no_server_is_excluded_where_all_fail():
    assert excluded(fleet_of(set(NAMES))) == set()


def test_at_most_a_third_of_a_service_is_excluded():
    assert len(excluded(fleet_of({"d0", "d1", "d2", "d3"}))) == 3


def test_a_server_that_failed_is_probed_by_a_few_routers_before_all_use_it():
    probing = 0
    for number in range(100):
        fleet = fleet_of({"d2"}, routers=99, own=f"router-{number}")
        failing = FailingServers(LoadTracker(fleet))
        assert failing.excluded_servers("desk", NAMES, 10.0) == {"d2"}
        probing += "d2" not in failing.excluded_servers("desk", NAMES, 2_500.0)
        assert failing.excluded_servers("desk", NAMES, 6_000.0) == set()
    assert 0 < probing <= 10


def test_requests_avoid_a_server_that_fails_requests_of_other_routers():
    pool = Pool(*(entry(name, service="desk") for name in NAMES))
    pool.fleet.set_roles("r0", is_relay=True, members=21)
    for number in range(20):
        pool.fleet.apply_view(f"r{number}", view_of({"d2"}, at_ms=SETTLED_MS), SETTLED_MS)
    for number in range(30):
        chosen = pool.place(call(number), service=PLAIN_SERVICE, now_ms=SETTLED_MS + 10.0)
        assert isinstance(chosen, Chosen)
        assert chosen.server.server != "d2"

"""Learning of engine speeds over the whole fleet, and its effect on placing."""

import random

from test_placer import POOL, SETTLED_MS, Pool, call, entry

from cicadaledge.placing import (
    Chosen,
    EngineSpeeds,
    FleetLoad,
    LoadTracker,
    Placement,
    SpeedSettings,
)
from cicadaledge.wire import LoadView, NameTable, ViewScope, decode_message, encode_message

NAMES = [f"e{number}" for number in range(9)]
SETTINGS = SpeedSettings()


def tracker_of(waits, *, at_ms=0.0):
    """Return a load tracker with first-token times: server, measured time, expected time."""
    load = LoadTracker(FleetLoad("r0"))
    for server, waited_ms, expected_ms in waits:
        placement = Placement(server, 1_000, 1_000, expected_ms)
        load.record_start(placement, at_ms)
        load.record_first_token(placement)
        load.record_first_token_wait(placement, waited_ms, at_ms)
        load.record_end(placement)
    return load


def speeds_of(load, now_ms=100.0):
    return EngineSpeeds(SETTINGS, load).service_speeds("pool", NAMES, now_ms)


def test_an_engine_that_became_slow_is_detected_among_its_peers():
    random_source = random.Random(1)
    waits = [(name, random_source.uniform(50, 250), 120.0) for name in NAMES for _ in range(20)]
    assert speeds_of(tracker_of(waits)).slowness == {}
    slowed = [
        (name, waited * (3.5 if name == "e4" else 1), expected_ms)
        for name, waited, expected_ms in waits
    ]
    speeds = speeds_of(tracker_of(slowed))
    assert list(speeds.slowness) == ["e4"]
    assert 2.0 < speeds.slowness["e4"] < 3.5


def test_one_late_first_token_proves_nothing():
    waits = [(name, 120.0, 120.0) for name in NAMES for _ in range(10)]
    assert speeds_of(tracker_of([*waits, ("e4", 900.0, 120.0)])).slowness == {}


def test_engines_of_another_speed_are_predicted_from_measured_times():
    for speed_ratio in (0.5, 2.0):
        waits = [(name, 120.0 * speed_ratio, 120.0) for name in NAMES for _ in range(100)]
        speeds = speeds_of(tracker_of(waits))
        assert speeds.slowness == {}
        assert abs(speeds.factor - speed_ratio) < 0.12 * speed_ratio


def test_measurements_expire_so_that_a_slow_engine_is_tried_again():
    waits = [(name, 900.0 if name == "e4" else 120.0, 120.0) for name in NAMES for _ in range(20)]
    load = tracker_of(waits)
    speeds = EngineSpeeds(SETTINGS, load)
    assert "e4" in speeds.service_speeds("pool", NAMES, 100.0).slowness
    assert speeds.service_speeds("pool", NAMES, 4_000.0).slowness == {}


def test_measurements_of_all_routers_are_combined():
    slow = [("e4", 700.0, 120.0)] * 3
    usual = [(name, 120.0, 120.0) for name in NAMES for _ in range(3)]
    relay = FleetLoad("relay")
    relay.set_roles("relay", is_relay=True, members=20)
    for number in range(10):
        uses = tracker_of(slow + usual).own_uses(50.0)
        view = LoadView(1, int(ViewScope.SENDER), 1, False, uses, [])
        relay.apply_view(
            f"r{number}", decode_message(encode_message(view, NameTable()), NameTable()), 50
        )
    speeds = EngineSpeeds(SETTINGS, LoadTracker(relay)).service_speeds("pool", NAMES, 100.0)
    assert list(speeds.slowness) == ["e4"]
    alone = EngineSpeeds(SETTINGS, tracker_of(slow[:1] + usual[:9])).service_speeds(
        "pool", NAMES, 100.0
    )
    assert alone.slowness == {}


def slow_pool(slow):
    """Return a pool in which the first-token times show one engine to be slow."""
    pool = Pool(*(entry(name) for name in NAMES))
    for name in NAMES:
        for _ in range(20):
            placement = Placement(name, 1_000, 1_000, 120.0)
            pool.load.record_start(placement, SETTLED_MS)
            pool.load.record_first_token_wait(
                placement, 600.0 if name == slow else 120.0, SETTLED_MS
            )
            pool.load.record_end(placement)
    return pool


def test_a_shared_prefix_leaves_a_slow_engine_and_returns_when_it_recovers():
    healthy = Pool(*(entry(name) for name in NAMES))
    first_choice = healthy.place(call(1))
    assert isinstance(first_choice, Chosen)
    pool = slow_pool(first_choice.server.server)
    elsewhere = pool.place(call(1), now_ms=SETTLED_MS + 10.0)
    assert isinstance(elsewhere, Chosen)
    assert elsewhere.server.server != first_choice.server.server
    again = pool.place(call(2), now_ms=SETTLED_MS + 5_000.0)
    assert isinstance(again, Chosen)
    assert again.server.server == first_choice.server.server


def test_a_shared_prefix_whose_first_engine_is_cold_goes_to_the_next_by_rank():
    warm = Pool(*(entry(name) for name in NAMES))
    first_choice = warm.place(call(1))
    assert isinstance(first_choice, Chosen)
    cold = first_choice.server.server
    pool = Pool(*(entry(name, cold_ms=2 * SETTLED_MS if name == cold else 0.0) for name in NAMES))
    chosen = []
    for number in range(3):
        choice = pool.place(call(number))
        assert isinstance(choice, Chosen)
        pool.load.record_first_token(choice.placement)
        chosen.append(choice)
    assert cold not in {one.server.server for one in chosen}
    assert len({one.server.server for one in chosen}) == 1


def test_a_shared_prefix_still_has_an_engine_where_all_are_cold():
    pool = Pool(*(entry(name, cold_ms=2 * SETTLED_MS) for name in NAMES))
    assert isinstance(pool.place(call(1), service=POOL), Chosen)


def test_shared_parts_that_an_engine_has_not_cached_do_not_make_it_slow():
    """Prefixes assumed to be cached make the expected times too short while caches are empty.

    If such times counted, engines would appear slow and half of the requests would be refused for
    seconds when load begins.
    """
    pool = Pool(*(entry(name) for name in NAMES))
    for number in range(60):
        chosen = pool.place(call(number, shared=9_000, own=1_000), now_ms=SETTLED_MS)
        if isinstance(chosen, Chosen):
            pool.load.record_first_token_wait(chosen.placement, 5 * chosen.predicted_ms, SETTLED_MS)
            pool.load.record_end(chosen.placement)
    speeds = EngineSpeeds(SETTINGS, pool.load).service_speeds("pool", NAMES, SETTLED_MS + 10.0)
    assert (speeds.factor, speeds.slowness) == (1.0, {})


def test_a_request_restricted_to_a_region_keeps_the_factors_of_other_regions():
    north = [entry(f"n{number}") for number in range(4)]
    south = [entry(f"s{number}", zone="zone-b") for number in range(5)]
    pool = Pool(*north, *south)
    slow = pool.place(call(1)).server.server
    for one in north + south:
        for _ in range(20):
            placement = Placement(one.server, 1_000, 1_000, 120.0)
            pool.load.record_start(placement, SETTLED_MS)
            waited_ms = 480.0 if one.server == slow else 120.0
            pool.load.record_first_token_wait(placement, waited_ms, SETTLED_MS)
            pool.load.record_end(placement)
    later_ms = SETTLED_MS + 300.0
    elsewhere = "south" if slow.startswith("n") else "north"
    assert isinstance(
        pool.place(call(2, prefix="t"), regions=frozenset({elsewhere}), now_ms=later_ms), Chosen
    )
    assert pool.place(call(3), now_ms=later_ms + 10.0).server.server != slow

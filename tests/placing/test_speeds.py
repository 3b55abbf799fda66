"""What a fleet learns of its engines' speeds, and where requests go then."""

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


def book_of(waits, *, at_ms=0.0):
    """Return a load book that has seen first tokens: server, time waited, time expected."""
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


def test_an_engine_that_turned_slow_stands_out_from_its_peers():
    chance = random.Random(1)
    waits = [(name, chance.uniform(50, 250), 120.0) for name in NAMES for _ in range(20)]
    assert speeds_of(book_of(waits)).slowness == {}
    slowed = [(name, waited * (3.5 if name == "e4" else 1), due) for name, waited, due in waits]
    speeds = speeds_of(book_of(slowed))
    assert list(speeds.slowness) == ["e4"]
    assert 2.0 < speeds.slowness["e4"] < 3.5


def test_one_late_first_token_proves_nothing():
    waits = [(name, 120.0, 120.0) for name in NAMES for _ in range(10)]
    assert speeds_of(book_of([*waits, ("e4", 900.0, 120.0)])).slowness == {}


def test_engines_of_another_kind_are_predicted_by_what_they_do():
    for kind in (0.5, 2.0):
        waits = [(name, 120.0 * kind, 120.0) for name in NAMES for _ in range(100)]
        speeds = speeds_of(book_of(waits))
        assert speeds.slowness == {}
        assert abs(speeds.factor - kind) < 0.12 * kind


def test_evidence_is_forgotten_so_that_a_slow_engine_is_tried_again():
    waits = [(name, 900.0 if name == "e4" else 120.0, 120.0) for name in NAMES for _ in range(20)]
    load = book_of(waits)
    speeds = EngineSpeeds(SETTINGS, load)
    assert "e4" in speeds.service_speeds("pool", NAMES, 100.0).slowness
    assert speeds.service_speeds("pool", NAMES, 4_000.0).slowness == {}


def test_what_one_router_has_seen_all_of_them_know():
    slow = [("e4", 700.0, 120.0)] * 3
    usual = [(name, 120.0, 120.0) for name in NAMES for _ in range(3)]
    relay = FleetLoad("relay")
    relay.set_roles("relay", is_relay=True, members=20)
    for number in range(10):
        uses = book_of(slow + usual).own_uses(50.0)
        view = LoadView(1, int(ViewScope.SENDER), 1, False, uses, [])
        relay.apply_view(
            f"r{number}", decode_message(encode_message(view, NameTable()), NameTable()), 50
        )
    speeds = EngineSpeeds(SETTINGS, LoadTracker(relay)).service_speeds("pool", NAMES, 100.0)
    assert list(speeds.slowness) == ["e4"]
    alone = EngineSpeeds(SETTINGS, book_of(slow[:1] + usual[:9])).service_speeds(
        "pool", NAMES, 100.0
    )
    assert alone.slowness == {}


def slow_pool(slow):
    """Return a pool with one engine of which the fleet knows that it is slow."""
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


def test_drafts_leave_an_engine_that_turned_slow_and_return_when_it_is_well():
    well = Pool(*(entry(name) for name in NAMES))
    home = well.place(call(1))
    assert isinstance(home, Chosen)
    pool = slow_pool(home.server.server)
    elsewhere = pool.place(call(1), now_ms=SETTLED_MS + 10.0)
    assert isinstance(elsewhere, Chosen)
    assert elsewhere.server.server != home.server.server
    again = pool.place(call(2), now_ms=SETTLED_MS + 5_000.0)
    assert isinstance(again, Chosen)
    assert again.server.server == home.server.server


def test_a_draft_whose_home_is_cold_goes_to_the_next_engine_by_rank():
    warm = Pool(*(entry(name) for name in NAMES))
    home = warm.place(call(1))
    assert isinstance(home, Chosen)
    cold = home.server.server
    pool = Pool(*(entry(name, cold_ms=2 * SETTLED_MS if name == cold else 0.0) for name in NAMES))
    chosen = [pool.place(call(number)) for number in range(3)]
    assert all(isinstance(one, Chosen) for one in chosen)
    assert cold not in {one.server.server for one in chosen}
    assert len({one.server.server for one in chosen}) == 1


def test_where_all_engines_are_cold_a_draft_still_has_its_home():
    pool = Pool(*(entry(name, cold_ms=2 * SETTLED_MS) for name in NAMES))
    assert isinstance(pool.place(call(1), service=POOL), Chosen)


def test_shared_parts_that_an_engine_does_not_keep_do_not_make_it_slow():
    """At the start of a day prefixes were believed to be kept, and half was refused for seconds."""
    pool = Pool(*(entry(name) for name in NAMES))
    for number in range(60):
        chosen = pool.place(call(number, shared=9_000, own=1_000), now_ms=SETTLED_MS)
        if isinstance(chosen, Chosen):
            pool.load.record_first_token_wait(chosen.placement, 5 * chosen.predicted_ms, SETTLED_MS)
            pool.load.record_end(chosen.placement)
    speeds = EngineSpeeds(SETTINGS, pool.load).service_speeds("pool", NAMES, SETTLED_MS + 10.0)
    assert (speeds.factor, speeds.slowness) == (1.0, {})


def test_a_request_that_is_bound_to_a_region_does_not_hide_what_is_known_of_others():
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
        pool.place(call(2, subject="t"), regions=frozenset({elsewhere}), now_ms=later_ms), Chosen
    )
    assert pool.place(call(3), now_ms=later_ms + 10.0).server.server != slow

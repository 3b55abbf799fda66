"""Servers that may get requests, by version."""

from rollout_fleet import entry

from cicadaledge.rollouts import VersionGate, group_servers

REGIONS = {"a": "north", "b": "south"}


def groups_of(entries, former=frozenset({"v1"}), cold=()):
    return group_servers(entries, "v2", former, lambda name: name in cold, REGIONS.get)


def test_only_the_new_and_the_former_versions_count():
    entries = [entry("f0"), entry("n0", "v2"), entry("x0", "v3")]
    groups = groups_of(entries)
    assert groups.former == {"f0"}
    assert groups.new == ("n0",)
    assert groups_of(entries, former=frozenset()).former == {"f0", "x0"}


def test_a_few_servers_take_the_canary_with_one_in_each_region():
    # Spread over all new servers, a small fraction would not show a version that is bad under load.
    entries = [entry(f"f{n}") for n in range(40)]
    entries += [entry(f"n{n}", "v2", "a" if n else "b") for n in range(40)]
    groups = groups_of(entries)
    assert len(groups.canaries(0.02)) == 2
    assert "n0" in groups.canaries(0.02)
    assert len(groups.canaries(0.5)) == 20
    assert len(groups.canaries(1.0)) == 40


def test_cold_servers_are_used_only_if_all_are_cold():
    entries = [entry("n0", "v2"), entry("n1", "v2")]
    assert groups_of(entries, cold={"n0"}).new == ("n1",)
    assert set(groups_of(entries, cold={"n0", "n1"}).new) == {"n0", "n1"}


def held(gate, entries, seen_ms, orders_known_ms, now_ms):
    return gate.held(entries, lambda name: seen_ms.get(name, 0.0), orders_known_ms, now_ms)


def test_a_server_of_an_unknown_version_waits_until_the_orders_have_been_read_again():
    # An order may have been written before the server started; without one it is a replacement.
    gate = VersionGate()
    former, new = entry("f0"), entry("n0", "v2")
    assert held(gate, [former], {}, 100.0, 100.0) == frozenset()
    seen_ms = {"n0": 1_000.0}
    assert held(gate, [former, new], seen_ms, 900.0, 1_100.0) == {"n0"}
    assert held(gate, [former, new], seen_ms, 1_200.0, 1_300.0) == frozenset()


def test_a_server_is_not_held_for_longer_than_contact_takes_nor_if_it_is_the_only_one():
    gate = VersionGate()
    former, new = entry("f0"), entry("n0", "v2")
    held(gate, [former], {}, 100.0, 100.0)
    assert held(gate, [former, new], {"n0": 1_000.0}, 900.0, 6_000.0) == frozenset()
    gate = VersionGate()
    held(gate, [former], {}, 100.0, 100.0)
    assert held(gate, [new], {"n0": 1_000.0}, 900.0, 1_100.0) == frozenset()

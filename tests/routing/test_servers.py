"""The server directory with delayed, duplicate and foreign heartbeats."""

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.routing import ServerDirectory, ServerEntry, ServerState

BASE = ServerEntry("i-1", "s", "h", 1, "z", ServerState.READY, 6, 0.0, 1_000, 1)
DRAINING = evolve(BASE, state=ServerState.DRAINING, sequence=5)


def usable(directory: ServerDirectory) -> list[str]:
    return [entry.server for entry in directory.usable("s")]


def test_a_late_heartbeat_does_not_undo_draining():
    directory = ServerDirectory()
    directory.apply(BASE, 0.0)
    directory.apply(DRAINING, 1.0)
    directory.apply(evolve(BASE, sequence=4), 2.0)
    assert usable(directory) == []


def test_a_late_heartbeat_does_not_undo_a_removal():
    directory = ServerDirectory()
    directory.apply(evolve(BASE, sequence=4), 0.0)
    directory.remove("i-1", 1.0)
    directory.apply(evolve(BASE, sequence=3), 2.0)
    assert usable(directory) == []
    directory.apply(evolve(BASE, sequence=5), 3.0)
    assert usable(directory) == ["i-1"]


def test_a_new_incarnation_replaces_the_state_of_the_former_one():
    directory = ServerDirectory()
    directory.apply(DRAINING, 0.0)
    restarted = evolve(BASE, born_ms=2_000, sequence=1, cold_left_ms=500.0)
    assert directory.apply(restarted, 10.0)
    assert usable(directory) == ["i-1"]
    assert directory.first_seen_ms("i-1") == 10.0
    assert directory.cold_until_ms("i-1") == 510.0
    assert not directory.is_usable(BASE, 0.0)


def test_a_foreign_entry_hides_the_server_until_its_next_heartbeat():
    directory = ServerDirectory()
    directory.apply(BASE, 0.0)
    assert directory.mark_foreign("i-1")
    assert usable(directory) == []
    directory.apply(evolve(BASE, sequence=2), 1.0)
    assert usable(directory) == ["i-1"]


@given(st.permutations(range(6)))
def test_the_newest_entry_wins_in_whatever_order_they_come(order):
    entries = [
        evolve(BASE, sequence=number, born_ms=1_000 + 10 * (number // 3), slots=number + 1)
        for number in range(6)
    ]
    directory = ServerDirectory()
    for place in order:
        directory.apply(entries[place], float(place))
    (kept,) = directory.usable("s")
    assert kept.slots == 6

"""Which prompt parts are blamed for crashes, alone or as a group."""

from cicadaledge.suspects import blamed_groups


def runs(crashes, *requests):
    """Return for each crash the requests with a part, by default a different one in each."""
    return {crash: set(requests) or {f"request in {crash}"} for crash in crashes.split()}


def groups(*names):
    return {frozenset(name.split()) for name in names}


def crash_times(crashes, every_ms=1_000.0):
    return {crash: index * every_ms for index, crash in enumerate(crashes.split())}


def test_two_crashes_blame_no_part():
    assert blamed_groups({"fatal": runs("a b")}, crash_times("a b")) == set()


def test_three_crashes_blame_the_only_part_that_is_in_all_of_them():
    ran = {"fatal": runs("a b c"), "rare": runs("a b")}
    assert blamed_groups(ran, crash_times("a b c")) == groups("fatal")


def test_parts_of_one_request_that_explains_all_crashes_are_not_blamed():
    ran = {"shared": runs("a b c d e", "fatal")}
    assert blamed_groups(ran, crash_times("a b c d e")) == set()


def test_two_attempts_of_one_request_and_another_request_blame_their_part():
    ran = {"fatal": {**runs("a b", "first"), **runs("c", "second")}}
    assert blamed_groups(ran, crash_times("a b c")) == groups("fatal")


def test_servers_that_crash_at_the_same_moment_blame_no_part():
    """An outage of many servers interrupts requests that share rare parts on several of them."""
    crashed_ms = crash_times("a b c d e f g h i", every_ms=12.0)
    assert blamed_groups({"rare": runs("a b c d")}, crashed_ms) == set()
    assert blamed_groups({"rare": runs("a b c d e")}, {**crashed_ms, "j": 100.0}) == set()


def test_five_crashes_within_a_moment_blame_the_part_that_is_in_most_of_them():
    """Five requests with it came at once; the next ones crashed servers seven seconds later."""
    crashed_ms = {"a": 4_580.0, "b": 4_580.0, "c": 4_590.0, "d": 4_600.0, "e": 4_600.0}
    assert blamed_groups({"fatal": runs("a b c d e")}, crashed_ms) == groups("fatal")


def test_crashes_a_fifth_of_a_second_apart_are_several():
    """wattle-edge, seed 2: five crashes within 0.8 s blamed the part at three of nine routers."""
    crashed_ms = {"a": 4_580.0, "b": 4_870.0, "c": 4_960.0, "d": 5_190.0}
    assert blamed_groups({"fatal": runs("a b c d")}, crashed_ms) == groups("fatal")


def test_a_rare_part_in_a_minority_of_many_crashes_is_not_blamed():
    crashes = "a b c d e f g h"
    assert blamed_groups({"rare": runs("b d h")}, crash_times(crashes)) == set()


def test_a_part_in_four_of_ten_crashes_is_not_blamed():
    """Soak seed 39003: servers crashed again at once, so a harmless part got no answer for seconds."""
    crashes = "a b c d e f g h i j"
    assert blamed_groups({"rare": runs("a d g j")}, crash_times(crashes)) == set()


def test_a_part_is_found_among_crashes_with_other_causes():
    crashes = "a b c d e f g h i j"
    assert blamed_groups({"fatal": runs("a c e g i")}, crash_times(crashes)) == groups("fatal")


def test_a_part_in_five_of_many_crashes_is_blamed():
    """Later than the contact time after the fifth crash, three more requests may reach servers."""
    crashes = "a b c d e f g h i j k l m n"
    crashed_ms = crash_times(crashes, every_ms=400.0) | {"b": 50.0, "f": 1_700.0}
    assert blamed_groups({"fatal": runs("a b e f m")}, crashed_ms) == groups("fatal")


def test_two_parts_in_different_requests_are_both_blamed():
    crashes = "a b c d e f g h"
    ran = {"one": runs("a c e g"), "two": runs("b d f h"), "beside": runs("a b")}
    assert blamed_groups(ran, crash_times(crashes)) == groups("one", "two")


def test_parts_that_were_always_together_are_blamed_together():
    ran = {"one": runs("a b c"), "two": runs("a b c")}
    assert blamed_groups(ran, crash_times("a b c")) == groups("one two")


def test_a_crash_with_one_part_of_a_group_blames_this_part_only():
    ran = {"fatal": runs("a b c d"), "beside": runs("a b c")}
    assert blamed_groups(ran, crash_times("a b c d")) == groups("fatal")


def test_two_groups_in_overlapping_crashes_are_blamed_only_after_five():
    ran = {"one": runs("a b c"), "two": runs("b c d")}
    assert blamed_groups(ran, crash_times("a b c d")) == set()
    ran = {"one": runs("a b c d e"), "two": runs("b c d e f")}
    assert blamed_groups(ran, crash_times("a b c d e f")) == groups("one", "two")


def test_crashes_that_one_part_explains_blame_no_other_part():
    ran = {"fatal": runs("a b c d e f"), "beside": runs("a b c d e")}
    assert blamed_groups(ran, crash_times("a b c d e f")) == groups("fatal")

"""Which requests are blamed for crashes."""

from cicadaledge.suspects import blamed


def crash_times(*crashes, every_ms=100.0):
    return {crash: index * every_ms for index, crash in enumerate(crashes)}


def test_one_crash_blames_nobody():
    assert blamed({"fatal": {"a/1"}}, crash_times("a/1")) == set()


def test_two_crashes_blame_the_only_request_that_ran_in_both():
    running = {"fatal": {"a/1", "b/1"}, "one": {"a/1"}, "two": {"b/1"}}
    assert blamed(running, crash_times("a/1", "b/1")) == {"fatal"}


def test_two_crashes_blame_nobody_if_two_requests_ran_in_both():
    running = {"fatal": {"a/1", "b/1"}, "beside": {"a/1", "b/1"}}
    assert blamed(running, crash_times("a/1", "b/1")) == set()


def test_a_third_crash_decides_between_two_requests():
    running = {"fatal": {"a/1", "b/1", "c/1"}, "beside": {"a/1", "b/1"}}
    assert blamed(running, crash_times("a/1", "b/1", "c/1")) == {"fatal"}


def test_a_harmless_request_that_ran_in_each_of_three_crashes_is_not_blamed_with_the_other():
    """If blamed, it is refused for ten minutes, as only a complete answer clears a request."""
    crashes = {"a/1", "b/1", "c/1"}
    running = {"fatal": crashes, "hot": crashes}
    crashed_ms = crash_times("a/1", "b/1", "c/1", "d/1", "e/1")
    assert blamed(running, crashed_ms) == set()
    assert blamed({**running, "fatal": {*crashes, "d/1"}}, crashed_ms) == {"fatal"}


def test_five_crashes_blame_all_requests_that_ran_in_each():
    crashes = {"a/1", "b/1", "c/1", "d/1", "e/1"}
    running = {"fatal": crashes, "hot": crashes}
    assert blamed(running, dict.fromkeys(crashes, 0.0)) == {"fatal", "hot"}


def test_two_crashes_among_many_blame_nobody():
    crashes = [f"s{index}/1" for index in range(12)]
    assert blamed({"unlucky": {"s10/1", "s11/1"}}, crash_times(*crashes)) == set()


def test_many_crashes_long_before_do_not_count_in_favor_of_a_request():
    crashed_ms = {f"s{index}/1": 100.0 * index for index in range(12)}
    crashed_ms |= {"a/1": 60_000.0, "b/1": 60_300.0}
    assert blamed({"fatal": {"a/1", "b/1"}}, crashed_ms) == {"fatal"}


def test_crashes_that_are_explained_blame_nobody_else():
    running = {
        "fatal": {"a/1", "b/1", "c/1", "d/1"},
        "beside": {"a/1", "b/1", "c/1"},
        "other": {"e/1", "f/1", "g/1"},
    }
    crashed_ms = crash_times("a/1", "b/1", "c/1", "d/1", "e/1", "f/1", "g/1")
    assert blamed(running, crashed_ms) == {"fatal", "other"}

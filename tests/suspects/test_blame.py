"""Which requests are held to have crashed servers."""

from cicadaledge.suspects import blamed


def times(*crashes, every_ms=100.0):
    return {crash: place * every_ms for place, crash in enumerate(crashes)}


def test_one_crash_blames_nobody():
    assert blamed({"fatal": {"a/1"}}, times("a/1")) == set()


def test_two_crashes_blame_the_only_request_that_ran_in_both():
    running = {"fatal": {"a/1", "b/1"}, "one": {"a/1"}, "two": {"b/1"}}
    assert blamed(running, times("a/1", "b/1")) == {"fatal"}


def test_two_crashes_blame_nobody_if_two_requests_ran_in_both():
    running = {"fatal": {"a/1", "b/1"}, "beside": {"a/1", "b/1"}}
    assert blamed(running, times("a/1", "b/1")) == set()


def test_a_third_crash_tells_them_apart():
    running = {"fatal": {"a/1", "b/1", "c/1"}, "beside": {"a/1", "b/1"}}
    assert blamed(running, times("a/1", "b/1", "c/1")) == {"fatal"}


def test_a_sound_request_that_ran_in_each_of_three_crashes_is_not_blamed_with_the_other():
    """It was refused for ten minutes, as what is refused cannot be answered and cleared."""
    crashes = {"a/1", "b/1", "c/1"}
    running = {"fatal": crashes, "hot": crashes}
    crashed_ms = times("a/1", "b/1", "c/1", "d/1", "e/1")
    assert blamed(running, crashed_ms) == set()
    assert blamed({**running, "fatal": {*crashes, "d/1"}}, crashed_ms) == {"fatal"}


def test_five_crashes_are_enough_whoever_else_ran_in_each():
    crashes = {"a/1", "b/1", "c/1", "d/1", "e/1"}
    running = {"fatal": crashes, "hot": crashes}
    assert blamed(running, dict.fromkeys(crashes, 0.0)) == {"fatal", "hot"}


def test_two_crashes_among_many_are_chance():
    crashes = [f"s{place}/1" for place in range(12)]
    assert blamed({"unlucky": {"s10/1", "s11/1"}}, times(*crashes)) == set()


def test_many_crashes_long_before_excuse_nobody():
    crashed_ms = {f"s{place}/1": 100.0 * place for place in range(12)}
    crashed_ms |= {"a/1": 60_000.0, "b/1": 60_300.0}
    assert blamed({"fatal": {"a/1", "b/1"}}, crashed_ms) == {"fatal"}


def test_crashes_that_are_explained_blame_nobody_else():
    running = {
        "fatal": {"a/1", "b/1", "c/1", "d/1"},
        "beside": {"a/1", "b/1", "c/1"},
        "other": {"e/1", "f/1", "g/1"},
    }
    crashed_ms = times("a/1", "b/1", "c/1", "d/1", "e/1", "f/1", "g/1")
    assert blamed(running, crashed_ms) == {"fatal", "other"}

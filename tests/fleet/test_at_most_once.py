"""Non-idempotent requests run at most once; a refusal with `not_run` means that none ran."""

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest

from cicadaledge.codes import Code
from cicadaledge.loadtool import Caller

pytestmark = pytest.mark.fleet

# Another router reads the end of a call from the log within its poll, which is far shorter.
SETTLED_S = 5.0


def book(caller, url, key, account="ash", body=b"cycle 7"):
    return caller.service(
        url,
        account,
        "POST",
        "/shop/bookings",
        body,
        {"Idempotency-Key": key, "X-Deadline-Ms": "4000"},
    )


def book_settled(caller, url, key):
    """Repeat a call until the router has read from the log how the first call with the key ended."""
    deadline = time.monotonic() + SETTLED_S
    while time.monotonic() < deadline:
        result = book(caller, url, key)
        if result.code != Code.CLAIM_IN_PROGRESS:
            break
        assert result.run_state == "may_have_run"
        time.sleep(0.05)
    return result


def runs_of(launcher):
    journals = launcher.journals()
    return [
        run
        for name, journal in journals.items()
        if name.startswith("shop")
        for run in journal["runs"]
    ]


def check_history(launcher, results):
    """Check that no key ran twice and that no call refused with `not_run` ran."""
    runs = runs_of(launcher)
    repeated = {
        key: n for key, n in Counter(run["key"] for run in runs if run["key"]).items() if n > 1
    }
    assert repeated == {}
    ran = {run["request_id"].partition(".")[0] for run in runs}
    ran_despite_refusal = [r for r in results if r.run_state == "not_run" and r.request_id in ran]
    assert ran_despite_refusal == []


def test_a_key_sent_to_all_routers_at_once_runs_once(small_fleet):
    caller = Caller()
    urls = list(small_fleet.router_urls().values())
    calls = [(url, f"key-{n}") for n in range(20) for url in urls]
    with ThreadPoolExecutor(16) as threads:
        results = list(threads.map(lambda call: book(caller, *call), calls))
    check_history(small_fleet, results)
    assert len(runs_of(small_fleet)) == 20
    for number in range(20):
        answers = {book_settled(caller, url, f"key-{number}").text for url in urls}
        assert len(answers) == 1, "every router returns the recorded answer"
    assert len(runs_of(small_fleet)) == 20


def test_a_key_with_another_body_is_refused(small_fleet):
    caller = Caller()
    urls = list(small_fleet.router_urls().values())
    assert book(caller, urls[0], "k").status == 201
    other = book(caller, urls[1], "k", body=b"cycle 8")
    assert (other.status, other.code, other.run_state) == (422, 1008, "not_run")
    assert book(caller, urls[1], "k", account="birch").status == 201


def test_an_answer_lost_after_the_action_is_never_run_again(small_fleet):
    caller = Caller()
    urls = list(small_fleet.router_urls().values())
    for name in ("shop-north-a-0", "shop-north-b-0"):
        small_fleet.faults(name, {"lose_answers": 3})
    results = [book(caller, urls[n % 3], f"key-{n}") for n in range(10)]
    lost = [n for n, result in enumerate(results) if result.status != 201]
    assert len(lost) == 6
    assert all(results[n].run_state == "may_have_run" for n in lost)
    again = [book(caller, url, f"key-{n}") for n in lost for url in urls]
    assert {result.run_state for result in again} == {"may_have_run"}
    check_history(small_fleet, results + again)


# Guards against bookings that were made twice: callers took the server's 503 for a promise that
# nothing had run, and sent the call again.
def test_a_refusal_of_a_call_that_ran_does_not_reach_the_caller(small_fleet):
    caller = Caller()
    urls = list(small_fleet.router_urls().values())
    for name in ("shop-north-a-0", "shop-north-b-0"):
        small_fleet.faults(name, {"refuse_after_run": 8})
    without_key = [
        caller.service(urls[n % 3], "ash", "POST", "/shop/bookings", b"x") for n in range(4)
    ]
    with_key = [book(caller, urls[n % 3], f"key-{n}") for n in range(4)]
    refused = without_key + with_key
    assert {(one.status, one.code, one.run_state) for one in refused} == {
        (502, 3007, "may_have_run")
    }
    again = [book_settled(caller, url, f"key-{n}") for n in range(4) for url in urls]
    assert {(one.status, one.run_state) for one in again} == {(502, "may_have_run")}
    assert len(runs_of(small_fleet)) == 8
    check_history(small_fleet, refused + again)


def test_without_a_key_a_lost_answer_is_not_sent_again(small_fleet):
    caller = Caller()
    small_fleet.faults("shop-north-a-0", {"lose_answers": 1})
    small_fleet.faults("shop-north-b-0", {"lose_answers": 1})
    url = next(iter(small_fleet.router_urls().values()))
    results = [caller.service(url, "ash", "POST", "/shop/bookings", b"x") for _ in range(4)]
    assert sum(1 for result in results if result.run_state == "may_have_run") == 2
    assert len(runs_of(small_fleet)) == 4


def test_a_claim_whose_append_seemed_to_fail_is_released(small_fleet):
    caller = Caller()
    urls = list(small_fleet.router_urls().values())
    small_fleet.platform("/standin/faults", {"lose_appends": 1})
    first = book(caller, urls[0], "k")
    assert (first.code, first.run_state) == (4001, "not_run")
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        again = book(caller, urls[1], "k")
        if again.status == 201:
            break
        time.sleep(0.2)
    assert again.status == 201
    check_history(small_fleet, [first, again])


def test_during_a_log_outage_calls_with_keys_are_refused_and_do_not_run(small_fleet):
    caller = Caller()
    urls = list(small_fleet.router_urls().values())
    assert book(caller, urls[0], "before").status == 201
    time.sleep(0.5)  # the answer is recorded in the log after it was returned
    small_fleet.platform("/standin/faults", {"outage": True})
    time.sleep(3)
    results = [book(caller, url, "during") for url in urls]
    assert {(r.code, r.run_state) for r in results} == {(4001, "not_run")}
    assert book(caller, urls[1], "before").status == 201
    stock = caller.service(urls[0], "ash", "GET", "/shop/stock")
    assert stock.status == 200, "idempotent calls do not need the log"
    small_fleet.platform("/standin/faults", {"outage": False})
    time.sleep(1.5)
    assert book(caller, urls[2], "during").status == 201
    check_history(small_fleet, results)


def test_a_key_whose_router_was_killed_is_never_run_again(small_fleet):
    caller = Caller()
    urls = small_fleet.router_urls()
    victim = small_fleet.routers[0]
    for name in ("shop-north-a-0", "shop-north-b-0"):
        small_fleet.faults(name, {"delay_ms": 1500})
    with ThreadPoolExecutor(4) as threads:
        futures = [threads.submit(book, caller, urls[victim], f"key-{n}") for n in range(4)]
        time.sleep(0.8)
        small_fleet.kill(victim)
        results = [future.result() for future in futures]
    assert all(result.status == 0 for result in results)
    for name in ("shop-north-a-0", "shop-north-b-0"):
        small_fleet.faults(name, {"delay_ms": 0})
    others = [urls[name] for name in small_fleet.routers[1:]]
    again = [book(caller, url, f"key-{n}") for n in range(4) for url in others]
    assert {result.run_state for result in again} == {"may_have_run"}
    check_history(small_fleet, results + again)


def test_all_routers_restarted_keep_the_answers_even_past_the_logs_retention(fleet):
    launcher = fleet(router={"timing": {"claim_refresh_ms": 1000, "snapshot_refresh_ms": 1000}})
    caller = Caller()
    urls = list(launcher.router_urls().values())
    first = [book(caller, urls[n % 3], f"key-{n}") for n in range(6)]
    time.sleep(7)
    ends = launcher.platform("/standin/faults", {"retention_ms": 4000})
    assert ends["ends"]["claims"] > 0
    time.sleep(6)
    for name in launcher.routers:
        launcher.kill(name)
    launcher.platform("/standin/faults", {"retention_ms": 0})
    for name in launcher.routers:
        launcher.start_router(name)
    for name in launcher.routers:
        launcher.wait_ready(name)
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        again = [book(caller, urls[(n + 1) % 3], f"key-{n}") for n in range(6)]
        if all(result.status == 201 for result in again):
            break
        time.sleep(0.3)
    assert [result.text for result in again] == [result.text for result in first]
    check_history(launcher, first + again)

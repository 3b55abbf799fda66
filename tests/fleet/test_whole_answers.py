"""Callers receive the complete answer to their own request, or an error."""

import json
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from cicadaledge.loadtool import Caller
from cicadaledge.loadtool._deployment import account_key
from cicadaledge.standins import expected_text

pytestmark = pytest.mark.fleet

ENGINES = ("models-north-a-0", "models-north-b-0")
SERVICES = ("shop-north-a-0", "shop-north-b-0")


def chat_many(launcher, prompts, stream=True):
    caller = Caller()
    urls = list(launcher.router_urls().values())
    with ThreadPoolExecutor(6) as threads:
        calls = enumerate(prompts)
        return list(
            threads.map(
                lambda call: caller.chat(urls[call[0] % 3], "ash", call[1], stream=stream), calls
            )
        )


def check_equal(prompts, results):
    for prompt, result in zip(prompts, results, strict=True):
        assert result.complete, result
        assert result.text == expected_text(prompt)


def test_broken_connections_are_resumed_at_the_server(small_fleet):
    for name in ENGINES:
        small_fleet.faults(name, {"drop_streams": 8})
    prompts = [f"p{n} [[tokens=30]]" for n in range(12)]
    check_equal(prompts, chat_many(small_fleet, prompts))
    assert all(small_fleet.faults(name, {})["faults"]["drop_streams"] == 0 for name in ENGINES)


@pytest.mark.parametrize("stream", [True, False])
def test_crossed_answers_are_never_delivered(small_fleet, stream):
    for name in ENGINES:
        small_fleet.faults(name, {"cross_answers": 3})
    prompts = [f"p{n} [[tokens=10]]" for n in range(12)]
    check_equal(prompts, chat_many(small_fleet, prompts, stream))


def test_a_crossed_service_answer_is_never_delivered(small_fleet):
    caller = Caller()
    crossed_per_server = 2
    for name in SERVICES:
        small_fleet.faults(name, {"cross_answers": crossed_per_server})
    urls = list(small_fleet.router_urls().values())
    results = [
        caller.service(urls[n % 3], "ash", "POST", "/shop/x", b"", {"Idempotency-Key": f"k{n}"})
        for n in range(8)
    ]
    refused = [result for result in results if result.status != 201]
    runs = {name: len(small_fleet.journal(name)["runs"]) for name in SERVICES}
    assert sum(runs.values()) == 8
    assert len(refused) == sum(min(crossed_per_server, count) for count in runs.values()), runs
    assert {result.run_state for result in refused} == {"may_have_run"}


def test_an_answer_is_continued_at_another_server_when_its_server_crashes(small_fleet):
    caller = Caller()
    url = next(iter(small_fleet.router_urls().values()))
    prompt = "long draft [[tokens=300]]"

    def kill_server(result):
        if result.tokens == 20:
            busy = [n for n in ENGINES if small_fleet.journal(n)["runs"]]
            threading.Thread(target=small_fleet.faults, args=(busy[0], {"fall_cold": True})).start()

    result = caller.chat(url, "ash", prompt, on_event=kill_server)
    assert result.complete and result.text == expected_text(prompt)
    assert sum(len(small_fleet.journal(name)["runs"]) for name in ENGINES) == 2


def test_an_answer_that_differs_when_run_again_ends_with_an_error_event(small_fleet):
    caller = Caller()
    url = next(iter(small_fleet.router_urls().values()))

    def kill_server(result):
        if result.tokens == 20:
            busy = [n for n in ENGINES if small_fleet.journal(n)["runs"]]
            threading.Thread(target=small_fleet.faults, args=(busy[0], {"fall_cold": True})).start()

    result = caller.chat(url, "ash", "[[random]] [[tokens=300]]", on_event=kill_server)
    assert not result.complete
    assert (result.code, result.run_state) == (3003, "may_have_run")


def test_a_caller_whose_router_was_killed_gets_the_rest_from_another(small_fleet):
    caller = Caller()
    urls = small_fleet.router_urls()
    victim = small_fleet.routers[1]
    prompts = [f"draft {n} [[tokens=200]]" for n in range(4)]

    def run(prompt):
        return caller.chat(urls[victim], "ash", prompt)

    with ThreadPoolExecutor(4) as threads:
        futures = [threads.submit(run, prompt) for prompt in prompts]
        time.sleep(0.7)
        small_fleet.kill(victim)
        results = [future.result() for future in futures]
    other = urls[small_fleet.routers[0]]
    runs = sum(len(small_fleet.journal(name)["runs"]) for name in ENGINES)
    for prompt, cut in zip(prompts, results, strict=True):
        assert not cut.complete
        headers = {"Last-Event-ID": cut.last_event_id} if cut.last_event_id else {}
        rest = caller.chat(other, "ash", prompt, headers=headers)
        assert rest.complete and cut.text + rest.text == expected_text(prompt)
    begun = sum(1 for result in results if result.last_event_id)
    again = sum(len(small_fleet.journal(name)["runs"]) for name in ENGINES)
    assert again - runs == len(prompts) - begun, "resumed streams are not run again"


def test_a_resumed_answer_is_continued_when_its_server_crashes_too(small_fleet):
    caller = Caller()
    urls = small_fleet.router_urls()
    victim, other = small_fleet.routers[1], small_fleet.routers[0]
    prompt = "twice unlucky [[tokens=400]]"
    cut = caller.chat(urls[victim], "ash", prompt, on_event=kill_at(small_fleet, victim, 10))
    assert not cut.complete and cut.tokens >= 10

    def kill_server(result):
        if result.tokens == 20:
            busy = [name for name in ENGINES if small_fleet.journal(name)["runs"]]
            threading.Thread(target=small_fleet.faults, args=(busy[0], {"fall_cold": True})).start()

    headers = {"Last-Event-ID": cut.last_event_id}
    rest = caller.chat(urls[other], "ash", prompt, headers=headers, on_event=kill_server)
    assert rest.complete, rest
    assert cut.text + rest.text == expected_text(prompt)


def kill_at(launcher, router, tokens):
    """Return a callback that kills a router when an answer has a number of tokens."""

    def kill(result):
        if result.tokens == tokens:
            launcher.kill(router)

    return kill


def test_an_event_id_of_another_request_or_account_is_refused(small_fleet):
    caller = Caller()
    url = next(iter(small_fleet.router_urls().values()))
    first = caller.chat(url, "ash", "mine [[tokens=5]]")
    headers = {"Last-Event-ID": first.last_event_id}
    for account, prompt in (("birch", "mine [[tokens=5]]"), ("ash", "other [[tokens=5]]")):
        refused = caller.chat(url, account, prompt, headers=headers)
        assert (refused.status, refused.code) == (400, 1006)


def test_a_disconnected_caller_frees_its_slot(small_fleet):
    caller = Caller(timeout_s=0.4)
    url = next(iter(small_fleet.router_urls().values()))
    with ThreadPoolExecutor(16) as threads:
        list(
            threads.map(
                lambda n: caller.chat(url, "ash", f"{n} [[tokens=3000]]", stream=False), range(16)
            )
        )
    time.sleep(2)
    patient = Caller()
    after = patient.chat(url, "ash", "after [[tokens=5]]", headers={"X-Deadline-Ms": "5000"})
    assert after.complete, after


# Guards against a status that promises "not run" to a caller that closed only its sending side.
def test_a_caller_that_stops_sending_is_not_told_that_its_running_request_has_not_run(small_fleet):
    address = urllib3.util.parse_url(next(iter(small_fleet.router_urls().values())))
    body = json.dumps(
        {"model": "draft", "messages": [{"role": "user", "content": "p [[tokens=300]]"}]}
    )
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address.host}\r\n"
        f"Authorization: Bearer {account_key('ash')}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((address.host, address.port), timeout=20) as caller:
        caller.sendall((head + body).encode())
        time.sleep(0.8)
        caller.shutdown(socket.SHUT_WR)
        status_line = caller.recv(65_536).split(b"\r\n")[0]
    assert status_line.split()[1:2] in ([], [b"502"])


def test_an_event_that_cannot_be_parsed_is_a_lost_answer(small_fleet):
    small_fleet.faults(ENGINES[0], {"malformed_events": 3})
    prompts = [f"p{n} [[tokens=10]]" for n in range(12)]
    check_equal(prompts, chat_many(small_fleet, prompts))

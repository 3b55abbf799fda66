"""Graceful shutdown, configuration during failures, concurrent operators, invalid input."""

import signal
import socket
import time

import pytest
import urllib3
from test_zones_and_servers import Load

from cicadaledge.loadtool import Caller

pytestmark = pytest.mark.fleet

IN_FORCE_S = 5.0


def wait_for(condition, timeout_s):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


def share_of(launcher, name, account="ash"):
    audit = launcher.operator("GET", "audit", name)
    return [
        entry["action"] for entry in audit if entry["accepted"] and "confirm" in entry["action"]
    ]


def offsets(launcher, names=None):
    return {name: launcher.status(name)["control_offset"] for name in names or launcher.routers}


class ReadyLoad(Load):
    """A load whose callers use only routers that report themselves ready."""

    def __init__(self, launcher, **options):
        from cicadaledge.loadtool._balancer import Balancer

        super().__init__(launcher, **options)
        self.balancer = Balancer(launcher.router_urls())

    def __enter__(self):
        self.balancer.start()
        return super().__enter__()

    def __exit__(self, *error):
        super().__exit__(*error)
        self.balancer.stop()

    @property
    def urls(self):
        return self.balancer.ready() if hasattr(self, "balancer") else []

    @urls.setter
    def urls(self, value):
        pass


def test_a_rolling_restart_aborts_no_request(fleet):
    launcher = fleet(router={"shutdown": {"notice_ms": 700}})
    with ReadyLoad(launcher, callers=8, tokens=60) as load:
        time.sleep(1)
        for name in launcher.routers:
            launcher.signal(name, signal.SIGTERM)
            assert launcher.wait_exit(name, 30) == 0
            servers = {s for other in others(launcher, name) for s in owned(launcher, other)}
            assert servers == set(
                launcher.plan.configuration["servers"]
            ), "all servers have a new home router"
            launcher.start_router(name)
            launcher.wait_ready(name)
            time.sleep(0.5)
    load.check_all_answered()


def others(launcher, name):
    return [other for other in launcher.routers if other != name]


def owned(launcher, name):
    return launcher.status(name)["servers_owned"]


def test_sigterm_during_a_log_outage_aborts_no_request(fleet):
    launcher = fleet(router={"shutdown": {"notice_ms": 700}})
    with ReadyLoad(launcher, callers=8, tokens=60) as load:
        time.sleep(1)
        launcher.platform("/standin/faults", {"outage": True})
        time.sleep(1)
        name = launcher.routers[0]
        launcher.signal(name, signal.SIGTERM)
        time.sleep(6)
        assert all(
            result.complete for _, result in load.results
        ), "slots stay leased during the outage"
        launcher.platform("/standin/faults", {"outage": False})
        assert launcher.wait_exit(name, 30) == 0
        time.sleep(3)
    load.check_all_answered()


def test_sigterm_stops_the_router_at_its_deadline_during_a_log_outage(fleet):
    launcher = fleet(router={"shutdown": {"notice_ms": 100, "deadline_ms": 3000}})
    launcher.platform("/standin/faults", {"outage": True})
    name = launcher.routers[0]
    launcher.signal(name, signal.SIGTERM)
    assert launcher.wait_exit(name, 15) == 0


def test_of_two_conflicting_plans_one_is_accepted_and_the_other_refused(small_fleet):
    routers = small_fleet.routers
    first = small_fleet.operator(
        "POST", "plans", routers[0], {"kind": "drain-zone", "target": "north-a"}
    )
    second = small_fleet.operator(
        "POST", "plans", routers[1], {"kind": "drain-zone", "target": "north-b"}, operator="oscar"
    )
    won = small_fleet.operator("POST", f"plans/{first['plan_id']}/confirm", routers[2])
    lost = small_fleet.operator(
        "POST", f"plans/{second['plan_id']}/confirm", routers[0], operator="oscar"
    )
    assert won["accepted"]
    assert lost["error"]["code"] == 5002
    audit = small_fleet.operator("GET", "audit", routers[1])
    assert [entry["accepted"] for entry in audit[-2:]] == [True, False]
    assert audit[-1]["operator"] == "oscar"


def test_a_confirmation_whose_append_seemed_to_fail_is_found_in_the_log(small_fleet):
    name = small_fleet.routers[0]
    intent = {"kind": "set-share", "target": "ash", "value": 3.0}
    plan = small_fleet.operator("POST", "plans", name, intent)
    small_fleet.platform("/standin/faults", {"lose_appends": 1})
    entry = small_fleet.operator("POST", f"plans/{plan['plan_id']}/confirm", name)
    assert entry["accepted"]
    again = small_fleet.operator("POST", f"plans/{plan['plan_id']}/confirm", small_fleet.routers[1])
    assert again["error"]["code"] == 5005


def test_an_accepted_plan_takes_effect_everywhere_during_a_log_outage(small_fleet):
    name = small_fleet.routers[0]
    for other in small_fleet.routers[1:]:
        small_fleet.router_faults(other, cut_log=True)
    entry = small_fleet.carry_out({"kind": "set-share", "target": "ash", "value": 3.0}, name)
    small_fleet.platform("/standin/faults", {"outage": True})
    assert wait_for(
        lambda: min(offsets(small_fleet).values()) >= entry["offset"], IN_FORCE_S
    ), offsets(small_fleet)


def test_a_region_without_the_log_learns_of_a_plan_from_the_other_region(fleet):
    launcher = fleet(
        zones={"north-a": "north", "south-a": "south"},
        routers_per_zone=2,
        engines=[],
        services=[],
        old_system=False,
    )
    time.sleep(11)  # by now the regions exchange heartbeats at the long interval only
    for name in launcher.routers[2:]:
        launcher.router_faults(name, cut_log=True)
    time.sleep(1)
    entry = launcher.carry_out({"kind": "drain-zone", "target": "south-a"}, launcher.routers[0])
    assert wait_for(
        lambda: min(offsets(launcher).values()) >= entry["offset"], IN_FORCE_S
    ), offsets(launcher)


def test_a_router_that_restarts_empty_without_the_log_takes_the_newest_state(small_fleet):
    entry = small_fleet.carry_out({"kind": "set-share", "target": "ash", "value": 3.0})
    assert wait_for(lambda: min(offsets(small_fleet).values()) >= entry["offset"], IN_FORCE_S)
    small_fleet.platform("/standin/faults", {"outage": True})
    name = small_fleet.routers[2]
    small_fleet.kill(name)
    small_fleet.start_router(name)
    small_fleet.wait_ready(name)
    assert offsets(small_fleet)[name] >= entry["offset"]
    result = Caller().chat(small_fleet.router_urls()[name], "ash", "x [[tokens=5]]")
    assert result.complete, result


def test_records_trimmed_from_the_log_are_replaced_by_a_peers_state(small_fleet):
    entry = small_fleet.carry_out({"kind": "set-share", "target": "ash", "value": 3.0})
    assert wait_for(lambda: min(offsets(small_fleet).values()) >= entry["offset"], IN_FORCE_S)
    small_fleet.platform("/standin/trim", {"stream": "control"})
    name = small_fleet.routers[1]
    small_fleet.kill(name)
    small_fleet.start_router(name)
    small_fleet.wait_ready(name)
    assert share_of(small_fleet, name)


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"\x00\x01\x02\r\n\r\n", b"400"),
        (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n",
            b"401",
        ),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 60_000 + b"\r\n\r\n", b"413"),
    ],
)
def test_broken_http_gets_an_error_and_stops_nothing(small_fleet, raw, expected):
    port = small_fleet.plan.routers[0].port
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.settimeout(5)
        connection.sendall(raw)
        answer = connection.recv(4096)
    assert answer.split(b" ")[1] == expected
    assert b"Traceback" not in answer
    assert Caller().chat(list(small_fleet.router_urls().values())[0], "ash", "x").complete


def test_bad_calls_get_their_codes(small_fleet):
    url = list(small_fleet.router_urls().values())[0]
    key = {"Authorization": "Bearer dev-key-ash"}
    cases = [
        (key, "/v1/chat/completions", b"{", 1001),
        (key, "/v1/chat/completions", b"[]", 1001),
        (
            key,
            "/v1/chat/completions",
            b'{"model": "none", "messages": [{"role": "user", "content": "x"}]}',
            1007,
        ),
        (key, "/v1/chat/completions", b'{"model": "draft", "messages": []}', 1001),
        (key, "/v1/chat/completions", b"[" * 100_000, 1001),
        ({}, "/v1/chat/completions", b"{}", 1002),
        ({"Authorization": "Bearer dev-operator-olive"}, "/v1/chat/completions", b"{}", 1002),
        (key, "/operator/v1/plans", b"{}", 1002),
        (key, "/nowhere/x", b"", 1004),
        (key, "/models/x", b"", 1004),
        (key, "/shop/x", b"x" * 2_000_000, 1005),
        (
            {**key, "X-Cost-Hint": "-1"},
            "/v1/chat/completions",
            b'{"model": "draft", "messages": [1]}',
            1001,
        ),
        ({**key, "X-Deadline-Ms": "soon"}, "/shop/x", b"", 1001),
        (key, "/v1/chat/completions", b'{"model": "draft", "messages": [1]}', 1001),
    ]
    for headers, path, body, code in cases:
        answer = urllib3.request("POST", url + path, body=body, headers=headers, retries=False)
        assert answer.json()["error"]["code"] == code, (path, body[:40])
        assert answer.json()["error"]["run_state"] == "not_run"


def test_links_are_established_once(small_fleet):
    time.sleep(1)
    before = [small_fleet.status(name)["handshakes"] for name in small_fleet.routers]
    time.sleep(3)
    assert [small_fleet.status(name)["handshakes"] for name in small_fleet.routers] == before


def test_probes_and_metrics(small_fleet):
    url = list(small_fleet.router_urls().values())[0]
    assert urllib3.request("GET", url + "/livez").status == 200
    assert urllib3.request("GET", url + "/readyz").status == 200
    Caller().chat(url, "ash", "x [[tokens=3]]")
    text = urllib3.request("GET", url + "/metrics").data.decode()
    assert 'cicadaledge_requests_total{account="ash"} 1' in text
    assert "cicadaledge_home_rights" in text

"""Drained zones, removed servers, cold starts and requests that crash servers."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from cicadaledge.loadtool import Caller, EngineSpec, PoolSpec
from cicadaledge.standins import expected_text

pytestmark = pytest.mark.fleet

IN_FORCE_S = 5.0
ENGINES = ("models-north-a-0", "models-north-b-0")


class Load:
    """Callers that send requests until stopped."""

    accounts = ("ash", "birch", "cedar")

    def __init__(self, launcher, callers=10, tokens=20, deadline_ms=20_000):
        self.urls = list(launcher.router_urls().values())
        self.callers, self.tokens, self.deadline_ms = callers, tokens, deadline_ms
        self.caller = Caller()
        self.results = []
        self._stop = threading.Event()
        self._threads = ThreadPoolExecutor(callers)

    def __enter__(self):
        self._futures = [self._threads.submit(self._run, n) for n in range(self.callers)]
        return self

    def __exit__(self, *_):
        self._stop.set()
        for future in self._futures:
            future.result()

    def _run(self, number):
        count = 0
        while not self._stop.is_set():
            count += 1
            prompt = f"{number}/{count} [[tokens={self.tokens}]]"
            account = self.accounts[number % len(self.accounts)]
            url = self.urls[(number + count) % len(self.urls)]
            headers = {"X-Deadline-Ms": str(self.deadline_ms)}
            result = self.caller.chat(url, account, prompt, headers=headers)
            self.results.append((prompt, result))

    def check_all_answered(self):
        assert self.results
        for prompt, result in self.results:
            assert result.complete and result.text == expected_text(prompt), result


def starts_after(launcher, name, at_ms):
    return [run for run in launcher.journal(name)["runs"] if run["started_ms"] > at_ms]


def now_ms():
    return time.time_ns() // 1_000_000


def test_a_drained_zone_gets_no_new_work_and_aborts_no_request(small_fleet):
    with Load(small_fleet) as load:
        time.sleep(2)
        small_fleet.carry_out({"kind": "drain-zone", "target": "north-a"})
        accepted_ms = now_ms()
        time.sleep(7)
        late = starts_after(small_fleet, ENGINES[0], accepted_ms + IN_FORCE_S * 1000)
        assert late == []
        url = small_fleet.router_urls()["r0-north-a"]
        assert urllib3.request("GET", url + "/readyz").status == 503
        small_fleet.carry_out({"kind": "restore-zone", "target": "north-a"})
        restored_ms = now_ms()
        time.sleep(4)
    assert starts_after(small_fleet, ENGINES[0], restored_ms)
    load.check_all_answered()


def test_a_router_without_the_log_learns_of_a_drain_from_its_peers(small_fleet):
    small_fleet.platform("/standin/faults", {"slow_ms": 300})
    for name in small_fleet.routers[1:]:
        small_fleet.router_faults(name, cut_log=True)
    with Load(small_fleet) as load:
        time.sleep(3)
        small_fleet.carry_out({"kind": "drain-zone", "target": "north-b"}, small_fleet.routers[0])
        accepted_ms = now_ms()
        time.sleep(7)
    assert starts_after(small_fleet, ENGINES[1], accepted_ms + IN_FORCE_S * 1000) == []
    load.check_all_answered()


def test_a_server_that_leaves_gets_no_new_work_and_an_admitted_one_gets_some(small_fleet):
    servers = small_fleet.plan.configuration["servers"]
    with Load(small_fleet) as load:
        time.sleep(2)
        small_fleet.carry_out({"kind": "remove-server", "target": ENGINES[0]})
        accepted_ms = now_ms()
        time.sleep(6)
        assert starts_after(small_fleet, ENGINES[0], accepted_ms + IN_FORCE_S * 1000) == []
        server = {**servers[ENGINES[0]], "name": ENGINES[0], "state": "active"}
        small_fleet.carry_out({"kind": "admit-server", "target": ENGINES[0], "server": server})
        admitted_ms = now_ms()
        time.sleep(5)
    assert starts_after(small_fleet, ENGINES[0], admitted_ms)
    load.check_all_answered()


def test_requests_spill_to_a_region_with_long_heartbeat_intervals(fleet):
    engines = [EngineSpec(zone, "models", 1, 2, 2, 10, 0.5, 5) for zone in ("north-a", "south-a")]
    launcher = fleet(
        zones={"north-a": "north", "south-a": "south"},
        routers_per_zone=2,
        engines=engines,
        services=[],
        old_system=False,
        pools={"models": PoolSpec(models=["draft"])},
    )
    time.sleep(12)  # by now the regions exchange heartbeats at the long interval only
    caller = Caller()
    entry = next(
        name
        for name in launcher.routers[:2]
        if "models/north-a" not in launcher.status(name)["coordinates"]
    )
    url = launcher.router_urls()[entry]
    headers = {"X-Deadline-Ms": "3000"}
    with ThreadPoolExecutor(4) as threads:
        prompts = [f"p{number} [[tokens=400]]" for number in range(4)]
        results = list(
            threads.map(lambda prompt: caller.chat(url, "ash", prompt, headers=headers), prompts)
        )
    assert all(result.complete for result in results), results
    assert len(launcher.journal("models-south-a-0")["runs"]) == 2


def check_no_overload(launcher):
    for name in ENGINES:
        assert launcher.journal(name)["violations"] == 0


def big_engines():
    return [EngineSpec(zone, "models", 1, 8, 2, 10, 0.5, 10) for zone in ("north-a", "north-b")]


def test_a_warm_server_that_becomes_cold_under_full_load_is_not_overloaded(fleet):
    launcher = fleet(engines=big_engines())
    with Load(launcher, callers=30, tokens=40) as load:
        time.sleep(4)
        for _ in range(3):
            launcher.faults(ENGINES[0], {"fall_cold": True})
            time.sleep(2)
        launcher.faults(ENGINES[1], {"fall_cold": True})
        time.sleep(3)
    check_no_overload(launcher)
    peak = max(run["running_at_start"] for run in launcher.journal(ENGINES[0])["runs"])
    assert peak > 2, "the server was warm before it became cold"
    assert all(result.complete or result.code == 3004 for _, result in load.results)


def test_without_coordination_a_cold_server_is_overloaded(fleet):
    launcher = fleet(engines=big_engines(), capacity="uncoordinated")
    with Load(launcher, callers=30, tokens=40, deadline_ms=2000):
        time.sleep(2)
        launcher.faults(ENGINES[0], {"fall_cold": True})
        time.sleep(1)
    assert launcher.journal(ENGINES[0])["violations"] > 0


@pytest.mark.parametrize("how", ["kill", "pause"])
def test_a_lost_coordinator_overloads_nothing_and_its_slots_are_granted_again(fleet, how):
    launcher = fleet(engines=big_engines())
    coordinator = next(
        name
        for name in launcher.routers
        if "models/north-a" in launcher.status(name)["coordinates"]
    )
    with Load(launcher, callers=24, tokens=40) as load:
        time.sleep(4)
        if how == "kill":
            launcher.kill(coordinator)
        else:
            launcher.signal(coordinator, signal.SIGSTOP)
        load.urls = [url for name, url in launcher.router_urls().items() if name != coordinator]
        lost_ms = now_ms()
        launcher.faults(ENGINES[0], {"fall_cold": True})
        time.sleep(8)
        if how == "pause":
            launcher.signal(coordinator, signal.SIGCONT)
        time.sleep(3)
    check_no_overload(launcher)
    assert starts_after(launcher, ENGINES[0], lost_ms), "the slots of the zone are granted again"


def test_a_request_that_crashes_servers_crashes_at_most_two_and_others_finish(fleet):
    engines = [EngineSpec(zone, "models", 2, 4, 2, 10, 0.5, 5) for zone in ("north-a", "north-b")]
    launcher = fleet(engines=engines)
    caller = Caller()
    urls = list(launcher.router_urls().values())
    with Load(launcher, callers=6, tokens=30) as load:
        time.sleep(2)
        refused = [caller.chat(url, "cedar", "[[crash]] [[tokens=50]]") for url in urls * 2]
        time.sleep(2)
    deaths = [
        death
        for name, journal in launcher.journals().items()
        for death in journal.get("deaths", [])
    ]
    assert len(deaths) <= 2
    assert all(not result.complete for result in refused)
    assert refused[-1].code == 3004
    load.check_all_answered()

"""Speeds that servers on shared machines report, and their effect on placing."""

from collections import Counter

import pytest
from test_placer import SETTLED_MS, Pool, call, entry

from cicadaledge.loadtool._replay_speeds import MachineSpeed, SpeedPattern
from cicadaledge.placing import Chosen, FleetLoad, LoadTracker, SpeedReports, SpeedReportSettings
from cicadaledge.wire import (
    LoadView,
    NameTable,
    SpeedReport,
    ViewScope,
    decode_message,
    encode_message,
)

NAMES = [f"e{number}" for number in range(9)]


def reports_alone() -> SpeedReports:
    return SpeedReports(SpeedReportSettings(), FleetLoad("r0"))


def view(*speeds: SpeedReport, scope: ViewScope = ViewScope.SENDER) -> LoadView:
    return LoadView(1, int(scope), 1, False, [], [], speeds=list(speeds))


def report_steadily(reports: SpeedReports, server: str, factor: float, seconds: int) -> float:
    """Report a factor ten times a second; return the time of the last report."""
    for number in range(seconds * 10 + 1):
        reports.record(server, factor, number * 100.0)
        reports.factor(server, number * 100.0)
    return seconds * 1_000.0


def test_a_server_that_reports_nothing_is_predicted_as_before():
    assert reports_alone().factor("e0", 0.0) == 1.0
    assert reports_alone().level("e0") == 0


def test_a_report_counts_for_part_and_not_after_its_age():
    reports = reports_alone()
    end_ms = report_steadily(reports, "e0", 1.0, 10)
    reports.record("e0", 2.5, end_ms + 100.0)
    assert 1.6 < reports.factor("e0", end_ms + 110.0) < 2.0
    assert reports.factor("e0", end_ms + 500.0) < 1.1


def test_lasting_speeds_change_levels_once_and_spells_do_not():
    reports = reports_alone()
    end_ms = report_steadily(reports, "e0", 2.2, 10)
    assert reports.level("e0") == 1
    generation = reports.level_generation("pool", NAMES, end_ms)
    for number in range(1, 7):
        reports.record("e0", 5.0, end_ms + number * 100.0)
        reports.factor("e0", end_ms + number * 100.0)
    assert reports.level_generation("pool", NAMES, end_ms + 600.0) == generation


@pytest.mark.parametrize("lasting", [0.7, 1.0, 1.7])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_recurring_spells_do_not_move_prompts_between_engines(lasting, seed):
    """Levels changed back and forth with each spell, and engines processed prompts again."""
    speed = MachineSpeed(SpeedPattern((lasting,), 2.5, 0.15), 0, seed, 60_000.0)
    reports = reports_alone()
    levels = []
    for number in range(600):
        reports.record("e0", speed.time_factor(number * 100.0), number * 100.0)
        reports.factor("e0", number * 100.0)
        levels.append(reports.level("e0"))
    # Before that, too little is known to tell a spell from a lasting speed.
    assert len(set(levels[80:])) == 1


@pytest.mark.parametrize("lie", [1e-9, 1e9])
def test_an_impossible_report_counts_only_up_to_a_bound(lie):
    reports = reports_alone()
    reports.record("e0", lie, 0.0)
    assert 0.2 <= reports.factor("e0", 0.0) <= 5.0
    assert reports.own_reports(0.0)[0].percent_sum in (20, 500)


def test_reports_of_a_router_reach_the_others_through_relays_and_its_own_count_once():
    """A router gets an answer of a given engine only every few seconds."""
    relay, member = FleetLoad("relay"), FleetLoad("r1")
    relay.set_roles("relay", is_relay=True, members=3)
    member.set_roles("relay", is_relay=False, members=3)
    own = view(SpeedReport("e0", 1, 250))
    table = NameTable()
    assert decode_message(encode_message(own, NameTable()), table) == own
    relay.apply_view("r1", own, 0.0)
    relay.apply_view("r2", view(SpeedReport("e0", 1, 70), SpeedReport("e1", 1, 170)), 0.0)
    (_, rest), *_ = relay.views_without_receiver(view(SpeedReport("e0", 1, 100)), ["r1"], 10.0)
    member.apply_view("relay", rest, 20.0)
    assert member.speed_report("e0", 20.0) == SpeedReport("e0", 2, 170)
    assert member.speed_report("e1", 20.0) == SpeedReport("e1", 1, 170)
    assert LoadTracker(member).speed_reports.factor("e1", 20.0) > 1.2
    assert not member.speed_report("e0", 2_000.0).reports


def test_engines_on_slow_machines_get_fewer_prefixes():
    """Slow engines got as many prefixes as fast ones, and their prompts waited."""
    pool = Pool(*(entry(name) for name in NAMES))
    for name in NAMES:
        report_steadily(pool.load.speed_reports, name, 2.0 if name < "e3" else 0.7, 10)
    first: Counter[str] = Counter()
    for number in range(400):
        choice = pool.place(call(number, prefix=f"p{number}"), now_ms=SETTLED_MS + number * 100.0)
        assert isinstance(choice, Chosen)
        first[choice.server.server] += 1
        pool.load.record_end(choice.placement)
    slow = sum(first[name] for name in NAMES if name < "e3")
    assert 0 < slow < 400 / 9


def test_a_backlog_limit_is_a_time_on_slow_machines_too():
    """An engine on which work takes longer may hold fewer prompt tokens that wait."""
    waiting = []
    for factor in (0.7, 1.7):
        pool = Pool(entry("e0"))
        end_ms = report_steadily(pool.load.speed_reports, "e0", factor, 10)
        choices = [pool.place(call(number), now_ms=end_ms) for number in range(40)]
        waiting.append(sum(isinstance(choice, Chosen) for choice in choices))
    assert waiting[0] > waiting[1] > 0

"""Runs an experiment and writes its results."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import attrs
import psutil
from attrs import define, field

from cicadaledge.loadtool._balancer import Balancer
from cicadaledge.loadtool._checks import broken_guarantees
from cicadaledge.loadtool._deployment import DeploymentSpec
from cicadaledge.loadtool._exact_scheduler import ideal_gap
from cicadaledge.loadtool._experiment import ExperimentSpec
from cicadaledge.loadtool._fault_injector import FaultInjector
from cicadaledge.loadtool._launcher import Launcher
from cicadaledge.loadtool._measures import (
    AccountMeasure,
    Window,
    fairness_gap,
    measure_accounts,
    model_runs,
    percentiles,
    refusal_counts,
    utilisation,
)
from cicadaledge.loadtool._traffic import RequestRecord, Traffic

_PROGRESS_INTERVAL_S = 1.0


@define
class RouterCost:
    """Resource usage of one router during the load."""

    cpu_percent: float
    resident_mb: float
    control_bytes_per_s: float


@define
class ExperimentResult:
    """Result of one experiment, as written to `summary.json`."""

    name: str
    capacity: str
    accounts: dict[str, AccountMeasure]
    fairness_gap_tokens: float
    utilisation: float
    ideal_gap_tokens: float
    first_token_ms: dict[str, float]
    token_gap_ms: dict[str, float]
    refusals: dict[str, int]
    unanswered: int
    cuts: int
    overloads: int
    routers: dict[str, RouterCost]
    broken: list[str]
    faults: list[dict[str, Any]]
    window: Window
    gap_course: list[float] = field(factory=list)
    utilisation_course: list[float] = field(factory=list)
    appends: dict[str, int] = field(factory=dict)
    control_bytes: dict[str, int] = field(factory=dict)


class _RouterCostMeter:
    """Measures CPU time, memory and control traffic of the routers from its creation on."""

    def __init__(self, launcher: Launcher) -> None:
        self._launcher = launcher
        self._before = self._sample()
        self._started = time.monotonic()

    def costs(self) -> dict[str, RouterCost]:
        elapsed_s = time.monotonic() - self._started
        after = self._sample()
        costs = {}
        for name, (cpu_s, rss, sent) in after.items():
            before = self._before.get(name)
            if before is None or before[2] > sent:
                continue
            costs[name] = RouterCost(
                cpu_percent=round(100 * (cpu_s - before[0]) / elapsed_s, 2),
                resident_mb=round(rss / 1_048_576, 1),
                control_bytes_per_s=round((sent - before[2]) / elapsed_s, 1),
            )
        return costs

    def _sample(self) -> dict[str, tuple[float, int, int]]:
        samples = {}
        for name in self._launcher.routers:
            try:
                process = psutil.Process(self._launcher.pid(name))
                times = process.cpu_times()
                sent = self._launcher.status(name)["control_sent_bytes"]
                samples[name] = (times.user + times.system, process.memory_info().rss, sent)
            except Exception:  # noqa: BLE001 - a killed router cannot be sampled
                continue
        return samples


def run_experiment(
    name: str,
    spec: ExperimentSpec,
    deployment: DeploymentSpec,
    directory: Path,
    quiet: bool = False,
) -> ExperimentResult:
    """Start the deployment, apply load and faults, and write the measures to *directory*."""
    deployment = attrs.evolve(deployment, capacity=spec.capacity)
    with Launcher(deployment, directory / "processes") as launcher:
        balancer = Balancer(launcher.router_urls())
        balancer.start()
        traffic = Traffic(spec, list(launcher.router_urls().values()), balancer)
        faults = FaultInjector(launcher, spec.faults)
        meter = _RouterCostMeter(launcher)
        begin_ms = time.time_ns() // 1_000_000
        traffic.start()
        faults.start()
        _wait_for_end(name, spec, traffic, quiet)
        costs = meter.costs()
        control_bytes = _control_bytes(launcher)
        traffic.join()
        faults.join()
        balancer.stop()
        journals = launcher.journals()
        appends = launcher.platform("/standin/faults", {})["appends"]
    window = Window(begin_ms + int(spec.settle_s * 1000), begin_ms + int(spec.duration_s * 1000))
    result = _measure(name, spec, deployment, traffic.records, journals, window)
    result.routers = costs
    result.faults = faults.outcomes
    result.appends = appends
    result.control_bytes = control_bytes
    write_result(result, traffic.records, directory)
    return result


def _control_bytes(launcher: Launcher) -> dict[str, int]:
    """Return the bytes sent between routers since their start, by message type."""
    total: Counter[str] = Counter()
    for name in launcher.routers:
        try:
            total.update(launcher.status(name)["control_bytes"])
        except Exception:  # noqa: BLE001 - a killed router does not answer
            continue
    return dict(total.most_common())


def write_result(result: ExperimentResult, records: list[RequestRecord], directory: Path) -> None:
    """Write the summary as JSON and the requests as JSON lines."""
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "summary.json").write_text(json.dumps(attrs.asdict(result), indent=1))
    with (directory / "requests.jsonl").open("w") as lines:
        for record in records:
            lines.write(json.dumps(attrs.asdict(record)) + "\n")


def _wait_for_end(name: str, spec: ExperimentSpec, traffic: Traffic, quiet: bool) -> None:
    begin = time.monotonic()
    while time.monotonic() - begin < spec.duration_s:
        time.sleep(_PROGRESS_INTERVAL_S)
        if not quiet:
            answered, other = traffic.counts()
            elapsed = int(time.monotonic() - begin)
            line = f"\r{name}: {elapsed:3d} s, {answered} answered, {other} not answered"
            print(line, end="", file=sys.stderr, flush=True)
    if not quiet:
        print(file=sys.stderr)


def _measure(
    name: str,
    spec: ExperimentSpec,
    deployment: DeploymentSpec,
    records: list[RequestRecord],
    journals: dict[str, Any],
    window: Window,
) -> ExperimentResult:
    runs = model_runs(journals, window.end_ms)
    shares = {account: one.share for account, one in deployment.accounts.items()}
    backlogged = [
        account
        for account, load in spec.loads.items()
        if load.callers and not load.service and not load.start_s and not load.end_s
    ]
    gap, gap_course = fairness_gap(runs, shares, backlogged, window)
    slots = sum(engine.warm_slots * engine.count for engine in deployment.engines)
    used, used_course = utilisation(runs, slots, window)
    model_records = [record for record in records if record.kind == "model"]
    return ExperimentResult(
        name=name,
        capacity=spec.capacity,
        accounts=measure_accounts(records, runs, shares, backlogged, window),
        fairness_gap_tokens=round(gap, 1),
        utilisation=round(used, 4),
        ideal_gap_tokens=round(ideal_gap(spec, deployment), 1),
        first_token_ms=percentiles(
            record.first_token_s for record in model_records if record.first_token_s >= 0
        ),
        token_gap_ms=percentiles(gap for record in model_records for gap in record.gaps_s),
        refusals=refusal_counts(records),
        unanswered=sum(1 for record in records if not record.answered),
        cuts=sum(record.cuts for record in records),
        overloads=sum(journal.get("violations", 0) for journal in journals.values()),
        routers={},
        broken=broken_guarantees(records, journals),
        faults=[],
        window=window,
        gap_course=[round(float(value), 1) for value in gap_course],
        utilisation_course=[round(float(value), 3) for value in used_course],
    )

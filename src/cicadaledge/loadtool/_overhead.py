"""Measures the overhead of a router: time to first token and CPU time per token."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import psutil
from attrs import define

from cicadaledge.loadtool._balancer import Balancer
from cicadaledge.loadtool._caller import Caller
from cicadaledge.loadtool._deployment import HOST, DeploymentSpec
from cicadaledge.loadtool._experiment import AccountLoad, ExperimentSpec
from cicadaledge.loadtool._launcher import Launcher
from cicadaledge.loadtool._measures import percentiles
from cicadaledge.loadtool._traffic import Traffic

_WARM_UP_S = 4.0
_PROBE_INTERVAL_S = 0.02
_PROBE_TOKENS = 3


@define
class Overhead:
    """Overhead of the routers.

    Args:
        direct_ms: Percentiles of the time to first token without a router.
        routed_ms: The same through a router.
        cpu_us_per_token: CPU time of all routers for each token of the engines.
    """

    direct_ms: dict[str, float]
    routed_ms: dict[str, float]
    cpu_us_per_token: float
    tokens_per_s: float


def measure_overhead(
    deployment: DeploymentSpec, directory: Path, pairs: int, load_share: float
) -> Overhead:
    """Measure by alternating direct and routed requests under a background load.

    Args:
        pairs: Requests of each kind.
        load_share: Fraction of the slots that the background load keeps busy.
    """
    slots = sum(engine.warm_slots * engine.count for engine in deployment.engines)
    account = next(name for name, one in deployment.accounts.items() if one.placement == "new")
    model = next(pool.models[0] for pool in deployment.pools.values() if pool.models)
    load = AccountLoad(callers=max(1, int(slots * load_share)), tokens_mean=60, model=model)
    duration_s = _WARM_UP_S + pairs * 0.35
    spec = ExperimentSpec("", duration_s=duration_s, loads={account: load})
    with Launcher(deployment, directory) as launcher:
        balancer = Balancer(launcher.router_urls())
        balancer.start()
        traffic = Traffic(spec, list(launcher.router_urls().values()), balancer)
        traffic.start()
        time.sleep(_WARM_UP_S)
        before = _cpu_and_tokens(launcher)
        started = time.monotonic()
        direct, routed = _probe(launcher, account, model, pairs)
        elapsed_s = time.monotonic() - started
        after = _cpu_and_tokens(launcher)
        balancer.stop()
    tokens = max(1, after[1] - before[1])
    return Overhead(
        percentiles(direct),
        percentiles(routed),
        round(1_000_000 * (after[0] - before[0]) / tokens, 1),
        round(tokens / elapsed_s, 1),
    )


def _probe(
    launcher: Launcher, account: str, model: str, pairs: int
) -> tuple[list[float], list[float]]:
    caller = Caller()
    engines = [process for process in launcher.plan.backends if process.command[1] == "engine"]
    urls = list(launcher.router_urls().values())
    direct: list[float] = []
    routed: list[float] = []
    for number in range(pairs):
        prompt = f"probe {number} [[tokens={_PROBE_TOKENS}]]"
        engine = f"http://{HOST}:{engines[number % len(engines)].port}"
        for url, times in ((engine, direct), (urls[number % len(urls)], routed)):
            result = caller.chat(url, account, prompt, model=model)
            if result.event_times_s:
                times.append(result.event_times_s[0])
            time.sleep(_PROBE_INTERVAL_S)
    return direct, routed


def _cpu_and_tokens(launcher: Launcher) -> tuple[float, int]:
    """Return the CPU seconds of all routers and the tokens produced by all engines so far."""
    cpu_s = 0.0
    for name in launcher.routers:
        times = psutil.Process(launcher.pid(name)).cpu_times()
        cpu_s += times.user + times.system
    journals: dict[str, Any] = launcher.journals()
    tokens = sum(run.get("tokens", 0) for journal in journals.values() for run in journal["runs"])
    return cpu_s, tokens

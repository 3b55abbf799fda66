"""Simulates an exact central scheduler as a baseline for the fairness gap."""

from __future__ import annotations

from itertools import combinations

import numpy as np

from cicadaledge.loadtool._deployment import DeploymentSpec
from cicadaledge.loadtool._experiment import ExperimentSpec


def ideal_gap(spec: ExperimentSpec, deployment: DeploymentSpec) -> float:
    """Return the fairness gap that an exact central scheduler would have.

    It assigns each free slot to the waiting account with the least tokens over share. It
    knows the tokens produced so far exactly. Requests run to their end, as on the engines.

    Returns:
        Tokens over share.
    """
    loads = {name: load for name, load in spec.loads.items() if load.callers and not load.service}
    names = sorted(loads)
    shares = {name: deployment.accounts[name].share for name in names}
    rng = np.random.default_rng(spec.seed)
    slots = sum(
        (engine.warm_slots - deployment.pools[engine.pool].old_system_slots) * engine.count
        for engine in deployment.engines
    )
    token_ms = max(engine.token_ms for engine in deployment.engines)
    served = dict.fromkeys(names, 0.0)
    running = dict.fromkeys(names, 0)
    unfinished: list[tuple[str, int]] = []
    lowest: dict[tuple[str, str], float] = {}
    highest: dict[tuple[str, str], float] = {}
    for _ in range(int((spec.duration_s - spec.settle_s) * 1000 / token_ms)):
        while len(unfinished) < slots:
            waiting = [name for name in names if running[name] < loads[name].callers]
            if not waiting:
                break
            name = min(waiting, key=lambda one: served[one] / shares[one])
            load = loads[name]
            unfinished.append(
                (name, int(min(load.tokens_max, rng.geometric(1 / load.tokens_mean))))
            )
            running[name] += 1
        for name, _ in unfinished:
            served[name] += 1
        for name, tokens in unfinished:
            running[name] -= int(tokens == 1)
        unfinished = [(name, tokens - 1) for name, tokens in unfinished if tokens > 1]
        for pair in combinations(names, 2):
            difference = served[pair[0]] / shares[pair[0]] - served[pair[1]] / shares[pair[1]]
            lowest[pair] = min(lowest.get(pair, 0.0), difference)
            highest[pair] = max(highest.get(pair, 0.0), difference)
    return max((highest[pair] - lowest[pair] for pair in highest), default=0.0)

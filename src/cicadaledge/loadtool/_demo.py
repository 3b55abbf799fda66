"""The experiment behind `make demo`."""

from __future__ import annotations

from pathlib import Path

from cicadaledge.loadtool._deployment import DeploymentSpec, load_deployment
from cicadaledge.loadtool._experiment import AccountLoad, ExperimentSpec, FaultEvent

_BACKLOGGED_ACCOUNTS = 4
_DRAIN_AT_FRACTION = 0.35
_RESTORE_AT_FRACTION = 0.65


def demo_experiment(path: Path, duration_s: float) -> tuple[ExperimentSpec, DeploymentSpec]:
    """Return an experiment with a mixed load: some accounts backlogged, the others light.

    One availability zone is drained and restored during the load.

    Raises:
        SettingsError: The deployment file is invalid.
    """
    deployment = load_deployment(path)
    by_share = sorted(deployment.accounts.items(), key=lambda item: (-item[1].share, item[0]))
    service = next((name for name, pool in deployment.pools.items() if pool.kind == "service"), "")
    model = next(pool.models[0] for pool in deployment.pools.values() if pool.models)
    loads = {}
    for rank, (name, account) in enumerate(by_share):
        if account.placement == "new" and rank < _BACKLOGGED_ACCOUNTS:
            loads[name] = AccountLoad(callers=30, tokens_mean=30, hint_factor=1.0, model=model)
        elif service and rank % 3 == 0 and account.placement == "new":
            loads[name] = AccountLoad(rate_per_s=3, service=service)
        else:
            loads[name] = AccountLoad(
                rate_per_s=0.7,
                tokens_mean=12,
                hint_factor=0,
                model=model,
                resumes=account.placement == "new",
            )
    zone = list(deployment.zones)[1]
    faults = [
        FaultEvent(duration_s * _DRAIN_AT_FRACTION, "drain-zone", zone),
        FaultEvent(duration_s * _RESTORE_AT_FRACTION, "restore-zone", zone),
    ]
    spec = ExperimentSpec(str(path), duration_s=duration_s, loads=loads, faults=faults)
    return spec, deployment

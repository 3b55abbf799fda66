"""Experiment files: the deployment, the load on it and the faults to inject."""

from __future__ import annotations

from pathlib import Path

from attrs import field, frozen
from attrs.validators import ge, gt, in_

from cicadaledge.errors import SettingsError
from cicadaledge.loadtool._deployment import DeploymentSpec, load_deployment
from cicadaledge.settings import load_yaml, structure_settings

FAULT_ACTIONS = (
    "drain-zone",
    "restore-zone",
    "log-outage",
    "log-back",
    "kill-router",
    "kill-coordinator",
    "start-routers",
    "pause-router",
    "resume-router",
    "restart-router",
    "fall-cold",
    "cut-regions",
    "heal-regions",
    "drop-streams",
    "cross-answers",
    "lose-answers",
    "lose-appends",
)


@frozen
class AccountLoad:
    """Load of one client account.

    Args:
        callers: Closed-loop callers; each sends its next request when the previous one has ended.
        rate_per_s: Mean rate of additional open-loop requests with exponential gaps.
        tokens_mean: Mean response length; lengths are geometric, limited to `tokens_max`.
        hint_factor: Ratio of the cost hint to the true cost; 0 sends no hint.
        service: Service pool to call instead of a model.
        router: Index of the only router to use; -1 uses all.
        deadline_ms: How long a request may wait for a slot.
        resumes: Whether callers resume broken streams; the old system does not support it.
        start_s: Start of the load, from the start of the experiment.
        end_s: End of the load; 0 means the end of the experiment.
    """

    callers: int = field(default=0, validator=ge(0))
    rate_per_s: float = field(default=0.0, validator=ge(0))
    tokens_mean: float = field(default=24.0, validator=gt(0))
    tokens_max: int = field(default=200, validator=gt(0))
    hint_factor: float = field(default=1.0, validator=ge(0))
    service: str = ""
    model: str = "draft"
    router: int = -1
    resumes: bool = True
    deadline_ms: int = field(default=20_000, validator=gt(0))
    start_s: float = field(default=0.0, validator=ge(0))
    end_s: float = field(default=0.0, validator=ge(0))


@frozen
class FaultEvent:
    """One scheduled fault.

    Args:
        target: Zone, router, backend server, `pool/zone` or pair of regions `a|b`; the
            action determines which.
    """

    at_s: float
    action: str = field(validator=in_(FAULT_ACTIONS))
    target: str = ""
    count: int = 1


@frozen
class ExperimentSpec:
    """An experiment file.

    Args:
        deployment: Path of the deployment file, relative to the experiment file.
        settle_s: Warm-up time at the start that is excluded from the measures.
    """

    deployment: str
    duration_s: float = field(default=30.0, validator=gt(0))
    settle_s: float = field(default=4.0, validator=ge(0))
    seed: int = 1
    capacity: str = "leased"
    loads: dict[str, AccountLoad] = field(factory=dict)
    faults: list[FaultEvent] = field(factory=list)


def load_experiment(path: Path) -> tuple[ExperimentSpec, DeploymentSpec]:
    """Read an experiment file and its deployment file.

    Raises:
        SettingsError: Lists every mistake at once.
    """
    spec = structure_settings(load_yaml(path), ExperimentSpec, str(path))
    deployment = load_deployment(path.parent / spec.deployment)
    unknown = sorted(set(spec.loads) - set(deployment.accounts))
    if unknown:
        raise SettingsError([f"{path}: $.loads: no such accounts: {', '.join(unknown)}"])
    return spec, deployment

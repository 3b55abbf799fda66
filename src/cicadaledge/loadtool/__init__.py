"""Deployment launcher, load generator, experiments and replay for development and tests."""

from cicadaledge.loadtool._caller import Caller, CallResult
from cicadaledge.loadtool._checks import broken_guarantees
from cicadaledge.loadtool._day_results import DayResult, journal_table
from cicadaledge.loadtool._deployment import (
    AccountSpec,
    DeploymentSpec,
    EngineSpec,
    PoolSpec,
    ServiceSpec,
    account_key,
    load_deployment,
    operator_key,
)
from cicadaledge.loadtool._experiment import (
    AccountLoad,
    ExperimentSpec,
    FaultEvent,
    load_experiment,
)
from cicadaledge.loadtool._fault_injector import FaultInjector
from cicadaledge.loadtool._launcher import Launcher, LaunchError
from cicadaledge.loadtool._replay import Replay, replay_modes
from cicadaledge.loadtool._replay_day import (
    BOUND_PREFIX_DAY,
    FLOODED_DAY,
    HEAVY_DAY,
    LARGE_DAY,
    MODES,
    OVERLOADED_DAY,
    SHARED_MACHINES_DAY,
    THROTTLED_DAY,
    Mode,
    ReplayDay,
    scaled,
)
from cicadaledge.loadtool._replay_result import REPLAY_HEADER, ReplayResult
from cicadaledge.loadtool._report import compare, load_summary, mode_table, plot, table
from cicadaledge.loadtool._run import ExperimentResult, run_experiment
from cicadaledge.loadtool._traffic import RequestRecord, Traffic

__all__ = [
    "BOUND_PREFIX_DAY",
    "FLOODED_DAY",
    "HEAVY_DAY",
    "LARGE_DAY",
    "MODES",
    "OVERLOADED_DAY",
    "SHARED_MACHINES_DAY",
    "REPLAY_HEADER",
    "THROTTLED_DAY",
    "AccountLoad",
    "AccountSpec",
    "CallResult",
    "Caller",
    "DeploymentSpec",
    "EngineSpec",
    "ExperimentResult",
    "ExperimentSpec",
    "FaultEvent",
    "FaultInjector",
    "LaunchError",
    "Launcher",
    "Mode",
    "DayResult",
    "PoolSpec",
    "Replay",
    "ReplayDay",
    "ReplayResult",
    "RequestRecord",
    "ServiceSpec",
    "Traffic",
    "account_key",
    "broken_guarantees",
    "compare",
    "journal_table",
    "load_deployment",
    "load_experiment",
    "load_summary",
    "mode_table",
    "operator_key",
    "plot",
    "replay_modes",
    "run_experiment",
    "scaled",
    "table",
]

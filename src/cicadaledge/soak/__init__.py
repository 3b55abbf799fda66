"""Soak test of router processes under injected faults, judged by what callers and servers saw."""

from cicadaledge.soak._callers import Callers
from cicadaledge.soak._cold_servers import ColdSpell, find_cold_overloads, most_in_a_second
from cicadaledge.soak._deployment import SoakSize, SoakWorld
from cicadaledge.soak._faults import (
    BUSY_LOOP_KINDS,
    FAULT_KINDS,
    INVALID_ENTRY_KINDS,
    LATE_REFUSAL_KINDS,
    MISLEADING_ANSWER_KINDS,
    PARTIAL_OUTAGE_KINDS,
    RESTORE_KINDS,
    ROLLOUT_KINDS,
    SERVER_SIGNAL_KINDS,
    UNTRUSTED_CLIENT_KINDS,
    PlannedFault,
    draw_faults,
)
from cicadaledge.soak._observations import Observations, Restriction, SentRequest, SoakBounds
from cicadaledge.soak._proxy import FaultProxy
from cicadaledge.soak._rollouts import RolloutChecker, RolloutRecord
from cicadaledge.soak._round import SoakPlan, SoakResult, run_round
from cicadaledge.soak._server_signals import ServerRecord, ServerSignalChecker

__all__ = [
    "BUSY_LOOP_KINDS",
    "INVALID_ENTRY_KINDS",
    "LATE_REFUSAL_KINDS",
    "FAULT_KINDS",
    "MISLEADING_ANSWER_KINDS",
    "PARTIAL_OUTAGE_KINDS",
    "RESTORE_KINDS",
    "ROLLOUT_KINDS",
    "SERVER_SIGNAL_KINDS",
    "UNTRUSTED_CLIENT_KINDS",
    "Restriction",
    "Callers",
    "ColdSpell",
    "FaultProxy",
    "RolloutChecker",
    "RolloutRecord",
    "Observations",
    "PlannedFault",
    "SentRequest",
    "ServerRecord",
    "SoakBounds",
    "SoakPlan",
    "SoakResult",
    "SoakSize",
    "SoakWorld",
    "ServerSignalChecker",
    "draw_faults",
    "find_cold_overloads",
    "most_in_a_second",
    "run_round",
]

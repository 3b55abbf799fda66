"""Fault soak: real router processes under faults from outside, judged by what is seen there."""

from cicadaledge.soak._callers import Callers
from cicadaledge.soak._faults import (
    BUSY_KINDS,
    ENTRY_KINDS,
    KINDS,
    WORD_KINDS,
    PlannedFault,
    draw_faults,
)
from cicadaledge.soak._ledger import Act, Ledger, Sent, SoakBounds
from cicadaledge.soak._proxy import FaultProxy
from cicadaledge.soak._round import SoakPlan, SoakResult, run_round
from cicadaledge.soak._words import ServerRecord, WordJudge
from cicadaledge.soak._world import SoakSize, SoakWorld

__all__ = [
    "BUSY_KINDS",
    "ENTRY_KINDS",
    "KINDS",
    "WORD_KINDS",
    "Act",
    "Callers",
    "FaultProxy",
    "Ledger",
    "PlannedFault",
    "Sent",
    "ServerRecord",
    "SoakBounds",
    "SoakPlan",
    "SoakResult",
    "SoakSize",
    "SoakWorld",
    "WordJudge",
    "draw_faults",
    "run_round",
]

"""Slot leases, coordinators, fair queue and warm-up; embeddable without the daemons."""

from cicadaledge.capacity._coordinator import Coordinator
from cicadaledge.capacity._fair_queue import FairQueue
from cicadaledge.capacity._hints import HintCorrection
from cicadaledge.capacity._home import HomeLessor, LoadReport
from cicadaledge.capacity._warm_up import WarmUp

__all__ = [
    "Coordinator",
    "FairQueue",
    "HintCorrection",
    "HomeLessor",
    "LoadReport",
    "WarmUp",
]

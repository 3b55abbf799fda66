"""Coordinators, slot leases, fair queuing and warm-up of backend servers.

The package has no I/O and no clock of its own, so it can be embedded without the daemons.
"""

from cicadaledge.capacity._coordinator import Coordinator
from cicadaledge.capacity._fair_queue import FairQueue
from cicadaledge.capacity._hint_correction import HintCorrection
from cicadaledge.capacity._home_lessor import HomeLessor, LoadReport
from cicadaledge.capacity._warm_up import WarmUp

__all__ = [
    "Coordinator",
    "FairQueue",
    "HintCorrection",
    "HomeLessor",
    "LoadReport",
    "WarmUp",
]

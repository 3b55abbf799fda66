"""Decisions of a rollout, which moves a service to servers of another version; uses no network.

Covers hundreds of routers that see each other's counts up to a second late, services with a few or
with a thousand requests a second, and versions that fail or are slow at once, later, or on one route.
"""

from cicadaledge.rollouts._counts import OutcomeCounts, RolloutCounts, RolloutTally
from cicadaledge.rollouts._evidence import VersionEvidence
from cicadaledge.rollouts._keeper import RolloutKeeper
from cicadaledge.rollouts._outcomes import AnswerOutcome, OutcomeRecorder
from cicadaledge.rollouts._plan import RolloutPlan, RolloutProgress, Stage
from cicadaledge.rollouts._records import RolloutOrder, RolloutState, RolloutStatus
from cicadaledge.rollouts._rollout import Rollout
from cicadaledge.rollouts._settings import RolloutSettings
from cicadaledge.rollouts._sides import FractionSampler, RequestSide, allowed_servers
from cicadaledge.rollouts._versions import VersionGate, VersionGroups, group_servers

__all__ = [
    "AnswerOutcome",
    "FractionSampler",
    "OutcomeCounts",
    "OutcomeRecorder",
    "RequestSide",
    "Rollout",
    "RolloutCounts",
    "RolloutKeeper",
    "RolloutOrder",
    "RolloutPlan",
    "RolloutProgress",
    "RolloutSettings",
    "RolloutState",
    "RolloutStatus",
    "RolloutTally",
    "Stage",
    "VersionEvidence",
    "VersionGate",
    "VersionGroups",
    "allowed_servers",
    "group_servers",
]

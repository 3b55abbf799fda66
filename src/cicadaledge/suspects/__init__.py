"""Determines which requests and prompt parts crash backend servers; uses no network."""

from cicadaledge.suspects._blame import blamed
from cicadaledge.suspects._part_blame import MIN_INCIDENTS, PartGroup, blamed_groups
from cicadaledge.suspects._part_tracker import PartEvidence, PartTracker
from cicadaledge.suspects._tracker import Evidence, SuspectTracker
from cicadaledge.suspects._trial_claims import MAX_TRIALS, TrialClaim, TrialClaims

__all__ = [
    "MAX_TRIALS",
    "MIN_INCIDENTS",
    "Evidence",
    "PartEvidence",
    "PartGroup",
    "PartTracker",
    "SuspectTracker",
    "TrialClaim",
    "TrialClaims",
    "blamed",
    "blamed_groups",
]

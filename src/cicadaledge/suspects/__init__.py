"""Determines which requests crash the backend servers that run them; uses no network."""

from cicadaledge.suspects._blame import blamed
from cicadaledge.suspects._tracker import Evidence, SuspectTracker

__all__ = ["Evidence", "SuspectTracker", "blamed"]

"""Which requests crash the backend servers that run them; usable without a network."""

from cicadaledge.suspects._blame import blamed
from cicadaledge.suspects._book import Evidence, SuspectTracker

__all__ = ["Evidence", "SuspectTracker", "blamed"]

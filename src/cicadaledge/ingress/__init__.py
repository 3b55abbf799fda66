"""Bounds on what callers send: one memory budget, body framing, and turns for costly heads."""

from cicadaledge.ingress._body_reader import BodyError, BodyReader, BodyTooLargeError
from cicadaledge.ingress._budget import Holding, IngressBudget
from cicadaledge.ingress._intake import EvictedError, Intake, NoMemoryError
from cicadaledge.ingress._settings import SMALLEST_MEMORY_MB, IngressSettings
from cicadaledge.ingress._turns import CostlyTurns

__all__ = [
    "SMALLEST_MEMORY_MB",
    "BodyError",
    "BodyReader",
    "BodyTooLargeError",
    "CostlyTurns",
    "EvictedError",
    "Holding",
    "IngressBudget",
    "IngressSettings",
    "Intake",
    "NoMemoryError",
]

"""Checks of a configuration before it is sent; pure, without files and network."""

from cicadaledge.review._changes import Action, Change, find_changes
from cicadaledge.review._finding import Deployment, Finding, FindingKind, Place, Section
from cicadaledge.review._review import review_table, review_update

__all__ = [
    "Action",
    "Change",
    "Deployment",
    "Finding",
    "FindingKind",
    "Place",
    "Section",
    "find_changes",
    "review_table",
    "review_update",
]

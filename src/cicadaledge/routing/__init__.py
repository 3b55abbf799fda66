"""Routes, client accounts and backend servers, as known to one router."""

from cicadaledge.routing._call import Call, PromptPart
from cicadaledge.routing._servers import ServerDirectory, ServerEntry, ServerState, Version
from cicadaledge.routing._table import (
    Account,
    Engine,
    Limits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceWeight,
    with_objectives,
)

__all__ = [
    "Account",
    "Call",
    "Engine",
    "Limits",
    "PromptPart",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServerDirectory",
    "ServerEntry",
    "ServerState",
    "Service",
    "ServiceWeight",
    "Version",
    "with_objectives",
]

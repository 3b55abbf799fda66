"""Chooses a backend server for each request, or refuses the request; uses no network.

Covers overload: times when accounts ask for more than the engines of a model pool can produce.
"""

from cicadaledge.placing._capacity import EngineCapacity
from cicadaledge.placing._choice import Chosen, Limit, Refused
from cicadaledge.placing._engine_model import EngineModel, EngineSettings
from cicadaledge.placing._failing import FailingServers
from cicadaledge.placing._fleet import FleetLoad, RouterTotals
from cicadaledge.placing._health import ServerHealth
from cicadaledge.placing._load_tracker import LoadTracker, Placement
from cicadaledge.placing._placer import Placer
from cicadaledge.placing._rates import RateWindow
from cicadaledge.placing._server_stats import FirstTokenWaits, ServerOutcomes, ServerTotals
from cicadaledge.placing._settings import PlacingSettings
from cicadaledge.placing._shares import AccountShares, ShareUse, max_min_share
from cicadaledge.placing._speed_reports import SpeedReports, SpeedReportSettings
from cicadaledge.placing._speeds import EngineSpeeds, ServiceSpeeds, SpeedSettings
from cicadaledge.placing._waiting import (
    WaitingQueue,
    WaitingRequest,
    WaitingSettings,
    waiting_group,
)

__all__ = [
    "AccountShares",
    "Chosen",
    "EngineCapacity",
    "EngineModel",
    "EngineSettings",
    "EngineSpeeds",
    "FailingServers",
    "FleetLoad",
    "Limit",
    "LoadTracker",
    "Placement",
    "Placer",
    "PlacingSettings",
    "RateWindow",
    "Refused",
    "RouterTotals",
    "ServerOutcomes",
    "ServerHealth",
    "ServerTotals",
    "FirstTokenWaits",
    "ServiceSpeeds",
    "ShareUse",
    "SpeedReportSettings",
    "SpeedReports",
    "SpeedSettings",
    "WaitingQueue",
    "WaitingRequest",
    "WaitingSettings",
    "max_min_share",
    "waiting_group",
]

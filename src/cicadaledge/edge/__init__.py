"""The router process that carries calls transparently between callers and backend servers."""

from cicadaledge.edge._channel import clock_ms
from cicadaledge.edge._daemon import EdgeRouter, run_edge_router
from cicadaledge.edge._dialect import AnswerSigns, Dialect, ServerLoad
from cicadaledge.edge._http_client import AnswerHead, Headers, HttpConnection
from cicadaledge.edge._settings import BoundSettings, EdgeSettings, TimingSettings
from cicadaledge.edge._source import (
    Change,
    ChangePage,
    ChangeSource,
    FleetMember,
    ForeignEntry,
    HistoryLostError,
    MemberRegistry,
    ServerChanged,
    ServerRemoved,
    StoreError,
    TableChanged,
    ZoneChanged,
)

__all__ = [
    "AnswerHead",
    "AnswerSigns",
    "BoundSettings",
    "Change",
    "ChangePage",
    "ChangeSource",
    "Dialect",
    "EdgeRouter",
    "EdgeSettings",
    "FleetMember",
    "ForeignEntry",
    "Headers",
    "HistoryLostError",
    "HttpConnection",
    "MemberRegistry",
    "ServerChanged",
    "ServerLoad",
    "ServerRemoved",
    "StoreError",
    "TableChanged",
    "TimingSettings",
    "ZoneChanged",
    "clock_ms",
    "run_edge_router",
]

"""The router process that carries calls transparently between callers and backend servers."""

from cicadaledge.edge._caller import AnswerWriter, CallerConnection, RequestHead
from cicadaledge.edge._channel import Channel, clock_ms
from cicadaledge.edge._daemon import EdgeRouter, run_edge_router
from cicadaledge.edge._dialect import AnswerSigns, Dialect
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
    "AnswerWriter",
    "BoundSettings",
    "CallerConnection",
    "Change",
    "ChangePage",
    "ChangeSource",
    "Channel",
    "Dialect",
    "EdgeRouter",
    "EdgeSettings",
    "FleetMember",
    "ForeignEntry",
    "Headers",
    "HistoryLostError",
    "HttpConnection",
    "MemberRegistry",
    "RequestHead",
    "ServerChanged",
    "ServerRemoved",
    "StoreError",
    "TableChanged",
    "TimingSettings",
    "ZoneChanged",
    "clock_ms",
    "run_edge_router",
]

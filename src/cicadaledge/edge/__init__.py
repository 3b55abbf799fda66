"""The router process that carries calls transparently between callers and backend servers."""

from cicadaledge.edge._beliefs import Beliefs, ServerSink
from cicadaledge.edge._caller import CallerConnection, RequestHead, ResponseWriter
from cicadaledge.edge._channel import Channel, clock_ms, reset_on_close, timeout_after_reads
from cicadaledge.edge._daemon import EdgeRouter, run_edge_router
from cicadaledge.edge._dialect import HeaderCodec, ResponseSignals
from cicadaledge.edge._follow import FollowTimes, TopicFollower, TopicSink
from cicadaledge.edge._http_client import Headers, HttpConnection, ResponseHead
from cicadaledge.edge._news import ZoneNews
from cicadaledge.edge._settings import BoundSettings, EdgeSettings, TimingSettings
from cicadaledge.edge._shedding import LoadShedder, SheddingSettings
from cicadaledge.edge._source import (
    Change,
    ChangePage,
    ChangeSource,
    EvidenceSeen,
    FleetMember,
    ForeignEntry,
    HistoryLostError,
    MemberRegistry,
    MemberSeen,
    ServerChanged,
    ServerRemoved,
    StoreError,
    StoreTopics,
    SuspectRegistry,
    TableChanged,
    ZoneChanged,
)
from cicadaledge.edge._store_reach import StoreReach

__all__ = [
    "ResponseHead",
    "ResponseSignals",
    "ResponseWriter",
    "Beliefs",
    "BoundSettings",
    "CallerConnection",
    "Change",
    "ChangePage",
    "ChangeSource",
    "Channel",
    "HeaderCodec",
    "EdgeRouter",
    "EdgeSettings",
    "EvidenceSeen",
    "FleetMember",
    "FollowTimes",
    "ForeignEntry",
    "Headers",
    "HistoryLostError",
    "HttpConnection",
    "MemberRegistry",
    "MemberSeen",
    "RequestHead",
    "ServerChanged",
    "ServerRemoved",
    "ServerSink",
    "LoadShedder",
    "SheddingSettings",
    "StoreError",
    "StoreReach",
    "StoreTopics",
    "SuspectRegistry",
    "TableChanged",
    "TimingSettings",
    "TopicFollower",
    "TopicSink",
    "ZoneChanged",
    "ZoneNews",
    "clock_ms",
    "reset_on_close",
    "run_edge_router",
    "timeout_after_reads",
]

"""Edge router: a process that proxies calls transparently between callers and backend servers."""

from cicadaledge.edge._caller_connection import CallerConnection
from cicadaledge.edge._caller_service import RequestHead
from cicadaledge.edge._channel import Channel, clock_ms, reset_on_close, timeout_after_reads
from cicadaledge.edge._control_state import ControlPlaneState, ServerSink
from cicadaledge.edge._daemon import EdgeRouter
from cicadaledge.edge._epoch import NO_EPOCH, StoreEpoch
from cicadaledge.edge._follow import PollTiming, TopicFollower, TopicSink
from cicadaledge.edge._header_codec import HeaderCodec, ResponseSignals
from cicadaledge.edge._http_client import Headers, HttpConnection, ResponseHead
from cicadaledge.edge._load_shedder import LoadShedder, SheddingSettings
from cicadaledge.edge._news import StoreRelay
from cicadaledge.edge._process import run_edge_router
from cicadaledge.edge._response_writer import ResponseWriter
from cicadaledge.edge._settings import (
    BoundSettings,
    EdgeSettings,
    SlowReaderSettings,
    TimingSettings,
)
from cicadaledge.edge._source import (
    Change,
    ChangePage,
    ChangeSource,
    CrashEvidence,
    EvidenceSeen,
    FleetMember,
    HistoryLostError,
    MemberRegistry,
    MemberSeen,
    RolloutOrdered,
    RolloutStatusSeen,
    ServerChanged,
    ServerRemoved,
    StatusTopic,
    StoreError,
    StoreTopics,
    SuspectRegistry,
    TableChanged,
    TrialClaimed,
    UnreadableEntry,
    ZoneChanged,
)
from cicadaledge.edge._store_reach import StoreAvailability

__all__ = [
    "TrialClaimed",
    "ResponseHead",
    "ResponseSignals",
    "ResponseWriter",
    "BoundSettings",
    "CallerConnection",
    "Change",
    "ChangePage",
    "ChangeSource",
    "Channel",
    "ControlPlaneState",
    "HeaderCodec",
    "EdgeRouter",
    "EdgeSettings",
    "CrashEvidence",
    "EvidenceSeen",
    "FleetMember",
    "Headers",
    "HistoryLostError",
    "HttpConnection",
    "MemberRegistry",
    "MemberSeen",
    "PollTiming",
    "RequestHead",
    "RolloutOrdered",
    "RolloutStatusSeen",
    "StatusTopic",
    "ServerChanged",
    "ServerRemoved",
    "ServerSink",
    "LoadShedder",
    "SheddingSettings",
    "NO_EPOCH",
    "SlowReaderSettings",
    "StoreAvailability",
    "StoreEpoch",
    "StoreError",
    "StoreRelay",
    "StoreTopics",
    "SuspectRegistry",
    "TableChanged",
    "TimingSettings",
    "TopicFollower",
    "TopicSink",
    "UnreadableEntry",
    "ZoneChanged",
    "clock_ms",
    "reset_on_close",
    "run_edge_router",
    "timeout_after_reads",
]

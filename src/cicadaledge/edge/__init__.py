"""Edge router: a process that proxies calls transparently between callers and backend servers."""

from cicadaledge.clock import clock_ms
from cicadaledge.edge._caller_connection import CallerConnection
from cicadaledge.edge._caller_service import RequestHead
from cicadaledge.edge._channel import Channel, reset_on_close, timeout_after_reads
from cicadaledge.edge._control_state import ControlPlaneState, ServerSink
from cicadaledge.edge._daemon import EdgeRouter
from cicadaledge.edge._header_codec import HeaderCodec, ResponseSignals
from cicadaledge.edge._http_client import Headers, HttpConnection, ResponseHead
from cicadaledge.edge._load_shedder import LoadShedder, SheddingSettings
from cicadaledge.edge._process import run_edge_router
from cicadaledge.edge._response_writer import ResponseWriter
from cicadaledge.edge._settings import (
    BoundSettings,
    EdgeSettings,
    SlowReaderSettings,
    TimingSettings,
)

__all__ = [
    "ResponseHead",
    "ResponseSignals",
    "ResponseWriter",
    "BoundSettings",
    "CallerConnection",
    "Channel",
    "ControlPlaneState",
    "HeaderCodec",
    "EdgeRouter",
    "EdgeSettings",
    "Headers",
    "HttpConnection",
    "RequestHead",
    "ServerSink",
    "LoadShedder",
    "SheddingSettings",
    "SlowReaderSettings",
    "TimingSettings",
    "clock_ms",
    "reset_on_close",
    "run_edge_router",
    "timeout_after_reads",
]

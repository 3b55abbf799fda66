"""Adapter that translates the platform's data formats into the types of this package."""

from cicadaledge.platform._collecting_fields import Location, RecordError
from cicadaledge.platform._decode import decode_order, decode_server, decode_status, decode_table
from cicadaledge.platform._header_codec import PlatformHeaderCodec
from cicadaledge.platform._main import main
from cicadaledge.platform._record_check import (
    RecordReading,
    load_deployment,
    locate,
    read_record,
)
from cicadaledge.platform._settings_file import load_edge_settings
from cicadaledge.platform._store_client import StoreClient
from cicadaledge.platform._topics import ControlTopic, MemberTopic, RolloutStatusTopic, ServerTopic

__all__ = [
    "ControlTopic",
    "Location",
    "MemberTopic",
    "PlatformHeaderCodec",
    "RecordError",
    "RecordReading",
    "RolloutStatusTopic",
    "ServerTopic",
    "StoreClient",
    "decode_order",
    "decode_server",
    "decode_status",
    "decode_table",
    "load_deployment",
    "load_edge_settings",
    "locate",
    "main",
    "read_record",
]

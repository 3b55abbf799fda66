"""Operators' intents and plans, and the fleet state folded from the control stream."""

from cicadaledge.config._intents import (
    Change,
    Intent,
    IntentKind,
    Plan,
    apply_intent,
    make_plan,
)
from cicadaledge.config._state import (
    CONTROL_STREAM,
    AuditEntry,
    Confirm,
    FleetState,
    Propose,
    Publish,
    Record,
    Snapshot,
    decode_record,
    encode_record,
    join_record,
    replay,
)

__all__ = [
    "CONTROL_STREAM",
    "AuditEntry",
    "Change",
    "Confirm",
    "FleetState",
    "Intent",
    "IntentKind",
    "Plan",
    "Propose",
    "Publish",
    "Record",
    "Snapshot",
    "apply_intent",
    "decode_record",
    "encode_record",
    "join_record",
    "make_plan",
    "replay",
]

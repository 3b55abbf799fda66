"""Stand-ins of the platform, of backend servers and of the old routing system."""

from cicadaledge.standins._engine import EngineSettings, EngineStandIn, expected_text
from cicadaledge.standins._engine_emulator import EngineEmulator, EngineParameters, EngineRun
from cicadaledge.standins._old_system import OldBackend, OldSystemSettings, OldSystemStandIn
from cicadaledge.standins._platform import PlatformSettings, PlatformStandIn
from cicadaledge.standins._platform_backend import (
    BackendFaults,
    PlatformBackend,
    Refusal,
    Run,
    prompt_parts,
)
from cicadaledge.standins._platform_files import (
    EXTRA_ANSWER,
    NODE_FILE_VARIABLE,
    READY_PATH,
    CallerRequest,
    NodeFile,
    account_from_headers,
    platform_account,
    platform_pool,
    platform_route,
    response_seal,
)
from cicadaledge.standins._platform_store import CRASH_TOPIC, ROUTER_TOPIC, PlatformStore
from cicadaledge.standins._raw_server import RawServer
from cicadaledge.standins._service import ServiceSettings, ServiceStandIn

__all__ = [
    "CRASH_TOPIC",
    "ROUTER_TOPIC",
    "EXTRA_ANSWER",
    "NODE_FILE_VARIABLE",
    "READY_PATH",
    "CallerRequest",
    "EngineEmulator",
    "EngineParameters",
    "EngineRun",
    "EngineSettings",
    "EngineStandIn",
    "NodeFile",
    "OldBackend",
    "OldSystemSettings",
    "OldSystemStandIn",
    "PlatformBackend",
    "PlatformSettings",
    "PlatformStandIn",
    "PlatformStore",
    "RawServer",
    "Refusal",
    "Run",
    "BackendFaults",
    "ServiceSettings",
    "ServiceStandIn",
    "account_from_headers",
    "response_seal",
    "expected_text",
    "platform_account",
    "platform_pool",
    "platform_route",
    "prompt_parts",
]

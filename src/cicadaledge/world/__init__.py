"""Configuration of the fleet: zones, pools, backend servers, accounts and operators."""

from cicadaledge.world._world import (
    BackendServer,
    ClientAccount,
    Configuration,
    OldSystem,
    Operator,
    Placement,
    Pool,
    PoolKind,
    ServerState,
    Zone,
    ZoneState,
    configuration_from_dict,
    configuration_to_dict,
    key_digest,
)

__all__ = [
    "BackendServer",
    "ClientAccount",
    "Configuration",
    "OldSystem",
    "Operator",
    "Placement",
    "Pool",
    "PoolKind",
    "ServerState",
    "Zone",
    "ZoneState",
    "configuration_from_dict",
    "configuration_to_dict",
    "key_digest",
]

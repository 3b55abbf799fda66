"""Settings classes, and how they are loaded from YAML files."""

from cicadaledge.settings._settings import (
    Address,
    FairnessSettings,
    LimitSettings,
    ListenSettings,
    RouterSettings,
    ShutdownSettings,
    TargetSettings,
    TimingSettings,
    check_timing,
    load_router_settings,
    load_yaml,
    settings_to_dict,
    structure_settings,
)

__all__ = [
    "Address",
    "FairnessSettings",
    "LimitSettings",
    "ListenSettings",
    "RouterSettings",
    "ShutdownSettings",
    "TargetSettings",
    "TimingSettings",
    "check_timing",
    "load_router_settings",
    "load_yaml",
    "settings_to_dict",
    "structure_settings",
]

"""What a check of a configuration reports, and what it knows of the deployment."""

from __future__ import annotations

import enum

from attrs import field, frozen

from cicadaledge.ingress import IngressSettings
from cicadaledge.placing import EngineSettings

# Findings that concern many entries name this many, so that a line stays readable.
_MAX_NAMES = 5
# At most this many characters of an API key are shown, and at most a quarter of the key.
_MAX_KEY_CHARACTERS = 4


class Section(enum.StrEnum):
    """Part of the configuration that a finding or a change is about."""

    RECORD = "record"
    ROUTE = "route"
    SERVICE = "service"
    ACCOUNT = "account"
    LIMITS = "limits"


@frozen
class Place:
    """An entry of the configuration.

    Args:
        name: Name of the entry; empty for the record and the limits.
        index: Position among the entries of its section; None if it is known by its name alone.
    """

    section: Section
    name: str = ""
    index: int | None = None


class FindingKind(enum.StrEnum):
    """What is wrong with an entry."""

    NO_ROUTES = "no-routes"
    HIDDEN_ROUTE = "hidden-route"
    UNMATCHED_ROUTE = "unmatched-route"
    ZERO_WEIGHT = "zero-weight"
    UNKNOWN_SERVICE = "unknown-service"
    UNUSED_SERVICE = "unused-service"
    REPEATED_NAME = "repeated-name"
    NO_KEY = "no-key"
    UNUSABLE_KEY = "unusable-key"
    SHARED_KEY = "shared-key"
    REGION_WITHOUT_ZONE = "region-without-zone"
    EXCLUDING_REGIONS = "excluding-regions"
    OBJECTIVE_OVER_TIMEOUT = "objective-over-timeout"
    ATTEMPTS_OF_SINGLE_RUN = "attempts-of-single-run"
    RESUMED_WITHOUT_STREAM = "resumed-without-stream"
    HEADER_OVER_IDLE = "header-over-idle"
    BODY_OVER_MEMORY = "body-over-memory"
    ENGINE_TOO_SMALL = "engine-too-small"
    ZERO_LIMIT = "zero-limit"
    OLD_VERSION = "old-version"
    ACCOUNTS_REMOVED = "accounts-removed"


@frozen
class Finding:
    """A warning about one entry of a configuration that routers accept."""

    kind: FindingKind
    place: Place
    text: str


@frozen
class Deployment:
    """What is known of the VMs and zones that a configuration is for.

    Args:
        regions: Regions with at least one availability zone; None if they are not known.
        ingress: Memory for what callers send, of the smallest VM if the VM is not known.
        engine: How routers use the engines' memory.
    """

    regions: frozenset[str] | None = None
    ingress: IngressSettings = field(factory=IngressSettings)
    engine: EngineSettings = field(factory=EngineSettings)


def mask_key(key: str) -> str:
    """Return the beginning of an API key and its length."""
    shown = min(_MAX_KEY_CHARACTERS, len(key) // 4)
    return f"{key[:shown]!r}... of {len(key)} characters"


def join_names(names: list[str]) -> str:
    """Return names for a message, of many only the first ones."""
    shown = ", ".join(repr(name) for name in names[:_MAX_NAMES])
    left = len(names) - _MAX_NAMES
    return f"{shown} and {left} more" if left > 0 else shown

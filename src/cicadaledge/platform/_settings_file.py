"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

from cicadaledge.edge import BoundSettings, EdgeSettings
from cicadaledge.errors import SettingsError
from cicadaledge.ingress import SMALLEST_MEMORY_MB, IngressSettings
from cicadaledge.placing import PlacingSettings
from cicadaledge.rollouts import RolloutSettings
from cicadaledge.settings import Address

_FILE_VARIABLE = "CICADALEDGE_NODE_FILE"
# A cold server gets at most this multiple of the requests per second that it can serve while it is
# cold, plus the slack, in requests per second. By default it gets no more than it can serve.
_DEFAULT_COLD_OVERAGE = 1.0
_DEFAULT_COLD_SLACK = 0.0
# If the file states no limit, the process is assumed to have this common limit of open files.
_DEFAULT_DESCRIPTORS = 4_096
_ROLLOUT_CONTRACT = "rollout"
# Limits of a deployment that has rollouts and does not state them: those that the requirements name.
_DEFAULT_EXPOSE_SHARE = 0.1
_DEFAULT_EXPOSE_SLACK = 50.0
_DEFAULT_ROLLBACK_MS = 5_000.0
_DEFAULT_FILE = "/etc/cicadaledge/node.toml"


def load_edge_settings(path: Path | None = None) -> EdgeSettings:
    """Load a settings file; without a path, that of this process.

    Raises:
        SettingsError: The file is missing, unreadable or incomplete.
    """
    path = path or Path(os.environ.get(_FILE_VARIABLE, _DEFAULT_FILE))
    try:
        return _settings(tomllib.loads(path.read_text()))
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    except (LookupError, TypeError, AttributeError, OverflowError) as error:
        raise SettingsError(
            [f"{path}: a value is missing or has the wrong type: {error}"]
        ) from error


def _settings(document: dict[str, Any]) -> EdgeSettings:
    bounds = document["bounds"]
    limits = document.get("limits", {})
    return EdgeSettings(
        router=document["nodeName"],
        zone=document["zone"],
        region=document["region"],
        regions_by_zone=dict(document["zones"]),
        callers=_address(document["listenAddrs"]["front"]),
        probes=_address(document["listenAddrs"]["ready"]),
        peers=Address(document["ip"], int(document["internalPortRange"][0])),
        metrics=Address(document["ip"], int(document["internalPortRange"][1])),
        store=_address(document["platform"]["address"]),
        descriptors=int(limits.get("maxFds", _DEFAULT_DESCRIPTORS)),
        ingress=IngressSettings(memory_mb=int(limits.get("memoryMb", SMALLEST_MEMORY_MB))),
        bounds=BoundSettings(
            grace_ms=float(bounds["graceS"]) * 1000,
            revoke_ms=float(bounds["revokeMs"]),
            strict_revoke=bool(bounds.get("strictRevoke", False)),
            retry_ratio=float(bounds["retryBudgetRatio"]),
            retry_slack=float(bounds["retryBudgetSlack"]),
            retry_window_ms=float(bounds["budgetWindowS"]) * 1000,
            share_window_ms=float(bounds.get("quotaWindowS", 4)) * 1000,
        ),
        placing=PlacingSettings(
            cold_overage=float(bounds.get("coldOverage", _DEFAULT_COLD_OVERAGE)),
            cold_slack=float(bounds.get("coldSlack", _DEFAULT_COLD_SLACK)),
        ),
        rollouts=_rollouts(document),
    )


def _rollouts(document: dict[str, Any]) -> RolloutSettings:
    """Return the settings of rollouts; their limits matter only where the contracts contain them."""
    if _ROLLOUT_CONTRACT not in _contracts(document):
        return RolloutSettings()
    bounds = document["bounds"]
    return RolloutSettings(
        is_enabled=True,
        expose_share=float(bounds.get("exposeShare", _DEFAULT_EXPOSE_SHARE)),
        expose_slack=float(bounds.get("exposeSlack", _DEFAULT_EXPOSE_SLACK)),
        rollback_ms=float(bounds.get("rollbackMs", _DEFAULT_ROLLBACK_MS)),
    )


def _contracts(document: dict[str, Any]) -> list[str]:
    """Return the names of the features that the deployment asks for."""
    contracts = document["bounds"].get("contracts", document.get("contracts", ()))
    names = contracts.split(",") if isinstance(contracts, str) else contracts
    return [str(name).strip() for name in names]


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))

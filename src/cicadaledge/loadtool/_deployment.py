"""Deployment files and process plans for running a whole fleet on one machine."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
from attrs import field, frozen

from cicadaledge.loadtool._ports import HOST, free_ports
from cicadaledge.settings import load_yaml, structure_settings
from cicadaledge.world import configuration_from_dict, configuration_to_dict, key_digest

OPERATOR = "olive"
FLEET_KEY = "development-fleet-key"


@frozen
class EngineSpec:
    """Equal model engines of one zone and pool."""

    zone: str
    pool: str
    count: int = 1
    warm_slots: int = 8
    cold_slots: int = 1
    token_ms: float = 20.0
    batch_slowdown: float = 0.5
    prefill_ms: float = 40.0


@frozen
class ServiceSpec:
    """Equal service backends of one zone and pool."""

    zone: str
    pool: str
    count: int = 1
    slots: int = 8
    work_ms: int = 15


@frozen
class AccountSpec:
    """A client account."""

    share: float = 1.0
    placement: str = "new"


@frozen
class PoolSpec:
    """A pool of backend servers."""

    kind: str = "model"
    models: list[str] = field(factory=list)
    non_idempotent_methods: list[str] = field(factory=list)
    old_system_slots: int = 0


@frozen
class DeploymentSpec:
    """A deployment file.

    Args:
        zones: Region of each availability zone.
        router: Settings that override the defaults of every router.
        appends_per_s: Rate limit of the log for appends.
    """

    zones: dict[str, str]
    pools: dict[str, PoolSpec]
    accounts: dict[str, AccountSpec]
    engines: list[EngineSpec] = field(factory=list)
    services: list[ServiceSpec] = field(factory=list)
    routers_per_zone: int = 3
    capacity: str = "leased"
    old_system: bool = True
    appends_per_s: int = 300
    retention_ms: int = 0
    router: dict[str, Any] = field(factory=dict)


def load_deployment(path: Path) -> DeploymentSpec:
    """Read a deployment file.

    Raises:
        SettingsError: Lists every mistake at once.
    """
    return structure_settings(load_yaml(path), DeploymentSpec, str(path))


def account_key(account: str) -> str:
    """Return the bearer key that a client account has in development deployments."""
    return f"dev-key-{account}"


def operator_key(operator: str = OPERATOR) -> str:
    """Return the bearer key that an operator has in development deployments."""
    return f"dev-operator-{operator}"


@frozen
class ProcessSpec:
    """One process to start, with its command-line arguments and settings."""

    command: list[str]
    name: str
    port: int
    settings: dict[str, Any]


@frozen
class DeploymentPlan:
    """The processes of a deployment and the configuration to publish."""

    platform: ProcessSpec
    backends: list[ProcessSpec]
    old_system: ProcessSpec | None
    routers: list[ProcessSpec]
    configuration: dict[str, Any]


def plan_deployment(spec: DeploymentSpec) -> DeploymentPlan:
    """Assign ports and settings to every process of a deployment."""
    platform = _standin("platform", "platform", {"appends_per_s": spec.appends_per_s})
    platform.settings["retention_ms"] = spec.retention_ms
    del platform.settings["name"]
    engines = [_engine(one, i) for one in spec.engines for i in range(one.count)]
    services = [_service(one, i) for one in spec.services for i in range(one.count)]
    backends = engines + services
    old_system = _old_system(spec, backends) if spec.old_system else None
    servers = _servers(spec, backends)
    configuration = {
        "zones": {name: {"region": region} for name, region in spec.zones.items()},
        "pools": {name: attrs.asdict(pool) for name, pool in spec.pools.items()},
        "servers": servers,
        "accounts": {
            name: {
                "share": account.share,
                "placement": account.placement,
                "key_digests": [key_digest(account_key(name))],
            }
            for name, account in spec.accounts.items()
        },
        "operators": {
            name: {"key_digests": [key_digest(operator_key(name))]} for name in (OPERATOR, "oscar")
        },
        "old_system": {"host": HOST, "port": old_system.port} if old_system else None,
        "capacity": spec.capacity,
    }
    checked = configuration_to_dict(configuration_from_dict(configuration))
    return DeploymentPlan(platform, backends, old_system, _routers(spec, platform.port), checked)


def _standin(kind: str, name: str, settings: dict[str, Any]) -> ProcessSpec:
    port = free_ports(1)[0]
    full = {"name": name, "host": HOST, "port": port, **settings}
    return ProcessSpec(["standin", kind], name, port, full)


def _engine(spec: EngineSpec, index: int) -> ProcessSpec:
    name = f"{spec.pool}-{spec.zone}-{index}"
    settings = attrs.asdict(spec)
    for key in ("zone", "pool", "count"):
        del settings[key]
    return _standin("engine", name, settings)


def _service(spec: ServiceSpec, index: int) -> ProcessSpec:
    name = f"{spec.pool}-{spec.zone}-{index}"
    return _standin("service", name, {"work_ms": spec.work_ms, "warm_slots": spec.slots})


def _servers(spec: DeploymentSpec, backends: list[ProcessSpec]) -> dict[str, Any]:
    ports = {process.name: process.port for process in backends}
    servers: dict[str, Any] = {}
    for one in spec.engines:
        for index in range(one.count):
            name = f"{one.pool}-{one.zone}-{index}"
            servers[name] = _server(one.zone, one.pool, ports[name], one.warm_slots, one.cold_slots)
    for service in spec.services:
        for index in range(service.count):
            name = f"{service.pool}-{service.zone}-{index}"
            servers[name] = _server(
                service.zone, service.pool, ports[name], service.slots, service.slots
            )
    return servers


def _server(zone: str, pool: str, port: int, warm_slots: int, cold_slots: int) -> dict[str, Any]:
    return {
        "zone": zone,
        "pool": pool,
        "host": HOST,
        "port": port,
        "warm_slots": warm_slots,
        "cold_slots": cold_slots,
    }


def _old_system(spec: DeploymentSpec, backends: list[ProcessSpec]) -> ProcessSpec:
    kinds = {name: pool.kind for name, pool in spec.pools.items()}
    listed = []
    for process in backends:
        pool = next(name for name in kinds if process.name.startswith(name + "-"))
        service_pool = pool if kinds[pool] == "service" else ""
        listed.append({"host": HOST, "port": process.port, "pool": service_pool})
    slots = max(1, *(pool.old_system_slots for pool in spec.pools.values()))
    process = _standin("old-system", "old-system", {"backends": listed, "slots_per_backend": slots})
    del process.settings["name"]
    return process


def _routers(spec: DeploymentSpec, platform_port: int) -> list[ProcessSpec]:
    names = [
        (f"r{index}-{zone}", zone) for zone in spec.zones for index in range(spec.routers_per_zone)
    ]
    ports = free_ports(2 * len(names))
    routers = []
    for position, (name, zone) in enumerate(names):
        caller_port, peer_port = ports[2 * position], ports[2 * position + 1]
        seeds = [
            {"host": HOST, "port": ports[2 * other + 1]}
            for other in range(len(names))
            if other != position
        ][:4]
        settings = {
            "name": name,
            "zone": zone,
            "region": spec.zones[zone],
            "platform": {"host": HOST, "port": platform_port},
            "fleet_key": FLEET_KEY,
            "listen": {"host": HOST, "caller_port": caller_port, "peer_port": peer_port},
            "seeds": seeds,
            "fault_switches": True,
            **spec.router,
        }
        routers.append(ProcessSpec(["router"], name, caller_port, settings))
    return routers

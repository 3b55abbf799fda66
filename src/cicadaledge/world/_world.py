"""Classes of the configuration, their validation, and conversion from and to plain data."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterator
from typing import Any

import attrs
import cattrs
from attrs import field, frozen
from attrs.validators import ge, gt, in_, instance_of, matches_re

from cicadaledge.errors import ConfigurationError

_NAME_VALIDATOR = matches_re(r"[a-z0-9][a-z0-9.-]{0,62}")


class PoolKind(enum.StrEnum):
    """Whether a pool's backend servers are model engines or plain services."""

    MODEL = "model"
    SERVICE = "service"


class ZoneState(enum.StrEnum):
    """Whether an availability zone accepts new requests."""

    IN = "in"
    OUT = "out"


class ServerState(enum.StrEnum):
    """Whether a backend server accepts new requests."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Placement(enum.StrEnum):
    """Which routing system serves a client account."""

    NEW = "new"
    OLD = "old"


@frozen
class Zone:
    """An availability zone."""

    name: str = field(validator=_NAME_VALIDATOR)
    region: str = field(validator=_NAME_VALIDATOR)
    state: ZoneState = ZoneState.IN


@frozen
class Pool:
    """Backend servers that can serve the same requests.

    Args:
        models: Names of the models served; empty for services.
        non_idempotent_methods: HTTP methods whose requests must run at most once.
        old_system_slots: Slots of each server, warm or cold, reserved for the old system.
    """

    name: str = field(validator=_NAME_VALIDATOR)
    kind: PoolKind = PoolKind.MODEL
    models: list[str] = field(factory=list)
    non_idempotent_methods: list[str] = field(factory=list)
    old_system_slots: int = field(default=0, validator=ge(0))


@frozen
class BackendServer:
    """A model engine or a plain service process.

    Args:
        warm_slots: Number of concurrent requests when warm.
        cold_slots: Number of concurrent requests during a cold start.
        checks_fence: Whether the server rejects orders with an outdated fencing token.
    """

    name: str = field(validator=_NAME_VALIDATOR)
    zone: str = field(validator=_NAME_VALIDATOR)
    pool: str = field(validator=_NAME_VALIDATOR)
    host: str = field(validator=instance_of(str))
    port: int = field(validator=[gt(0), attrs.validators.lt(65536)])
    warm_slots: int = field(default=8, validator=ge(1))
    cold_slots: int = field(default=1, validator=ge(1))
    checks_fence: bool = False
    state: ServerState = ServerState.ACTIVE


@frozen
class ClientAccount:
    """A client account and its contract.

    Args:
        share: Weight in fair queuing.
        key_digests: SHA-256 digests (hex) of the account's bearer keys.
    """

    name: str = field(validator=_NAME_VALIDATOR)
    share: float = field(default=1.0, validator=gt(0))
    placement: Placement = Placement.NEW
    key_digests: list[str] = field(factory=list)


@frozen
class Operator:
    """A person or program that may create and confirm plans."""

    name: str = field(validator=_NAME_VALIDATOR)
    key_digests: list[str] = field(factory=list)


@frozen
class OldSystem:
    """Address of the old routing system."""

    host: str
    port: int = field(validator=[gt(0), attrs.validators.lt(65536)])


@frozen
class Configuration:
    """Complete configuration that operators publish; objects are keyed by name."""

    zones: dict[str, Zone] = field(factory=dict)
    pools: dict[str, Pool] = field(factory=dict)
    servers: dict[str, BackendServer] = field(factory=dict)
    accounts: dict[str, ClientAccount] = field(factory=dict)
    operators: dict[str, Operator] = field(factory=dict)
    old_system: OldSystem | None = None
    capacity: str = field(
        default="leased", validator=in_(("leased", "static_split", "uncoordinated"))
    )

    def account_of_key(self, key: str) -> ClientAccount | None:
        """Return the client account of a bearer key, or None."""
        return _find_by_key(self.accounts.values(), key)

    def operator_of_key(self, key: str) -> Operator | None:
        """Return the operator of a bearer key, or None."""
        return _find_by_key(self.operators.values(), key)

    def pool_of_model(self, model: str) -> Pool | None:
        """Return the pool that serves *model*, or None."""
        for pool in self.pools.values():
            if model in pool.models:
                return pool
        return None

    def servers_of(self, pool: str, zone: str) -> Iterator[BackendServer]:
        """Yield the servers of a pool in one zone."""
        for server in self.servers.values():
            if server.pool == pool and server.zone == zone:
                yield server

    def takes_work(self, server_name: str) -> bool:
        """Return whether a server and its zone accept new requests."""
        server = self.servers.get(server_name)
        if server is None or server.state is not ServerState.ACTIVE:
            return False
        return self.zones[server.zone].state is ZoneState.IN

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, or an empty string."""
        found = self.zones.get(zone)
        return found.region if found else ""

    def check(self) -> list[str]:
        """Return one message for each inconsistency between objects."""
        problems = []
        for server in self.servers.values():
            if server.zone not in self.zones:
                problems.append(f"servers.{server.name}.zone: no zone named {server.zone!r}")
            if server.pool not in self.pools:
                problems.append(f"servers.{server.name}.pool: no pool named {server.pool!r}")
            if server.cold_slots > server.warm_slots:
                problems.append(f"servers.{server.name}.cold_slots: more than warm_slots")
            pool = self.pools.get(server.pool)
            if pool is not None and pool.old_system_slots >= server.cold_slots:
                problems.append(
                    f"servers.{server.name}.cold_slots: expected more than the pool's "
                    f"old_system_slots, or the server can never be warmed up"
                )
        problems += _mismatched_names("zones", self.zones)
        problems += _mismatched_names("pools", self.pools)
        problems += _mismatched_names("servers", self.servers)
        problems += _mismatched_names("accounts", self.accounts)
        return problems


def _mismatched_names(kind: str, objects: dict[str, Any]) -> list[str]:
    return [
        f"{kind}.{key}.name: found {value.name!r}, expected {key!r}"
        for key, value in objects.items()
        if key != value.name
    ]


def _find_by_key(owners: Any, key: str) -> Any:
    digest = key_digest(key)
    for owner in owners:
        if digest in owner.key_digests:
            return owner
    return None


def key_digest(key: str) -> str:
    """Return the SHA-256 digest (hex) of a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


_converter = cattrs.Converter(forbid_extra_keys=True)


def configuration_to_dict(configuration: Configuration) -> dict[str, Any]:
    """Return plain data that can be written as JSON or YAML."""
    plain: dict[str, Any] = _converter.unstructure(configuration)
    return plain


def configuration_from_dict(data: Any) -> Configuration:
    """Build a configuration from plain data.

    The names of objects may be omitted; they default to the keys of the mappings.

    Raises:
        ConfigurationError: A value is invalid; the message lists the path of each.
    """
    if not isinstance(data, dict):
        raise ConfigurationError("configuration: expected a mapping")
    with_names = dict(data)
    for kind in ("zones", "pools", "servers", "accounts", "operators"):
        objects = with_names.get(kind) or {}
        if isinstance(objects, dict):
            with_names[kind] = {
                name: {"name": name, **value} if isinstance(value, dict) else value
                for name, value in objects.items()
            }
    try:
        configuration = _converter.structure(with_names, Configuration)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        lines = cattrs.transform_error(error, path="configuration")
        raise ConfigurationError("\n".join(lines)) from error
    problems = configuration.check()
    if problems:
        raise ConfigurationError("\n".join(problems))
    return configuration

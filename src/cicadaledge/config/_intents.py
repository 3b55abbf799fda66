"""Configuration changes that operators may request, and the plans made for them."""

from __future__ import annotations

import enum
import hashlib
import json
from typing import Any

import attrs
from attrs import field, frozen

from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError
from cicadaledge.world import (
    BackendServer,
    Configuration,
    Placement,
    Pool,
    ServerState,
    ZoneState,
)


class IntentKind(enum.StrEnum):
    """Kinds of configuration change that an operator may request."""

    DRAIN_ZONE = "drain-zone"
    RESTORE_ZONE = "restore-zone"
    ADMIT_SERVER = "admit-server"
    REMOVE_SERVER = "remove-server"
    BRING_OVER = "bring-over"
    SEND_BACK = "send-back"
    SET_SHARE = "set-share"
    SET_OLD_SLOTS = "set-old-slots"


@frozen
class Intent:
    """A configuration change that an operator requests.

    Args:
        target: Name of the zone, server, account or pool.
        value: New share of an account, or slots of each server reserved for the old system.
        server: Description of the server to admit.
    """

    kind: IntentKind
    target: str
    value: float | None = None
    server: BackendServer | None = None


@frozen
class Change:
    """Value of one object or field before and after a plan."""

    path: str
    before: str
    after: str


@frozen
class Plan:
    """Effects of an intent, shown to the operator; it takes effect once confirmed.

    Args:
        base_offset: Control offset at which the plan was made.
        touches: Paths of the objects that must not have changed since then.
        slots_before: Warm slots on servers that accept work, by pool.
        slots_after: The same after the plan is carried out.
    """

    plan_id: str
    operator: str
    intent: Intent
    base_offset: int
    touches: list[str]
    changes: list[Change]
    slots_before: dict[str, int]
    slots_after: dict[str, int]
    warnings: list[str] = field(factory=list)

    @property
    def digest(self) -> str:
        """SHA-256 digest of the plan as shown to the operator."""
        text = json.dumps(attrs.asdict(self), sort_keys=True, default=str)
        return hashlib.sha256(text.encode()).hexdigest()


def make_plan(
    plan_id: str, operator: str, intent: Intent, configuration: Configuration, base_offset: int
) -> Plan:
    """Return the plan for an intent.

    Raises:
        RefusalError: The intent cannot be carried out; code 5003.
    """
    after = apply_intent(intent, configuration)
    slots_before = _slots_by_pool(configuration)
    slots_after = _slots_by_pool(after)
    return Plan(
        plan_id=plan_id,
        operator=operator,
        intent=intent,
        base_offset=base_offset,
        touches=affected_paths(intent, configuration),
        changes=_changes(configuration, after),
        slots_before=slots_before,
        slots_after=slots_after,
        warnings=_warnings(configuration, after, slots_before, slots_after),
    )


def affected_paths(intent: Intent, configuration: Configuration) -> list[str]:
    """Return the paths of the objects that a plan depends on."""
    if intent.kind is IntentKind.DRAIN_ZONE:
        # The plan's capacity figures depend on which other zones accept work.
        return [f"zones.{name}" for name in sorted(configuration.zones)]
    if intent.kind is IntentKind.RESTORE_ZONE:
        return [f"zones.{intent.target}"]
    if intent.kind in (IntentKind.ADMIT_SERVER, IntentKind.REMOVE_SERVER):
        return [f"servers.{intent.target}"]
    if intent.kind is IntentKind.SET_OLD_SLOTS:
        return [f"pools.{intent.target}"]
    return [f"accounts.{intent.target}"]


def apply_intent(intent: Intent, configuration: Configuration) -> Configuration:
    """Return a configuration to which an intent has been applied.

    Raises:
        RefusalError: The intent cannot be carried out; code 5003.
    """
    if intent.kind is IntentKind.DRAIN_ZONE:
        return _set_zone_state(configuration, intent.target, ZoneState.OUT)
    if intent.kind is IntentKind.RESTORE_ZONE:
        return _set_zone_state(configuration, intent.target, ZoneState.IN)
    if intent.kind is IntentKind.ADMIT_SERVER:
        return _admit_server(configuration, intent)
    if intent.kind is IntentKind.REMOVE_SERVER:
        return _remove_server(configuration, intent.target)
    if intent.kind is IntentKind.SET_OLD_SLOTS:
        return _set_old_slots(configuration, intent)
    return _change_account(configuration, intent)


def _set_zone_state(configuration: Configuration, name: str, state: ZoneState) -> Configuration:
    zone = configuration.zones.get(name)
    if zone is None:
        raise _invalid_intent(f"no zone named {name!r}")
    if zone.state is state:
        raise _invalid_intent(f"zone {name} is {state.value} already")
    zones = {**configuration.zones, name: attrs.evolve(zone, state=state)}
    return attrs.evolve(configuration, zones=zones)


def _admit_server(configuration: Configuration, intent: Intent) -> Configuration:
    server = intent.server
    if server is None or server.name != intent.target:
        raise _invalid_intent("admit-server needs the server's description")
    known = configuration.servers.get(server.name)
    if known is not None and known.state is ServerState.ACTIVE:
        raise _invalid_intent(f"server {server.name} is admitted already")
    servers = {**configuration.servers, server.name: server}
    after = attrs.evolve(configuration, servers=servers)
    problems = after.check()
    if problems:
        raise _invalid_intent("; ".join(problems))
    return after


def _remove_server(configuration: Configuration, name: str) -> Configuration:
    server = configuration.servers.get(name)
    if server is None:
        raise _invalid_intent(f"no server named {name!r}")
    if server.state is ServerState.LEAVING:
        raise _invalid_intent(f"server {name} is leaving already")
    leaving = attrs.evolve(server, state=ServerState.LEAVING)
    return attrs.evolve(configuration, servers={**configuration.servers, name: leaving})


def _set_old_slots(configuration: Configuration, intent: Intent) -> Configuration:
    pool = configuration.pools.get(intent.target)
    if pool is None:
        raise _invalid_intent(f"no pool named {intent.target!r}")
    if intent.value is None or intent.value < 0 or intent.value != int(intent.value):
        raise _invalid_intent("set-old-slots needs a whole number of slots")
    changed: Pool = attrs.evolve(pool, old_system_slots=int(intent.value))
    after = attrs.evolve(configuration, pools={**configuration.pools, pool.name: changed})
    problems = after.check()
    if problems:
        raise _invalid_intent("; ".join(problems))
    return after


def _change_account(configuration: Configuration, intent: Intent) -> Configuration:
    account = configuration.accounts.get(intent.target)
    if account is None:
        raise _invalid_intent(f"no client account named {intent.target!r}")
    if intent.kind is IntentKind.SET_SHARE:
        if intent.value is None or not 0 < intent.value < 1_000_000:
            raise _invalid_intent("set-share needs a share above 0")
        changed = attrs.evolve(account, share=intent.value)
    else:
        placement = Placement.NEW if intent.kind is IntentKind.BRING_OVER else Placement.OLD
        if account.placement is placement:
            raise _invalid_intent(
                f"client account {account.name} is on the {placement.value} system"
            )
        if placement is Placement.OLD and configuration.old_system is None:
            raise _invalid_intent("there is no old system to send the client account back to")
        changed = attrs.evolve(account, placement=placement)
    return attrs.evolve(configuration, accounts={**configuration.accounts, account.name: changed})


def _invalid_intent(detail: str) -> RefusalError:
    return RefusalError(Code.INTENT_INVALID, detail)


def _slots_by_pool(configuration: Configuration) -> dict[str, int]:
    slots = {name: 0 for name in configuration.pools}
    for server in configuration.servers.values():
        if configuration.takes_work(server.name):
            slots[server.pool] += server.warm_slots
    return slots


def _changes(before: Configuration, after: Configuration) -> list[Change]:
    changes = []
    for kind in ("zones", "pools", "servers", "accounts"):
        old: dict[str, Any] = getattr(before, kind)
        new: dict[str, Any] = getattr(after, kind)
        for name in sorted(old.keys() | new.keys()):
            changes += _object_changes(f"{kind}.{name}", old.get(name), new.get(name))
    return changes


def _object_changes(path: str, old: Any, new: Any) -> list[Change]:
    if old == new:
        return []
    if old is None or new is None:
        return [Change(path, _presence(old), _presence(new))]
    fields = attrs.fields_dict(type(old))
    return [
        Change(f"{path}.{name}", str(getattr(old, name)), str(getattr(new, name)))
        for name in fields
        if getattr(old, name) != getattr(new, name)
    ]


def _presence(value: Any) -> str:
    return "absent" if value is None else "present"


def _warnings(
    before: Configuration,
    after: Configuration,
    slots_before: dict[str, int],
    slots_after: dict[str, int],
) -> list[str]:
    warnings = []
    for pool, slots in slots_after.items():
        lost = slots_before.get(pool, 0) - slots
        if slots == 0 and lost > 0:
            warnings.append(f"pool {pool} keeps no slots: its requests will be refused")
        elif lost * 2 > slots_before.get(pool, 0):
            warnings.append(f"pool {pool} loses more than half of its slots")
    if all(zone.state is ZoneState.OUT for zone in after.zones.values()):
        warnings.append("no zone is left that takes work")
    return warnings

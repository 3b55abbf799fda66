"""State of the fleet, folded deterministically from the control stream."""

from __future__ import annotations

import json
from typing import Any

import attrs
import cattrs
from attrs import define, field, frozen

from cicadaledge.config._intents import Intent, Plan, apply_intent
from cicadaledge.errors import ConfigurationError, RefusalError
from cicadaledge.membership import Join, Leave, Member, Members, Remove
from cicadaledge.world import Configuration

CONTROL_STREAM = "control"
_MAX_AUDIT_ENTRIES = 1000
_MAX_OPEN_PLANS = 200


@frozen
class Publish:
    """Publication of a complete configuration; only the first one is accepted."""

    configuration: Configuration
    operator: str
    at_ms: int


@frozen
class Propose:
    """Record of a plan that awaits confirmation."""

    plan: Plan
    at_ms: int


@frozen
class Confirm:
    """Confirmation of a plan by an operator.

    Args:
        digest: Digest of the plan that the operator was shown.
    """

    plan_id: str
    digest: str
    operator: str
    at_ms: int


@frozen
class Snapshot:
    """Fleet state, appended before the log's retention deletes the records it covers."""

    state: dict[str, Any]


Record = Publish | Propose | Confirm | Snapshot | Join | Leave | Remove


@frozen
class AuditEntry:
    """One line of the audit trail.

    Args:
        offset: Offset of the record in the control stream.
        at_ms: Wall-clock time stated in the record.
        reason: Why the action was refused, or what it changed.
    """

    offset: int
    at_ms: int
    operator: str
    action: str
    plan_id: str
    accepted: bool
    reason: str


_RECORD_TYPES: dict[str, type] = {
    kind.__name__: kind for kind in (Publish, Propose, Confirm, Snapshot, Join, Leave, Remove)
}
_converter = cattrs.Converter()


def encode_record(record: Record) -> bytes:
    """Return the JSON text of a record."""
    body = _converter.unstructure(record)
    return json.dumps({"kind": type(record).__name__, "body": body}).encode()


def decode_record(data: bytes) -> Record | None:
    """Return the record in JSON text, or None if its kind is unknown.

    Raises:
        ConfigurationError: The text is not a record.
    """
    try:
        plain = json.loads(data)
        kind = _RECORD_TYPES.get(plain["kind"])
        if kind is None:
            return None
        record: Record = _converter.structure(plain["body"], kind)
        return record
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        raise ConfigurationError(f"malformed control record: {error}") from error


@define
class FleetState:
    """Configuration, plans, audit trail and members at an offset of the control stream.

    All routers that apply the same records have the same state: the fold depends only
    on its arguments, and on no clock or random numbers.

    Args:
        offset: Offset of the last applied record, -1 before the first.
        configuration: None until one is published.
        configuration_offset: Offset of the last record that changed the configuration.
        snapshot_offset: Offset of the last snapshot record.
        changed: Offset of the last change of each object, by path.
        plans: Plans that await confirmation, by id.
        decided: Audit entry of the decision on each plan, by plan id.
    """

    offset: int = -1
    configuration: Configuration | None = None
    configuration_offset: int = -1
    snapshot_offset: int = -1
    changed: dict[str, int] = field(factory=dict)
    plans: dict[str, Plan] = field(factory=dict)
    decided: dict[str, AuditEntry] = field(factory=dict)
    audit: list[AuditEntry] = field(factory=list)
    members: Members = field(factory=Members)

    def apply(self, offset: int, data: bytes) -> Record | None:
        """Apply one record; return it if it was accepted, else None.

        Records up to the applied offset are ignored. Malformed records and records of
        unknown kinds only advance the offset.
        """
        if offset <= self.offset:
            return None
        self.offset = offset
        try:
            record = decode_record(data)
        except ConfigurationError:
            return None
        if record is None or not self._apply(offset, record):
            return None
        return record

    def to_json(self) -> bytes:
        """Return the whole state as JSON text."""
        return json.dumps(_converter.unstructure(self)).encode()

    @classmethod
    def from_json(cls, data: bytes) -> FleetState:
        """Build a state from JSON text.

        Raises:
            ConfigurationError: The text is not a state.
        """
        try:
            return cls.from_plain(json.loads(data))
        except ValueError as error:
            raise ConfigurationError(f"malformed state: {error}") from error

    @classmethod
    def from_plain(cls, plain: Any) -> FleetState:
        """Build a state from plain data, such as that of a snapshot record.

        Raises:
            ConfigurationError: The data is not a state.
        """
        try:
            return _converter.structure(plain, cls)
        except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
            raise ConfigurationError(f"malformed state: {error}") from error

    def snapshot(self) -> Snapshot:
        """Return a record of this state."""
        return Snapshot(json.loads(self.to_json()))

    def _apply(self, offset: int, record: Record) -> bool:
        if isinstance(record, (Join, Leave, Remove)):
            return not self.members.apply(offset, record)
        if isinstance(record, Publish):
            return self._publish(offset, record)
        if isinstance(record, Propose):
            return self._propose(offset, record)
        if isinstance(record, Confirm):
            return self._confirm(offset, record)
        self.snapshot_offset = offset
        return True

    def _publish(self, offset: int, record: Publish) -> bool:
        accepted = self.configuration is None
        reason = "first configuration" if accepted else "a configuration is in force"
        self._add_audit_entry(
            offset, record.at_ms, record.operator, "publish", "", accepted, reason
        )
        if accepted:
            self.configuration = record.configuration
            self.configuration_offset = offset
        return accepted

    def _propose(self, offset: int, record: Propose) -> bool:
        plan = record.plan
        self.plans[plan.plan_id] = plan
        while len(self.plans) > _MAX_OPEN_PLANS:
            del self.plans[next(iter(self.plans))]
        action = f"plan {plan.intent.kind.value} {plan.intent.target}"
        self._add_audit_entry(
            offset, record.at_ms, plan.operator, action, plan.plan_id, True, "plan made"
        )
        return True

    def _confirm(self, offset: int, record: Confirm) -> bool:
        reason = self._refusal_reason(record)
        plan = self.plans.pop(record.plan_id, None) if not reason else None
        if plan is not None:
            self._apply_plan(offset, plan)
        target = self.plans.get(record.plan_id, plan)
        intent = f"{target.intent.kind.value} {target.intent.target}" if target else "unknown plan"
        entry = self._add_audit_entry(
            offset,
            record.at_ms,
            record.operator,
            f"confirm {intent}",
            record.plan_id,
            not reason,
            reason or "in force",
        )
        if record.plan_id not in self.decided:
            self.decided[record.plan_id] = entry
            while len(self.decided) > _MAX_AUDIT_ENTRIES:
                del self.decided[next(iter(self.decided))]
        return not reason

    def _refusal_reason(self, record: Confirm) -> str:
        if record.plan_id in self.decided:
            return "the plan was decided before"
        plan = self.plans.get(record.plan_id)
        if plan is None:
            return "no such plan"
        if plan.digest != record.digest:
            return "the digest is not the plan's"
        for path in plan.touches:
            if self.changed.get(path, -1) > plan.base_offset:
                return f"{path} has changed since the plan was made"
        return self._intent_refusal_reason(plan.intent)

    def _intent_refusal_reason(self, intent: Intent) -> str:
        if self.configuration is None:
            return "there is no configuration"
        try:
            apply_intent(intent, self.configuration)
        except RefusalError as error:
            return error.detail
        return ""

    def _apply_plan(self, offset: int, plan: Plan) -> None:
        assert self.configuration is not None
        self.configuration = apply_intent(plan.intent, self.configuration)
        self.configuration_offset = offset
        for change in plan.changes:
            kind, name = change.path.split(".")[:2]
            self.changed[f"{kind}.{name}"] = offset

    def _add_audit_entry(
        self,
        offset: int,
        at_ms: int,
        operator: str,
        action: str,
        plan_id: str,
        accepted: bool,
        reason: str,
    ) -> AuditEntry:
        entry = AuditEntry(offset, at_ms, operator, action, plan_id, accepted, reason)
        self.audit.append(entry)
        del self.audit[:-_MAX_AUDIT_ENTRIES]
        return entry


def replay(first_offset: int, records: list[tuple[int, bytes]]) -> FleetState | None:
    """Build the state from the retained records of the control stream.

    Args:
        first_offset: Lowest offset that the log still retains.

    Returns:
        None if older records have been deleted and no snapshot covers them.
    """
    state = FleetState()
    if first_offset > 0:
        found = _newest_snapshot(first_offset, records)
        if found is None:
            return None
        state = found
    for offset, data in records:
        state.apply(offset, data)
    return state


def _newest_snapshot(first_offset: int, records: list[tuple[int, bytes]]) -> FleetState | None:
    for offset, data in reversed(records):
        try:
            record = decode_record(data)
            if isinstance(record, Snapshot):
                state = FleetState.from_plain(record.state)
                if state.offset >= first_offset - 1:
                    state.snapshot_offset = offset
                    return state
        except ConfigurationError:
            continue
    return None


def join_record(member: Member) -> Join:
    """Return the record that a router appends when it starts."""
    return Join(attrs.evolve(member, joined_offset=-1))

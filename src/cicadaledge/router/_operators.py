"""The operators' HTTP interface: plans, confirmations, status and audit trail."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

import attrs
import cattrs

from cicadaledge.codes import Code
from cicadaledge.config import Intent
from cicadaledge.errors import CicadaledgeError, RefusalError
from cicadaledge.logs import PartLog
from cicadaledge.router._context import RouterContext
from cicadaledge.router._control_log import ControlLog
from cicadaledge.router._coordinators import CoordinatorManager
from cicadaledge.router._entry_queue import EntryQueue
from cicadaledge.router._home_router import HomeRouter
from cicadaledge.router._http import (
    HttpAnswer,
    HttpRequest,
    StartResponse,
    json_answer,
    refusal_answer,
)
from cicadaledge.router._model_dispatch import new_request_id

T = TypeVar("T")

OPERATOR_PREFIX = "/operator/v1/"
_CALL_TIMEOUT_S = 15.0
_BODY_LIMIT_BYTES = 262_144
_converter = cattrs.Converter(forbid_extra_keys=True)
_log = PartLog("operator")


class OperatorInterface:
    """Answers operators' requests."""

    def __init__(
        self,
        context: RouterContext,
        control_log: ControlLog,
        home: HomeRouter,
        coordination: CoordinatorManager,
        entry_queue: EntryQueue,
    ) -> None:
        self._context = context
        self._control_log = control_log
        self._home = home
        self._coordination = coordination
        self._entry_queue = entry_queue

    def answer(self, request: HttpRequest, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request; refusals become error answers."""
        request_id = new_request_id()
        try:
            return self._answer(request).start(start_response)
        except RefusalError as refusal:
            _log.info(
                "Operator's request was refused.", request_id=request_id, code=int(refusal.code)
            )
            request.close_if_unread()
            return refusal_answer(refusal, request_id).start(start_response)

    def _answer(self, request: HttpRequest) -> HttpAnswer:
        operator = self._context.configuration.operator_of_key(request.bearer_key())
        if operator is None:
            raise RefusalError(Code.UNAUTHENTICATED)
        route = request.path.removeprefix(OPERATOR_PREFIX).strip("/").split("/")
        if request.method == "POST" and route == ["plans"]:
            intent = _parse_intent(request.read_body(_BODY_LIMIT_BYTES))
            plan = self._run_on_loop(lambda: self._control_log.plan(operator.name, intent))
            return json_answer({**_unstructure(plan), "digest": plan.digest}, 201)
        if request.method == "POST" and len(route) == 3 and route[::2] == ["plans", "confirm"]:
            entry = self._run_on_loop(lambda: self._control_log.confirm(operator.name, route[1]))
            return json_answer(_unstructure(entry))
        if request.method == "GET" and route == ["status"]:
            return json_answer(self._run_on_loop(self._status))
        if request.method == "GET" and route == ["audit"]:
            return json_answer(self._run_on_loop(self._audit))
        if request.method == "POST" and route == ["faults"]:
            return self._set_faults(request)
        raise RefusalError(Code.NOT_FOUND)

    def _run_on_loop(self, function: Callable[[], Coroutine[Any, Any, T]]) -> T:
        future = asyncio.run_coroutine_threadsafe(function(), self._context.loop)
        return future.result(_CALL_TIMEOUT_S)

    async def _audit(self) -> list[Any]:
        return [_unstructure(entry) for entry in await self._control_log.audit()]

    async def _status(self) -> dict[str, Any]:
        context = self._context
        state = context.state
        open_slots, busy_slots, waiting = self._coordination.slots()
        return {
            "router": context.settings.name,
            "zone": context.settings.zone,
            "incarnation": context.incarnation,
            "ready": context.is_ready,
            "control_offset": state.offset,
            "log_age_ms": _age_ms(context.log_read_ms, context.now_ms()),
            "home_rights": context.has_home_rights(),
            "members": {
                name: {
                    "zone": member.zone,
                    "live": context.is_live(name),
                    "control_offset": self._offset_of(name),
                }
                for name, member in sorted(state.members.by_name.items())
            },
            "zones": {name: zone.state.value for name, zone in context.configuration.zones.items()},
            "servers_owned": {
                name: self._home.lessor.open_slots(name) for name in self._home.lessor.owned
            },
            "servers_wanted": self._home.lessor.pending,
            "coordinates": sorted(
                f"{pool}/{zone}"
                for pool, zone in self._coordination.coordinators
                if context.coordinator_of(pool, zone) == context.settings.name
            ),
            "slots_open": open_slots,
            "slots_busy": busy_slots,
            "requests_waiting": waiting,
            "requests_active": self._entry_queue.active,
            "handshakes": context.links.handshakes(),
            "control_sent_bytes": context.links.stats.sent_bytes,
            "control_messages": dict(context.links.stats.messages),
            "control_bytes": dict(context.links.stats.bytes_by_kind),
        }

    def _offset_of(self, router: str) -> int | None:
        if router == self._context.settings.name:
            return self._context.state.offset
        return self._context.liveness.control_offset_of(router)

    def _set_faults(self, request: HttpRequest) -> HttpAnswer:
        if not self._context.settings.fault_switches:
            raise RefusalError(Code.NOT_FOUND, "fault switches are off in the settings")
        try:
            parsed = json.loads(request.read_body(_BODY_LIMIT_BYTES))
            self._context.links.partitioned_peers = {
                str(peer) for peer in parsed.get("cut_peers", [])
            }
            self._context.log.is_cut_off = bool(parsed.get("cut_log", False))
        except (ValueError, AttributeError, TypeError) as error:
            raise RefusalError(Code.BAD_REQUEST) from error
        return json_answer({"cut_peers": sorted(self._context.links.partitioned_peers)})


def _parse_intent(body: bytes) -> Intent:
    try:
        return _converter.structure(json.loads(body), Intent)
    except (cattrs.BaseValidationError, CicadaledgeError, ValueError, TypeError) as error:
        lines = "; ".join(cattrs.transform_error(error, path="intent"))
        raise RefusalError(Code.INTENT_INVALID, lines or str(error)) from error


def _unstructure(value: Any) -> Any:
    return cattrs.unstructure(value) if attrs.has(type(value)) else value


def _age_ms(then_ms: int | None, now_ms: int) -> int | None:
    return None if then_ms is None else now_ms - then_ms

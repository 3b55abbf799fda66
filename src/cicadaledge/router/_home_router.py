"""Polls the backend servers owned by this router; answers lease and transfer requests."""

from __future__ import annotations

import asyncio

from cicadaledge.backends import call_backend
from cicadaledge.capacity import HomeLessor, LoadReport
from cicadaledge.config import Record
from cicadaledge.errors import BackendError
from cicadaledge.logs import PartLog
from cicadaledge.membership import Leave, Remove
from cicadaledge.router._context import RouterContext
from cicadaledge.wire import (
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    ServerSign,
    TransferReply,
    TransferRequest,
)
from cicadaledge.world import BackendServer

_TRANSFER_PERIOD_S = 0.2
_LOAD_TIMEOUT_MS = 1000
_log = PartLog("home")


class HomeRouter:
    """The home router of some backend servers: it polls their load and leases out their slots."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.lessor = HomeLessor(context.settings, context.started_ms)
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._poll_now: dict[str, asyncio.Event] = {}
        context.handlers[LeaseRequest] = self._on_lease_request
        context.handlers[LeaseRelease] = self._on_lease_release
        context.handlers[TransferRequest] = self._on_transfer_request
        context.handlers[TransferReply] = self._on_transfer_reply
        context.handlers[ServerSign] = self._on_cold_start_signal
        context.on_record.append(self._on_record)

    async def run_ownership_loop(self) -> None:
        """Request the ownership of newly assigned servers and poll owned ones, forever."""
        while True:
            context = self._context
            for member, request in self.lessor.transfer_requests().items():
                context.send(member, request)
            self.lessor.tick(context.state.members, context.now_ms())
            self._update_pollers()
            await asyncio.sleep(_TRANSFER_PERIOD_S)

    def _on_record(self, record: Record | None) -> None:
        context = self._context
        name = context.settings.name
        if record is None:
            self.lessor.clear_pending()
            self.lessor.delay_rights_creation(context.now_ms())
        if isinstance(record, (Leave, Remove)):
            self.lessor.delay_rights_creation(context.now_ms())
        if isinstance(record, Leave) and record.router != name:
            self.lessor.add_departing_member(record.router)
        if name not in context.state.members.by_name and not context.leaving:
            self.lessor.drop_owned()
        self.lessor.update(
            context.state.members, context.configuration, context.state.offset, context.now_ms()
        )

    def _on_lease_request(self, peer: str, request: LeaseRequest) -> None:
        context = self._context
        if not context.has_home_rights():
            return
        if context.coordinator_of(request.pool, request.zone) != peer:
            return
        incarnation = context.links.incarnation_of(peer) or context.incarnation
        grants = self.lessor.lease(
            peer, incarnation, request.items, context.configuration, context.now_ms()
        )
        if grants:
            lease_ms = context.settings.timing.lease_ms
            reply = LeaseReply(request.pool, request.zone, request.sent_ms, lease_ms, grants)
            context.send(peer, reply)

    def _on_lease_release(self, peer: str, release: LeaseRelease) -> None:
        incarnation = self._context.links.incarnation_of(peer) or self._context.incarnation
        self.lessor.release(peer, incarnation, release, self._context.now_ms())

    def _on_transfer_request(self, peer: str, request: TransferRequest) -> None:
        context = self._context
        state = context.state
        reply = self.lessor.on_transfer_request(
            peer, request, state.members, state.offset, context.now_ms()
        )
        if reply is not None and reply.servers:
            context.send(peer, reply)

    def _on_transfer_reply(self, peer: str, reply: TransferReply) -> None:
        self.lessor.on_transfer_reply(peer, reply, self._context.now_ms())

    def _on_cold_start_signal(self, peer: str, message: ServerSign) -> None:
        if self.lessor.on_cold_start(message.server, message.boot_id):
            _log.info(
                "Backend server shows a signal of a cold start; its warm-up begins again.",
                server=message.server,
                sign=message.sign,
            )
        event = self._poll_now.get(message.server)
        if event is not None:
            event.set()

    def _update_pollers(self) -> None:
        wanted = {server.name: server for server in self.lessor.servers_to_poll()}
        for name in set(self._pollers) - set(wanted):
            self._pollers.pop(name).cancel()
            self._poll_now.pop(name, None)
        for name in set(wanted) - set(self._pollers):
            self._poll_now[name] = asyncio.Event()
            self._pollers[name] = asyncio.create_task(self._poll(name))

    async def _poll(self, name: str) -> None:
        period_s = self._context.settings.timing.load_poll_ms / 1000
        while True:
            server = self._context.configuration.servers.get(name)
            if server is not None:
                await self._poll_once(server)
            event = self._poll_now[name]
            try:
                async with asyncio.timeout(period_s):
                    await event.wait()
            except TimeoutError:
                pass
            event.clear()

    async def _poll_once(self, server: BackendServer) -> None:
        context = self._context
        asked_ms = context.now_ms()
        try:
            body = await context.in_thread(call_backend, server, "GET", "/load", _LOAD_TIMEOUT_MS)
            report = LoadReport(
                boot_id=str(body["boot_id"]),
                running=int(body["running"]),
                as_of_ms=asked_ms - int(body["age_ms"]),
            )
        except (BackendError, KeyError, TypeError, ValueError):
            self.lessor.on_poll_failed(server.name)
            return
        if self.lessor.on_report(server.name, report):
            _log.info(
                "Backend server has a new boot id, as after a restart; its warm-up begins.",
                server=server.name,
                boot_id=report.boot_id,
            )

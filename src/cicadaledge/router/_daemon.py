"""The router process: connects its components and shuts down gracefully."""

from __future__ import annotations

import asyncio
import signal
import threading
from collections.abc import Coroutine, Iterable
from typing import Any

from cicadaledge.backends import BackendConnectionPool
from cicadaledge.codes import Code
from cicadaledge.errors import RefusalError
from cicadaledge.log import HttpLogClient
from cicadaledge.logs import PartLog
from cicadaledge.router._caller_server import CallerServer
from cicadaledge.router._callers import CallerInterface
from cicadaledge.router._claim_manager import ClaimManager
from cicadaledge.router._context import RouterContext, SwitchableLog, monotonic_ms
from cicadaledge.router._control_log import ControlLog
from cicadaledge.router._coordinators import CoordinatorManager
from cicadaledge.router._entry_queue import EntryQueue
from cicadaledge.router._fleet_membership import FleetMembership
from cicadaledge.router._granted_connections import GrantedConnections
from cicadaledge.router._home_router import HomeRouter
from cicadaledge.router._http import (
    HttpAnswer,
    HttpRequest,
    StartResponse,
    refusal_answer,
)
from cicadaledge.router._metrics import RouterMetrics
from cicadaledge.router._model_dispatch import ModelDispatcher, new_request_id
from cicadaledge.router._old_system import OldSystemClient
from cicadaledge.router._operators import OPERATOR_PREFIX, OperatorInterface
from cicadaledge.router._service_dispatch import ServiceDispatcher
from cicadaledge.settings import RouterSettings

_GAUGE_PERIOD_S = 1.0
_DRAIN_CHECK_S = 0.05
_LEAVE_RETRY_S = 0.5
_log = PartLog("router")


class Router:
    """One router process.

    Args:
        settings: Settings of this process.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        log = HttpLogClient(settings.platform, settings.timing.log_timeout_ms)
        self.context = RouterContext(settings, SwitchableLog(log))
        self.control_log = ControlLog(self.context)
        self.fleet = FleetMembership(self.context, self.control_log)
        self.home = HomeRouter(self.context)
        self.coordination = CoordinatorManager(self.context)
        self.entry_queue = EntryQueue(self.context)
        self.claims = ClaimManager(self.context)
        self.metrics = RouterMetrics()
        granted = GrantedConnections(self.context, self.entry_queue, BackendConnectionPool())
        self.callers = CallerInterface(
            self.context,
            ModelDispatcher(self.context, self.entry_queue, granted),
            ServiceDispatcher(self.context, self.entry_queue, granted, self.claims),
            OldSystemClient(self.context, self.metrics),
            self.metrics,
        )
        self.operators = OperatorInterface(
            self.context, self.control_log, self.home, self.coordination, self.entry_queue
        )
        self._in_flight = 0
        self._in_flight_lock = threading.Lock()
        self._stopping = asyncio.Event()
        self._http = CallerServer(settings.listen, settings.limits, self._application, self.metrics)

    async def run(self) -> int:
        """Run until SIGTERM or SIGINT; return the number of requests that were aborted."""
        self.context.bind_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.context.loop.add_signal_handler(number, self._stopping.set)
        listen = self.settings.listen
        await self.context.links.listen(listen.host, listen.peer_port)
        self._http.prepare()
        server_thread = threading.Thread(target=self._http.serve, name="http", daemon=True)
        server_thread.start()
        tasks = [asyncio.create_task(part) for part in self._background_tasks()]
        for task in tasks:
            task.add_done_callback(self._on_background_task_done)
        _log.info("Router has started.", router=self.settings.name)
        await self._stopping.wait()
        aborted = await self._shut_down()
        for task in tasks:
            task.remove_done_callback(self._on_background_task_done)
            task.cancel()
        await self.context.links.close()
        self.context.close()
        _log.info("Router has stopped.", router=self.settings.name, cut_requests=aborted)
        return aborted

    def _background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self.control_log.run_read_loop(),
            self.control_log.run_relay_loop(),
            self.control_log.run_snapshot_loop(),
            self.fleet.run_join_loop(),
            self.fleet.run_heartbeat_loop(),
            self.fleet.run_removal_loop(),
            self.home.run_ownership_loop(),
            self.coordination.run_lease_loop(),
            self.coordination.run_counter_loop(),
            self.coordination.run_grant_loop(),
            self.entry_queue.run_report_loop(),
            self.claims.run_read_loop(),
            self.claims.run_append_loop(),
            self.claims.run_checkpoint_loop(),
            self._run_gauge_loop(),
        ]

    def _on_background_task_done(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _log.warning("A background task has failed; the router shuts down.", error=repr(error))
            self._stopping.set()

    async def _shut_down(self) -> int:
        """Finish accepted requests, release leases, hand servers over and leave the fleet."""
        deadline_ms = monotonic_ms() + self.settings.shutdown.deadline_ms
        _log.info("Router is shutting down and leaving the fleet.", router=self.settings.name)
        self.context.leaving = True
        leave_task = asyncio.create_task(self._leave())
        self.coordination.release_all()
        await asyncio.sleep(self.settings.shutdown.notice_ms / 1000)
        self.callers.refusing = True
        while self._is_busy() and monotonic_ms() < deadline_ms:
            await asyncio.sleep(_DRAIN_CHECK_S)
        await self._hand_over(leave_task, deadline_ms)
        leave_task.cancel()
        aborted = self._in_flight
        if aborted:
            _log.warning(
                "Shutdown deadline has passed; unfinished requests are aborted.", count=aborted
            )
        self._http.stop()
        return aborted

    def _is_busy(self) -> bool:
        return self._in_flight > 0 or self.claims.unsettled > 0

    async def _leave(self) -> None:
        while not await self.fleet.leave():
            await asyncio.sleep(_LEAVE_RETRY_S)

    async def _hand_over(self, leave_task: asyncio.Task[None], deadline_ms: int) -> None:
        """Wait until the new home routers have requested the servers of this router.

        They learn of the handover from the leave record. While the log is unavailable, this
        router keeps leasing its servers' slots until the deadline, as no other router may.
        """
        while self._has_servers_to_hand_over() and not leave_task.done():
            if monotonic_ms() >= deadline_ms:
                _log.warning(
                    "Log did not confirm the leave record before the shutdown deadline; "
                    "servers are not handed over."
                )
                return
            await asyncio.sleep(_DRAIN_CHECK_S)
        give_up_ms = min(deadline_ms, monotonic_ms() + self.settings.timing.freshness_ms)
        while self._has_servers_to_hand_over() and monotonic_ms() < give_up_ms:
            await asyncio.sleep(_DRAIN_CHECK_S)

    def _has_servers_to_hand_over(self) -> bool:
        others = set(self.context.state.members.by_name) - {self.settings.name}
        return bool(others and self.home.lessor.owned)

    async def _run_gauge_loop(self) -> None:
        while True:
            open_slots, busy_slots, waiting = self.coordination.slots()
            self.metrics.set_gauge("control_offset", self.context.state.offset)
            self.metrics.set_gauge("control_sent_bytes", self.context.links.stats.sent_bytes)
            self.metrics.set_gauge("slots_open", open_slots)
            self.metrics.set_gauge("slots_busy", busy_slots)
            self.metrics.set_gauge("requests_waiting", waiting)
            self.metrics.set_gauge("requests_active", self.entry_queue.active)
            self.metrics.set_gauge("home_rights", int(self.context.has_home_rights()))
            self.metrics.update_process_gauges()
            self._http.report()
            await asyncio.sleep(_GAUGE_PERIOD_S)

    def _application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        request = HttpRequest(environ)
        if request.path in ("/livez", "/readyz", "/metrics"):
            yield from self._probe(request.path).start(start_response)
            return
        with self._in_flight_lock:
            self._in_flight += 1
        started = False

        def mark_started(*args: Any) -> Any:
            nonlocal started
            started = True
            return start_response(*args)

        try:
            interface = self.operators if request.path.startswith(OPERATOR_PREFIX) else self.callers
            yield from interface.answer(request, mark_started)
        except Exception as error:  # noqa: BLE001 - callers get an error code, never a traceback
            if started:
                # Closing the connection early shows the caller that the answer is incomplete.
                _log.warning(
                    "Answer was aborted by an internal error; closing the caller's connection.",
                    error=repr(error),
                )
                raise ConnectionAbortedError from None
            yield from self._internal_error(error, start_response)
        finally:
            with self._in_flight_lock:
                self._in_flight -= 1

    def _probe(self, path: str) -> HttpAnswer:
        if path == "/metrics":
            content, headers = self.metrics.text()
            return HttpAnswer(200, content, headers)
        ready = path == "/livez" or self.context.is_ready
        return HttpAnswer(200 if ready else 503, b"ok\n" if ready else b"not ready\n")

    def _internal_error(self, error: Exception, start_response: StartResponse) -> Iterable[bytes]:
        request_id = new_request_id()
        _log.warning(
            "Request failed with an internal error; answering with an error code.",
            request_id=request_id,
            error=repr(error),
        )
        return refusal_answer(RefusalError(Code.INTERNAL), request_id).start(start_response)


def run_router(settings: RouterSettings) -> int:
    """Run a router until it is signalled to stop; return the number of aborted requests."""

    async def main() -> int:
        return await Router(settings).run()

    return asyncio.run(main())

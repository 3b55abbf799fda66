"""The edge router: assembles its components and shuts them down gracefully."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from cicadaledge.clock import clock_ms
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._connection_gate import ConnectionGate
from cicadaledge.edge._control_state import ControlPlaneState, ControlSink, ServerSink
from cicadaledge.edge._crash_watch import CrashDetector
from cicadaledge.edge._departure import ShutdownSchedule
from cicadaledge.edge._evidence_publisher import SuspectNews
from cicadaledge.edge._header_codec import HeaderCodec
from cicadaledge.edge._load_shedder import LoadShedder
from cicadaledge.edge._loop_watch import LoopWatch
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._peers import PeerKeeper
from cicadaledge.edge._poison_guard import PoisonRequestGuard
from cicadaledge.edge._ports import HttpPorts
from cicadaledge.edge._probe_service import ProbeService
from cicadaledge.edge._request_handler import RequestHandler
from cicadaledge.edge._rollout_exchange import RolloutExchange
from cicadaledge.edge._rollout_guard import RolloutGuard
from cicadaledge.edge._server_pool import ServerPool
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.edge._slow_readers import SlowReaders
from cicadaledge.ingress import Intake
from cicadaledge.logs import PartLog
from cicadaledge.placing import AccountShares, FleetLoad, LoadTracker, Placer, ServerHealth
from cicadaledge.store import (
    ChangeSource,
    PollTiming,
    StoreAvailability,
    StoreTopics,
    TopicFollower,
    TopicSink,
)
from cicadaledge.wire import Listener

_UPKEEP_INTERVAL_S = 1.0
_DRAIN_CHECK_S = 0.05
# An event loop that is later than this is logged, as it delays each stream noticeably.
_LATE_LOOP_MS = 100.0
# The crash evidence is read again after this pause. All routers report a crash within it, so that
# one read, which is a call to the store, returns all their reports.
_SUSPECT_PAUSE_MS = 100.0
# Due removals, crashed servers and refutations are looked for at this interval, a twentieth of the time within
# which a leaving server must get no more requests.
_REMOVAL_CHECK_S = 0.2
# At the end of the process, cancelled tasks get this long to end, and then the log lines to be
# written. The two waits take half of the stop margin.
FINAL_WAIT_S = 0.1
# A failed background task is restarted after this delay, so that a task that fails at once does not
# occupy the CPU.
_TASK_RESTART_S = 0.5
_log = PartLog("router")


class EdgeRouter:
    """One router process.

    Args:
        settings: Settings of this process.
        dialect: Header names and other conventions of the platform.
        topics: The store's topics.
    """

    def __init__(self, settings: EdgeSettings, dialect: HeaderCodec, topics: StoreTopics) -> None:
        self._settings = settings
        self._control_state = ControlPlaneState(settings)
        self._metrics = EdgeMetrics()
        self._intake = Intake(settings.ingress, clock_ms)
        self._callers = CallerConnections(settings)
        self._gate = ConnectionGate(self._callers, dialect, self._metrics)
        fleet = FleetLoad(settings.router)
        self._load = LoadTracker(fleet)
        self._shares = AccountShares(settings.bounds.share_window_ms, fleet)
        self._pool = ServerPool(settings)
        self._load_shedder = LoadShedder(settings.shedding)
        availability = StoreAvailability(topics.registry.epoch)
        self._epoch = topics.registry.epoch
        health = ServerHealth()
        self._placer = Placer(
            settings.placing,
            self._control_state.directory,
            self._load,
            health,
            settings.region_of,
            settings.region,
        )
        self._shutdown_schedule = ShutdownSchedule(settings)
        self._poison_guard = PoisonRequestGuard(self._metrics, self._load.is_selected_for)
        self._rollouts = RolloutGuard(settings, self._control_state, self._metrics)
        self._suspect_news = SuspectNews(
            settings.router,
            self._poison_guard,
            topics.registry.suspects,
            settings.timing.rewrite_spread_ms,
        )
        self._crash_detector = CrashDetector(
            self._control_state.directory,
            self._load,
            self._pool,
            settings.timing.connect_ms,
            self._poison_guard.record_crash,
            self._poison_guard.retract_crash,
        )
        self._request_handler = RequestHandler(
            settings,
            dialect,
            self._control_state,
            self._load,
            self._shares,
            health,
            self._placer,
            self._pool,
            self._callers,
            self._load_shedder,
            self._shutdown_schedule,
            self._crash_detector,
            self._poison_guard,
            self._rollouts,
            self._metrics,
        )
        self._slow_readers = SlowReaders(settings.slow_readers, self._callers, self._metrics)
        self._probes = ProbeService(dialect, self._is_ready, self._metrics)
        self._ports = HttpPorts(settings, self._intake, self._metrics)
        self._loop_watch = LoopWatch(
            self._load_shedder, fleet, self._callers, self._request_handler, self._metrics
        )
        self._peers = PeerKeeper(
            settings,
            topics.registry,
            fleet,
            self._load,
            self._shares,
            self._load_shedder,
            self._control_state.directory,
            availability,
        )
        self._rollout_exchange = RolloutExchange(
            settings,
            self._rollouts,
            self._peers,
            fleet,
            self._load,
            topics.statuses,
            self._metrics,
        )
        self._peers.on_rollout_view = self._rollout_exchange.receive
        self._followers = self._create_followers(topics, availability)
        self._listener: Listener | None = None
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until `stop` is called."""
        await self._peers.listen()
        callers = self._listener = self._ports.listen_for_callers(
            self._request_handler, self._callers, self._gate
        )
        probes = self._ports.listen_for_probes(self._settings.probes, self._probes)
        metrics = self._ports.listen_for_probes(self._settings.metrics, self._probes)
        parts = [asyncio.create_task(self._supervise(part)) for part in self._background_tasks()]
        _log.info("Router has started.", router=self._settings.router, zone=self._settings.zone)
        await self._stopping.wait()
        await self._shut_down(callers)
        self._request_handler.is_terminating = True
        for listener in (probes, metrics):
            listener.close()
        tasks = [*parts, *self._ports.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=FINAL_WAIT_S)
        await self._peers.links.close()
        broken_off = self._request_handler.aborted_requests
        _log.info("Router has stopped.", router=self._settings.router, broken_off=broken_off)

    def stop(self) -> None:
        """Start a graceful shutdown; `run` returns when it is done."""
        self._shutdown_schedule.begin(clock_ms())
        self._stopping.set()

    def reload(self) -> None:
        """Log that a changed settings file takes effect only after a restart."""
        _log.info(
            "Settings are not reloaded; changes need a restart.", router=self._settings.router
        )

    def fleet_size(self) -> int:
        """Return the number of live routers, including this one."""
        return self._load.router_count(clock_ms())

    def running_on(self, server: str) -> int:
        """Return how many requests the fleet runs on a server, by the latest load views."""
        return self._load.totals(server, clock_ms()).running

    def _background_tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            *[follower.follow for follower in self._followers],
            self._peers.keep_announced,
            self._peers.keep_views,
            self._suspect_news.keep_published,
            self._suspect_news.keep_claims_written,
            *self._rollout_exchange.tasks(),
            self._settle_removals,
            self._loop_watch.keep_sampled,
            self._slow_readers.keep_checked,
            self._keep_up,
        ]

    def _create_followers(
        self, topics: StoreTopics, availability: StoreAvailability
    ) -> list[TopicFollower]:
        timing = self._settings.timing
        relay = self._peers.store_relay
        silence_ms = timing.news_silence_ms
        control = PollTiming(
            timing.control_wait_ms, 0.0, silence_ms, (timing.first_control_pause_ms,)
        )
        servers = PollTiming(0, timing.server_poll_ms, silence_ms, (timing.first_server_pause_ms,))
        members = PollTiming(
            0,
            timing.member_poll_ms,
            timing.member_poll_ms + silence_ms,
            timing.first_member_pauses_ms,
        )
        suspects = PollTiming(timing.suspect_wait_ms, _SUSPECT_PAUSE_MS, timing.suspect_silence_ms)
        followed: list[tuple[ChangeSource, TopicSink, PollTiming]] = [
            (topics.control, ControlSink(self._control_state, self._rollouts), control),
            (topics.servers, ServerSink(self._control_state), servers),
            (topics.members, self._peers, members),
            (topics.registry.suspects, self._suspect_news, suspects),
        ]
        if topics.statuses is not None and self._settings.rollouts.is_enabled:
            followed.append((topics.statuses, self._rollouts, control))
        return [TopicFollower(*item, relay, availability, self._metrics) for item in followed]

    async def _supervise(self, part: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a background task forever; restart it when it fails."""
        while True:
            try:
                await part()
            except Exception as error:  # noqa: BLE001 - requests are served without the task
                self._metrics.count_part_failure(part.__qualname__)
                _log.warning(
                    "Background task has failed and will be restarted.",
                    part=part.__qualname__,
                    error=repr(error),
                )
            await asyncio.sleep(_TASK_RESTART_S)

    def _is_ready(self) -> bool:
        return (
            not self._stopping.is_set()
            and self._control_state.servers_known
            and self._control_state.may_use_keys(clock_ms())
            and not self._load_shedder.is_active
            and self._listener is not None
            and not self._listener.is_out_of_descriptors
        )

    async def _settle_removals(self) -> None:
        while True:
            self._control_state.apply_due_removals(clock_ms())
            self._crash_detector.check()
            self._poison_guard.publish_refutations()
            await asyncio.sleep(_REMOVAL_CHECK_S)

    async def _keep_up(self) -> None:
        while True:
            self._pool.close_idle()
            self._placer.retain_servers(self._control_state.directory.server_names())
            self._gate.report()
            self._ports.report_probes()
            evicted, refused = self._intake.report()
            self._metrics.count_ingress("memory, gave way", evicted)
            self._metrics.count_ingress("memory, refused", refused)
            self._metrics.set_gauge("ingress_bytes", self._intake.budget.used_bytes)
            self._poison_guard.expire()
            self._metrics.set_gauge("callers", len(self._callers))
            self._metrics.set_gauge("server_connections", len(self._pool))
            self._metrics.set_gauge("active", self._request_handler.active)
            self._metrics.set_gauge("waiting", self._request_handler.waiting)
            self._metrics.set_gauge("peers", len(self._peers.links.peers()))
            self._metrics.set_store_epoch(self._epoch)
            self._metrics.set_gauge("proof_age_ms", self._control_state.proof_age_ms(clock_ms()))
            await self._sleep_until_upkeep()

    async def _sleep_until_upkeep(self) -> None:
        """Sleep until the next upkeep; log if the event loop wakes this task late."""
        listener = self._listener
        assert listener is not None
        started_ms = clock_ms()
        accepted = listener.accepted
        await asyncio.sleep(_UPKEEP_INTERVAL_S)
        late_ms = clock_ms() - started_ms - _UPKEEP_INTERVAL_S * 1000
        listener.accept_unnoticed()
        self._metrics.set_gauge("loop_late_ms", late_ms)
        self._metrics.set_gauge("accepted", listener.accepted)
        self._metrics.set_gauge("callers_wait", float(listener.has_pending))
        if late_ms > _LATE_LOOP_MS:
            _log.warning(
                "Event loop is late, which delays all requests and streams.",
                late_ms=round(late_ms),
                callers=len(self._callers),
                active=self._request_handler.active,
                accepted=listener.accepted - accepted,
                others_wait=listener.has_pending,
            )

    async def _shut_down(self, callers: Listener) -> None:
        """Accept connections until the balancer stops sending them, then finish those accepted."""
        shutdown_schedule = self._shutdown_schedule
        _log.info(
            "Router is shutting down.",
            router=self._settings.router,
            active=self._request_handler.active,
        )
        self._request_handler.cap_timeouts()
        self._peers.leaving = True
        await asyncio.sleep(max(0.0, shutdown_schedule.accept_until_ms - clock_ms()) / 1000)
        waited = await callers.drain()
        _log.info(
            "Router accepts no more connections; those already accepted are still served.",
            waited=waited,
            callers=len(self._callers),
        )
        while clock_ms() < shutdown_schedule.abort_at_ms:
            self._callers.close_idle()
            if not self._request_handler.active and not self._callers:
                return
            await asyncio.sleep(_DRAIN_CHECK_S)
        _log.warning(
            "Shutdown deadline has passed; remaining requests and connections are aborted.",
            count=self._request_handler.active,
        )

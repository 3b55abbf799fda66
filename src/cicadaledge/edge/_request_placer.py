"""Finds a server for each request, now or while its caller waits."""

from __future__ import annotations

import asyncio
import math

from attrs import define

from cicadaledge.clock import clock_ms
from cicadaledge.codes import Code
from cicadaledge.edge._active_request import ActiveRequest
from cicadaledge.edge._admission import Admission
from cicadaledge.edge._answer_times import AnswerTimes
from cicadaledge.edge._control_state import ControlPlaneState
from cicadaledge.edge._departure import LEAVING_RETRY_MS, ShutdownSchedule
from cicadaledge.edge._poison_guard import PoisonRequestGuard
from cicadaledge.edge._refusals import no_capacity, useful_retry_after_ms
from cicadaledge.edge._request_log import RequestLog
from cicadaledge.edge._rollout_guard import RolloutGuard
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.errors import RefusalError
from cicadaledge.placing import (
    AccountShares,
    Chosen,
    LoadTracker,
    Placer,
    Refused,
    ShareUse,
    WaitingQueue,
    WaitingRequest,
    waiting_group,
)

# While requests wait, servers are looked for at this interval, which is the shortest one between
# two load views of a peer. When a request of this router ends, they are looked for at once.
_LOOK_INTERVAL_S = 0.05


@define(eq=False)
class _Waiter:
    """A waiting request.

    Args:
        future: Its server, or None if it has to look for one of another service.
    """

    request: ActiveRequest
    future: asyncio.Future[Chosen | None]


class RequestPlacer:
    """Chooses a server for each request; the request counts as sent there from then on.

    First tries and repeats are treated alike.

    Args:
        answer_times: Durations of earlier answers, from which the work of a request is estimated.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        control_state: ControlPlaneState,
        load: LoadTracker,
        shares: AccountShares,
        placer: Placer,
        admission: Admission,
        poison_guard: PoisonRequestGuard,
        shutdown: ShutdownSchedule,
        answer_times: AnswerTimes,
        request_log: RequestLog,
        rollouts: RolloutGuard,
    ) -> None:
        self._settings = settings
        self._control_state = control_state
        self._load = load
        self._shares = shares
        self._placer = placer
        self._admission = admission
        self._poison_guard = poison_guard
        self._shutdown = shutdown
        self._answer_times = answer_times
        self._request_log = request_log
        self._rollouts = rollouts
        self._queues: dict[str, WaitingQueue] = {}
        self._waiters: dict[WaitingRequest, _Waiter] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._woken: set[str] = set()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a server."""
        return len(self._waiters)

    async def place(self, request: ActiveRequest) -> Chosen:
        """Return the server chosen for a request, waiting for one while its caller has time.

        Raises:
            RefusalError: No server can take the request in time, or it must not be sent.
        """
        while True:
            while self._poison_guard.awaits_evidence(request):
                await asyncio.sleep(_LOOK_INTERVAL_S)
            now_ms = clock_ms()
            use = self._check(request, now_ms)
            queue = self._queue(request.service.name)
            refused = Refused("earlier requests wait", self._settings.placing.min_retry_ms)
            if not queue or not queue.has_group(self._group(request, use, now_ms)):
                choice = self._try(request, use, now_ms)
                if isinstance(choice, Chosen):
                    return choice
                refused = choice
            chosen = await self._wait(request, queue, refused, use)
            if chosen is not None:
                return chosen

    def wake(self, service: str) -> None:
        """Look for servers for the waiting requests of a service, as one may have become free."""
        if self._queues.get(service) and service not in self._woken:
            self._woken.add(service)
            asyncio.get_running_loop().call_soon(self._serve, service)

    def has_time(self, request: ActiveRequest, now_ms: float) -> bool:
        """Return whether a request that is sent now can be answered before the process ends.

        What a lost attempt took, the next one is expected to take as well.
        """
        work_ms = max(self._answer_times.long_ms(request.route.name), request.longest_attempt_ms)
        return self._shutdown.has_time_for(work_ms, now_ms)

    def _check(self, request: ActiveRequest, now_ms: float) -> ShareUse:
        """Return how much the request's account gets.

        Raises:
            RefusalError: The request must not be sent, or can't be answered before the process
                ends.
        """
        self._check_whether_allowed(request, now_ms)
        if self._settings.placing.engine.never_fits(request.call, request.service):
            raise RefusalError(Code.TOO_LARGE_FOR_ENGINES)
        self._poison_guard.check(request)
        return self._admission.share_use(request, now_ms)

    def _check_whether_allowed(self, request: ActiveRequest, now_ms: float) -> None:
        self._admission.recheck(request)
        if not self.has_time(request, now_ms):
            raise RefusalError(Code.LEAVING, retry_after_ms=int(LEAVING_RETRY_MS))

    def _try(self, request: ActiveRequest, use: ShareUse, now_ms: float) -> Chosen | Refused:
        choice = self._choose(request, use, now_ms)
        if isinstance(choice, Chosen):
            self._placer.record_sent(request.call, choice, now_ms)
            self._rollouts.record_sent(request, choice.server)
            if request.account is not None and request.service.engine is not None:
                self._shares.record_admitted(request.account.name, request.call.cost_tokens, now_ms)
        return choice

    def _choose(self, request: ActiveRequest, use: ShareUse, now_ms: float) -> Chosen | Refused:
        """Return a server of the preferred version.

        Requests suspected of crashing servers are kept apart where possible.
        """
        failed_servers = self._excluded_servers(request)
        suspect_servers = self._poison_guard.servers_to_avoid(request)
        suspect_parts = self._poison_guard.suspect_parts(request)
        for other_versions in self._rollouts.excluded_servers(request):
            excluded = failed_servers | other_versions
            tries = (excluded | suspect_servers, excluded) if suspect_servers else (excluded,)
            for avoided in tries:
                choice = self._placer.choose(
                    request.call,
                    request.route,
                    request.service,
                    request.regions,
                    avoided,
                    use,
                    now_ms,
                    suspect_parts,
                )
                if isinstance(choice, Chosen):
                    return choice
        return choice

    def _excluded_servers(self, request: ActiveRequest) -> set[str]:
        """Return the servers to which a request is not sent.

        These are the ones that failed it, and all others once it has been sent to as many as its
        route allows.
        """
        if len(request.reached_servers) < request.route.max_attempts:
            return request.tried_servers
        usable = self._control_state.directory.usable_by_name(request.service.name)
        return request.tried_servers | (usable.keys() - request.reached_servers)

    def _has_no_server_left(self, request: ActiveRequest) -> bool:
        """Return whether there are servers, but none that may still get the request."""
        usable = self._control_state.directory.usable_by_name(request.service.name)
        other_versions = frozenset.intersection(*self._rollouts.excluded_servers(request))
        left = usable.keys() - self._excluded_servers(request) - other_versions
        return bool(usable) and not left

    def _group(self, request: ActiveRequest, use: ShareUse, now_ms: float) -> str:
        other_versions = self._rollouts.excluded_servers(request)[0]
        engine = self._placer.bound_engine(
            request.call,
            request.service,
            request.regions,
            now_ms,
            other_versions,
            self._poison_guard.suspect_parts(request),
        )
        return waiting_group(engine, request.account_name or "", use)

    def _queue(self, service: str) -> WaitingQueue:
        if service not in self._queues:
            self._queues[service] = WaitingQueue(self._settings.waiting)
        return self._queues[service]

    async def _wait(
        self, request: ActiveRequest, queue: WaitingQueue, refused: Refused, use: ShareUse
    ) -> Chosen | None:
        """Return the server chosen for a waiting request, or None if its service has changed.

        Raises:
            RefusalError: No server can take the request in time, or it must not be sent.
        """
        now_ms = clock_ms()
        waiting = self._waiting_request(request, refused, use, now_ms)
        waiter = _Waiter(request, asyncio.get_running_loop().create_future())
        too_late = max(now_ms, refused.available_from_ms) > waiting.latest_start_ms
        if too_late or self._has_no_server_left(request):
            raise self._refusal(waiting, request)
        self._waiters[waiting] = waiter
        queue.add(waiting, now_ms)
        self._refuse_hopeless(queue, now_ms)
        self._set_timer()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self._release(waiter.future)
            raise
        finally:
            del self._waiters[waiting]
            queue.remove(waiting)

    def _waiting_request(
        self, request: ActiveRequest, refused: Refused, use: ShareUse, now_ms: float
    ) -> WaitingRequest:
        typical_ms = self._answer_times.typical_ms(request.route.name)
        work_ms = typical_ms
        objective_start_ms = math.inf
        if request.service.engine is not None:
            work_ms = refused.work_ms
            objective_start_ms = self._settings.placing.objective_start_ms(
                request.route, request.call, work_ms, use.served_fraction
            )
        return WaitingRequest(
            group=self._group(request, use, now_ms),
            rank=request.rank,
            is_over_share=use.share_multiple > 1.0,
            work_ms=work_ms,
            joined_ms=now_ms,
            latest_start_ms=min(
                request.route.answer_due_ms(request.call) - work_ms,
                request.expires_ms - typical_ms,
            ),
            refused=refused,
            size_bytes=len(request.call.body),
            objective_start_ms=objective_start_ms,
        )

    def _release(self, future: asyncio.Future[Chosen | None]) -> None:
        """Release the server of a request whose caller left before it could be sent."""
        chosen = None if future.exception() else future.result()
        if chosen is not None:
            self._load.record_end(chosen.placement)

    def _set_timer(self) -> None:
        if self._timer is None and self._waiters:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_LOOK_INTERVAL_S, self._look)

    def _look(self) -> None:
        self._timer = None
        self._set_timer()
        now_ms = clock_ms()
        for service, queue in self._queues.items():
            for waiting in list(queue):
                self._ends_wait(service, queue, waiting, now_ms)
            self._serve(service)

    def _serve(self, service: str) -> None:
        """Place the waiting requests of a service that a server can take now."""
        self._woken.discard(service)
        queue = self._queues[service]
        now_ms = clock_ms()

        def place(waiting: WaitingRequest) -> Chosen | Refused | None:
            if self._ends_wait(service, queue, waiting, now_ms):
                return None
            return self._place_waiting(queue, waiting, now_ms)

        for waiting, chosen in queue.serve(place, now_ms):
            self._waiters[waiting].future.set_result(chosen)
        self._refuse_hopeless(queue, now_ms)

    def _ends_wait(
        self, service: str, queue: WaitingQueue, waiting: WaitingRequest, now_ms: float
    ) -> bool:
        """End the wait of a request that is no longer allowed or belongs to another service."""
        waiter = self._waiters[waiting]
        if waiter.future.done():  # its caller has left
            return True
        try:
            self._check_whether_allowed(waiter.request, now_ms)
        except RefusalError as refusal:
            queue.remove(waiting)
            waiter.future.set_exception(refusal)
            return True
        if waiter.request.service.name != service:
            queue.remove(waiting)
            waiter.future.set_result(None)
            return True
        return False

    def _place_waiting(
        self, queue: WaitingQueue, waiting: WaitingRequest, now_ms: float
    ) -> Chosen | Refused | None:
        waiter = self._waiters[waiting]
        request = waiter.request
        if self._poison_guard.awaits_evidence(request):
            return None
        try:
            self._poison_guard.check(request)
        except RefusalError as refusal:
            queue.remove(waiting)
            waiter.future.set_exception(refusal)
            return None
        return self._try(request, self._admission.share_use(request, now_ms), now_ms)

    def _refuse_hopeless(self, queue: WaitingQueue, now_ms: float) -> None:
        for waiting in queue.take_hopeless(now_ms):
            waiter = self._waiters[waiting]
            if not waiter.future.done():
                waiter.future.set_exception(self._refusal(waiting, waiter.request))

    def _refusal(self, waiting: WaitingRequest, request: ActiveRequest) -> RefusalError:
        """Return the refusal of a request that no server can take in its caller's time."""
        now_ms = clock_ms()
        refused = waiting.refused
        use = self._admission.share_use(request, now_ms)
        self._request_log.log_not_placed(request, refused, use, now_ms)
        left_ms = request.expires_ms - now_ms
        return no_capacity(refused.reason, useful_retry_after_ms(refused.retry_after_ms, left_ms))

"""One round of the soak: load and faults that are drawn by a seed."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from attrs import frozen

from cicadaledge.edge import clock_ms
from cicadaledge.soak._callers import Callers
from cicadaledge.soak._cold_servers import COLD_PER_S
from cicadaledge.soak._deployment import SoakSize, SoakWorld
from cicadaledge.soak._fatal_requests import CRASH_PART_MARKER
from cicadaledge.soak._faults import FaultInjector, PlannedFault, draw_faults
from cicadaledge.soak._observations import LEAVE_NOTICE_MS, Observations, SentRequest, SoakBounds
from cicadaledge.soak._rollouts import SETTINGS, RolloutChecker

_WARM_UP_S = 1.0  # Callers send requests for this long before the first fault.
# The platform requires that all routers are ready again within this time after the last fault.
_RECOVERY_S = 12.0
_FINAL_LOAD_S = 2.0  # Callers go on sending requests for this long after recovery.
_MIN_ANSWERED_SHARE = 0.9  # At least this fraction of them must be answered.
# This grace period for shutdown is shorter than the time for which a load balancer may keep sending
# new callers to the router.
_SHORT_GRACE_MS = 2_500.0
_SHORT_GRACE_SHARE = 0.5
_OK = 200


@frozen
class SoakPlan:
    """Parameters of a round.

    Args:
        seed: Seeds faults and load.
        faults: Number of faults; None draws it from the seed.
        start_within_s: Time within which the faults begin.
        busy: Whether to add faults that keep event loops busy.
        server_signals: Whether servers announce a shutdown or ask for a pause in their answers.
        fatal_request: Whether callers repeat a request that crashes servers beside a frequent
            harmless one, and some rounds have a short grace period for shutdown.
        fatal_part: Whether callers send prompts with a part that crashes servers instead.
        invalid_entries: Whether unreadable entries are written to the store.
        misleading_answers: Whether servers refuse what they ran, end streams within an event or
            send without end.
        partial_outages: Whether all routers restart beside cold servers while topics of the store
            are down.
        restores: Whether the store has epochs and is restored from an older copy.
        untrusted_clients: Whether small crowds send requests that stay incomplete.
        rollouts: Whether half of the rounds order a rollout of a service to a new version.
        late_refusals: Whether servers repeat refusals late.
        size: Size of the deployment.
    """

    seed: int
    faults: int | None = None
    start_within_s: float = 8.0
    busy: bool = True
    server_signals: bool = True
    fatal_request: bool = True
    fatal_part: bool = False
    invalid_entries: bool = True
    misleading_answers: bool = True
    partial_outages: bool = True
    restores: bool = True
    untrusted_clients: bool = True
    rollouts: bool = True
    late_refusals: bool = True
    size: SoakSize = SoakSize()


@frozen
class SoakResult:
    """Outcome of a round."""

    seed: int
    faults: list[PlannedFault]
    broken: list[str]
    statuses: dict[str, int]

    def lines(self) -> list[str]:
        """Return the report of the round: a summary and a line for each violation."""
        verdict = "broken" if self.broken else "held"
        plan = "; ".join(f"{one.at_s}s {one.kind} {one.duration_s}s" for one in self.faults)
        ends = ", ".join(f"{status}: {count}" for status, count in sorted(self.statuses.items()))
        return [f"seed {self.seed}: {verdict}; {plan}; {ends}", *(f"  {x}" for x in self.broken)]


def run_round(plan: SoakPlan, directory: Path) -> SoakResult:
    """Run one round; the routers' settings and logs are kept in *directory*."""
    return asyncio.run(_run(plan, directory))


async def _run(plan: SoakPlan, directory: Path) -> SoakResult:
    faults = draw_faults(
        plan.seed,
        plan.faults,
        plan.start_within_s,
        busy=plan.busy,
        server_signals=plan.server_signals,
        invalid_entries=plan.invalid_entries,
        misleading_answers=plan.misleading_answers,
        partial_outages=plan.partial_outages,
        restores=plan.restores,
        untrusted_clients=plan.untrusted_clients,
        rollouts=plan.rollouts,
        late_refusals=plan.late_refusals,
    )
    world = SoakWorld(plan.size, directory)
    if plan.partial_outages:
        world.cold_per_s = COLD_PER_S
    if plan.rollouts:
        world.rollouts = SETTINGS
    world.store.era = 1 if plan.restores else None
    world.observations.bounds = _bounds(plan, faults)
    async with world.running():
        callers = Callers(world, plan.seed)
        callers.start()
        if plan.fatal_part:
            world.observations.crash_marker = CRASH_PART_MARKER
            callers.start_fatal_parts()
        elif plan.fatal_request:
            callers.start_fatal_requests()
        await asyncio.sleep(_WARM_UP_S)
        injector = FaultInjector(world, callers)
        await injector.run(faults)
        for unready in await world.wait_until_ready(_RECOVERY_S):
            world.observations.failures.append(f"recovery: not ready in time: {unready}")
        for name in await world.unresponsive_routers():
            world.observations.failures.append(
                f"recovery: {name} says that it is ready and takes nobody"
            )
        begin_ms = clock_ms()
        await asyncio.sleep(_FINAL_LOAD_S)
        world.observations.failures += _find_unanswered_load(world.observations, begin_ms)
        await callers.stop()
        # The round lasts until servers must have learnt that the last callers have disconnected.
        await asyncio.sleep(LEAVE_NOTICE_MS / 1000)
        world.observations.failures += _find_exited_routers(world)
    broken = world.observations.violations()
    for record in injector.rollouts:
        broken += RolloutChecker(record, world.observations).violations()
    return SoakResult(plan.seed, faults, broken, dict(world.observations.statuses()))


def _bounds(plan: SoakPlan, faults: list[PlannedFault]) -> SoakBounds:
    """Return the bounds of a round; routers kept busy during shutdown need the default grace."""
    rng = random.Random(f"{plan.seed}/grace")
    is_busy = any(fault.kind == "busy-stop" for fault in faults)
    is_short = plan.fatal_request and not is_busy and rng.random() < _SHORT_GRACE_SHARE
    return SoakBounds(grace_ms=_SHORT_GRACE_MS) if is_short else SoakBounds()


def _find_unanswered_load(observations: Observations, begin_ms: float) -> list[str]:
    """Check that nearly all requests are answered after the faults."""
    ended: list[SentRequest] = [
        sent
        for sent in observations.sent.values()
        if observations.crash_marker not in sent.target
        and sent.sent_ms >= begin_ms
        and sent.ended_ms is not None
        and sent.abandoned_ms is None
    ]
    served = sum(sent.status == _OK and sent.complete for sent in ended)
    if served < len(ended) * _MIN_ANSWERED_SHARE or not ended:
        return [f"recovery: {served} of {len(ended)} requests were answered after the faults"]
    return []


def _find_exited_routers(world: SoakWorld) -> list[str]:
    return [
        f"exit: {router.name} ended by itself with status {router.process.poll()}"
        for router in world.routers.values()
        if router.process is not None and router.process.poll() is not None
    ]

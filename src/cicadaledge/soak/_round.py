"""One round of load and faults, drawn by a seed."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from attrs import frozen

from cicadaledge.edge import clock_ms
from cicadaledge.soak._callers import Callers
from cicadaledge.soak._fatal import FATAL
from cicadaledge.soak._faults import FaultLine, PlannedFault, draw_faults
from cicadaledge.soak._ledger import LEAVE_NOTICE_MS, Ledger, Sent, SoakBounds
from cicadaledge.soak._world import SoakSize, SoakWorld

_WARM_S = 1.0  # load before the first fault
_RECOVERY_S = 12.0  # the platform's bound for being ready again
_CALM_S = 2.0  # load after recovery by which it is judged
_CALM_SHARE = 0.9  # of the requests that must be answered then
_SHORT_GRACE_MS = 2_500.0  # shorter than the time for which a balancer may send new callers
_SHORT_GRACE_SHARE = 0.5
_OK = 200


@frozen
class SoakPlan:
    """What a round does.

    Args:
        seed: Draws faults and load.
        faults: How many faults; None draws it by the seed.
        within_s: Time within which they begin.
        busy: Whether faults of busy loops are drawn, too.
        words: Whether servers say that they leave or want a pause.
        fatal: Whether a request crashes the servers that run it, beside a hot sound one, and the
            grace of routers that are stopped is short in some rounds.
        entries: Whether another program writes entries that cannot be read.
        size: Size of the deployment.
    """

    seed: int
    faults: int | None = None
    within_s: float = 8.0
    busy: bool = True
    words: bool = True
    fatal: bool = True
    entries: bool = True
    size: SoakSize = SoakSize()


@frozen
class SoakResult:
    """What a round showed."""

    seed: int
    faults: list[PlannedFault]
    broken: list[str]
    statuses: dict[str, int]

    def lines(self) -> list[str]:
        """Return a report."""
        verdict = "broken" if self.broken else "held"
        plan = "; ".join(f"{one.at_s}s {one.kind} {one.for_s}s" for one in self.faults)
        ends = ", ".join(f"{status}: {count}" for status, count in sorted(self.statuses.items()))
        return [f"seed {self.seed}: {verdict}; {plan}; {ends}", *(f"  {x}" for x in self.broken)]


def run_round(plan: SoakPlan, directory: Path) -> SoakResult:
    """Run one round; settings and logs of the routers stay in *directory*."""
    return asyncio.run(_run(plan, directory))


async def _run(plan: SoakPlan, directory: Path) -> SoakResult:
    faults = draw_faults(
        plan.seed,
        plan.faults,
        plan.within_s,
        busy=plan.busy,
        words=plan.words,
        entries=plan.entries,
    )
    world = SoakWorld(plan.size, directory)
    world.ledger.bounds = _bounds(plan, faults)
    async with world.running():
        callers = Callers(world, plan.seed)
        callers.start()
        if plan.fatal:
            callers.start_fatal()
        await asyncio.sleep(_WARM_S)
        await FaultLine(world, callers).run(faults)
        for unready in await world.unready_after(_RECOVERY_S):
            world.ledger.exits.append(f"recovery: not ready in time: {unready}")
        for name in await world.deaf_routers():
            world.ledger.exits.append(f"recovery: {name} says that it is ready and takes nobody")
        begin_ms = clock_ms()
        await asyncio.sleep(_CALM_S)
        world.ledger.exits += _unserved(world.ledger, begin_ms)
        await callers.stop()
        await asyncio.sleep(LEAVE_NOTICE_MS / 1000)  # the last callers have just left
        world.ledger.exits += _ended(world)
    return SoakResult(plan.seed, faults, world.ledger.broken(), dict(world.ledger.statuses()))


def _bounds(plan: SoakPlan, faults: list[PlannedFault]) -> SoakBounds:
    """Return the bounds of a round; a router that is kept busy while it stops needs the usual ones."""
    chance = random.Random(f"{plan.seed}/grace")
    is_busy = any(fault.kind == "busy-stop" for fault in faults)
    is_short = plan.fatal and not is_busy and chance.random() < _SHORT_GRACE_SHARE
    return SoakBounds(grace_ms=_SHORT_GRACE_MS) if is_short else SoakBounds()


def _unserved(ledger: Ledger, begin_ms: float) -> list[str]:
    """Check that nearly all requests are answered once the faults are over."""
    ended: list[Sent] = [
        sent
        for sent in ledger.sent.values()
        if FATAL not in sent.target
        and sent.sent_ms >= begin_ms
        and sent.ended_ms is not None
        and sent.left_ms is None
    ]
    served = sum(sent.status == _OK and sent.complete for sent in ended)
    if served < len(ended) * _CALM_SHARE or not ended:
        return [f"recovery: {served} of {len(ended)} requests were answered after the faults"]
    return []


def _ended(world: SoakWorld) -> list[str]:
    return [
        f"exit: {router.name} ended by itself with status {router.process.poll()}"
        for router in world.routers.values()
        if router.process is not None and router.process.poll() is not None
    ]

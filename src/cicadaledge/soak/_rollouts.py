"""Rollouts of a round: ordered by seed, and judged by what the store and the servers saw.

Faults of other kinds run at the same time, but only crashing requests meet the new servers, so that
a version is bad only if the rollout makes it so.
"""

from __future__ import annotations

import asyncio
import random

from attrs import define, field

from cicadaledge.edge import clock_ms
from cicadaledge.rollouts import RolloutSettings, RolloutState
from cicadaledge.soak._backend import BadAnswer
from cicadaledge.soak._deployment import SoakServer, SoakWorld
from cicadaledge.soak._observations import Observations
from cicadaledge.standins import Run

GOOD, BAD, BAD_LATER = "rollout-good", "rollout-bad", "rollout-bad-later"
SETTINGS = RolloutSettings(is_enabled=True)
# In shorter rollouts, the stages are too short to notice a bad answer everywhere, and the evidence
# that a restart of all routers loses is not there again before the deadline.
_DURATION_S = 30.0
_SERVICES = ("desk", "pool")
_TO = "v2"
_STRAY = "v3"  # Version of a server that nobody ordered.
_START_S = 0.3  # The new servers are started this long after the order.
# A version turns bad within this part of the rollout. Later, it gets so many requests that no
# router can notice it within the limit on exposure.
_TURN_PART = (0.15, 0.4)
_BAD_SHARES = (0.5, 1.0)
_POLL_S = 0.05
_DRAIN_AFTER_S = 2.0  # New servers drain this long after a rollback, and stop as much later.
# The rules bind routers that have been in touch with the store for this time.
_CONTACT_MS = 5_000.0
# The status is due 3 s before the deadline. Without the relays, other routers write it up to 9 s
# later; a fault in this time before the deadline excuses a missing status.
_STATUS_MS = 9_000.0
_FIRST_STATUS_MS = 2_000.0  # Without faults, the first status is written within this time.
_BAD_ANSWERS = 50  # The time for a rollback begins with this bad answer.


@define
class RolloutRecord:
    """What was observed of one rollout.

    Args:
        new_servers: Names of the servers of the ordered version.
        stray_server: Name of the server of a version that was not ordered.
        bad_from_ms: When the version became bad, or None.
        missing_ms: When the store was last seen without a status.
        states: States that the store held, each when it was first seen.
        cut_runs: Runs that the former servers had not ended when they stopped.
    """

    service: str
    ordered_ms: float
    new_servers: list[str] = field(factory=list)
    stray_server: str = ""
    bad_from_ms: float | None = None
    missing_ms: float = 0.0
    states: list[tuple[float, RolloutState]] = field(factory=list)
    bad_runs: list[Run] = field(factory=list)
    cut_runs: list[Run] = field(factory=list)

    @property
    def deadline_ms(self) -> float:
        """Time by which the rollout must have ended.

        If all routers restart while the store has no status, nobody knows the time of the order, and
        the routers count the duration anew.
        """
        is_lost = self.missing_ms - self.ordered_ms > _FIRST_STATUS_MS
        from_ms = self.missing_ms if is_lost else self.ordered_ms
        return from_ms + _DURATION_S * 1000

    @property
    def state(self) -> RolloutState | None:
        """State that was seen last."""
        return self.states[-1][1] if self.states else None

    @property
    def is_over(self) -> bool:
        """Whether that state is final."""
        return self.state not in (None, RolloutState.RUNNING)


async def roll_out(world: SoakWorld, kind: str, number: int) -> RolloutRecord:
    """Order a rollout, start its servers and stop those that its end leaves without work.

    Args:
        kind: `GOOD`, `BAD` or `BAD_LATER`.
        number: Selects the service and how the version is bad.
    """
    rng = random.Random(number)
    service = rng.choice(_SERVICES)
    bad_answer, bad_share = rng.choice(list(BadAnswer)), rng.choice(_BAD_SHARES)
    turn_ms = rng.uniform(*_TURN_PART) * _DURATION_S * 1000 if kind == BAD_LATER else 0.0
    former = [one for one in world.servers.values() if one.backend.service == service]
    world.order_rollout(service, _TO, _DURATION_S)
    record = RolloutRecord(service, clock_ms())
    await asyncio.sleep(_START_S)
    new = [
        await world.add_server(f"{service}-new-{index}", service, one.backend.zone, _TO)
        for index, one in enumerate(former)
    ]
    stray = await world.add_server(f"{service}-stray", service, former[0].backend.zone, _STRAY)
    record.new_servers = [server.name for server in new]
    record.stray_server = stray.name
    while clock_ms() < record.deadline_ms:
        turns_now = record.bad_from_ms is None and clock_ms() >= record.ordered_ms + turn_ms
        if kind != GOOD and turns_now and not record.is_over:
            record.bad_from_ms = clock_ms()
            for server in new:
                server.backend.bad_answer, server.backend.bad_share = bad_answer, bad_share
        state = world.store.rollout_state(service)
        if state is None:
            record.missing_ms = clock_ms()
        elif state is not record.state:
            was_over = record.is_over
            record.states.append((clock_ms(), state))
            if record.is_over and not was_over:
                await _end(world, record, former, new)
        await asyncio.sleep(_POLL_S)
    if not record.is_over:
        await _stop_after_drain(world, new)
    await _stop_after_drain(world, [stray])
    record.bad_runs = [run for server in new for run in server.backend.bad_runs]
    return record


async def _end(
    world: SoakWorld, record: RolloutRecord, former: list[SoakServer], new: list[SoakServer]
) -> None:
    """Stop the servers that the platform stops at a final state."""
    if record.state is RolloutState.ROLLED_BACK:
        await _stop_after_drain(world, new)
        return
    world.versions[record.service] = _TO
    for server in former:
        record.cut_runs += [run for run in server.backend.runs if run.ended_ms is None]
        server.is_alive = False
    await asyncio.gather(*(server.backend.stop() for server in former))


async def _stop_after_drain(world: SoakWorld, servers: list[SoakServer]) -> None:
    await asyncio.sleep(_DRAIN_AFTER_S)
    for server in servers:
        server.draining = True
        world.write_entry(server)
    await asyncio.sleep(_DRAIN_AFTER_S)
    for server in servers:
        server.is_alive = server.has_entry = False
        world.store.put_server(server.name, None)
        await server.backend.stop()


@define
class RolloutChecker:
    """Finds the rules that a rollout broke.

    Args:
        observations: Everything that was observed in the round.
    """

    record: RolloutRecord
    observations: Observations

    def violations(self) -> list[str]:
        """Return a line for each violation."""
        found = self._find_wrong_states() + self._find_exposure() + self._find_late_runs()
        found += self._find_stray_runs()
        found += self._find_cut_runs()
        return [f"rollout of {self.record.service}: {one}" for one in found]

    def _is_bound(self, router: str, from_ms: float, until_ms: float) -> bool:
        """Return whether a router was in touch all the time, and long enough before."""
        earlier_ms = _CONTACT_MS - self.observations.bounds.reconnect_ms
        return self.observations.was_undisturbed(router, from_ms - earlier_ms, until_ms)

    def _are_all_bound(self, from_ms: float, until_ms: float) -> bool:
        routers = {sent.router for sent in self.observations.sent.values()}
        return all(self._is_bound(router, from_ms, until_ms) for router in routers)

    def _runs_of(self, servers: set[str]) -> list[tuple[float, Run]]:
        """Return the runs that routers in touch sent to some servers, with their send times."""
        found = []
        for server, run in self.observations.runs:
            sent = self.observations.sent.get(run.request_id)
            if server not in servers or sent is None:
                continue
            if self._is_bound(sent.router, sent.sent_ms, run.at_ms):
                found.append((sent.sent_ms, run))
        return found

    def _find_wrong_states(self) -> list[str]:
        record = self.record
        is_bad = record.bad_from_ms is not None
        wanted = RolloutState.ROLLED_BACK if is_bad else RolloutState.COMPLETED
        finals = [state for _, state in record.states if state is not RolloutState.RUNNING]
        seen = ", ".join(
            f"{state} at {(at_ms - record.ordered_ms) / 1000:.1f} s"
            for at_ms, state in record.states
        )
        found = []
        if finals != sorted(finals):  # `completed` may be replaced, `rolled_back` may not
            found.append(f"a final state was replaced: {seen}")
        if record.state is wanted:
            return found
        from_ms = record.deadline_ms - _STATUS_MS
        is_excused = not self._are_all_bound(from_ms, record.deadline_ms)
        if not is_excused or (record.is_over and not is_bad):
            quality = "bad" if is_bad else "good"
            found.append(f"a {quality} version must be {wanted}, seen were: {seen or 'none'}")
        return found

    def _find_exposure(self) -> list[str]:
        record = self.record
        if record.bad_from_ms is None:
            return []
        exposed = [
            run
            for _, run in self._runs_of(set(record.new_servers))
            if run.at_ms <= record.deadline_ms
        ]
        asked = {
            run.request_id
            for server, run in self.observations.runs
            if server.startswith(record.service)
            and record.ordered_ms <= run.at_ms <= record.deadline_ms
        }
        limit = SETTINGS.expose_share * len(asked) + SETTINGS.expose_slack
        if len(exposed) <= limit:
            return []
        return [f"the bad version got {len(exposed)} of {len(asked)} requests, {limit:.0f} allowed"]

    def _find_late_runs(self) -> list[str]:
        """Find requests that the bad version got too long after its 50th bad answer."""
        ended_ms = sorted(run.ended_ms for run in self.record.bad_runs if run.ended_ms)
        for first_ms, last_ms in zip(ended_ms, ended_ms[_BAD_ANSWERS - 1 :], strict=False):
            if not self._are_all_bound(first_ms, last_ms):
                continue
            from_ms = last_ms + SETTINGS.rollback_ms
            late = [
                run.request_id
                for sent_ms, run in self._runs_of(set(self.record.new_servers))
                if sent_ms > from_ms
            ]
            if late:
                return [f"{len(late)} requests ran long after the 50th bad answer: {late[0]}"]
            break
        return []

    def _find_stray_runs(self) -> list[str]:
        """Find requests that ran on a version that nobody ordered.

        Only routers that ran before the order know which versions were in use then.
        """
        routers = {sent.router for sent in self.observations.sent.values()}
        ordered_ms = self.record.ordered_ms
        if not any(self._is_bound(router, ordered_ms, ordered_ms) for router in routers):
            return []
        runs = [run for _, run in self._runs_of({self.record.stray_server})]
        if not runs:
            return []
        first_s, last_s = (self._age_s(run.at_ms) for run in (runs[0], runs[-1]))
        return [f"{len(runs)} requests ran on {_STRAY}, from {first_s:.1f} to {last_s:.1f} s"]

    def _age_s(self, at_ms: float) -> float:
        return (at_ms - self.record.ordered_ms) / 1000

    def _find_cut_runs(self) -> list[str]:
        """Find runs that could not be repeated and were lost with the former servers."""
        found = []
        for run in self.record.cut_runs:
            sent = self.observations.sent.get(run.request_id)
            if sent is None or sent.idempotent or sent.abandoned_ms is not None:
                continue
            if self._is_bound(sent.router, sent.sent_ms, self.record.states[-1][0]):
                found.append(f"{run.request_id} ran on a former server when it stopped")
        return found

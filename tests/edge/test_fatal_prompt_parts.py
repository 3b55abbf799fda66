"""A prompt part that crashes servers is refused in the end; requests without it are served."""

import asyncio
import itertools
import json

import pytest
from edge_world import small_world

from cicadaledge.errors import BackendError
from cicadaledge.standins import prompt_parts

CONTACT_MS = 4_000
SCENARIO_S = 11.0
# By the users' rule, routers that reach the store must refuse the part CONTACT_MS after this crash.
CRASHES_TO_DETECT = 5
# The users' rule allows this many requests with the part to reach servers after that.
MAX_LATE_RUNS = 3
FATAL = "dead0001"
_numbers = itertools.count(1)


def prompt(*shared):
    """Return the headers of a request whose last prompt part is its own."""
    parts = [f"{part}:100" for part in shared] + [f"{next(_numbers):08x}:50"]
    return {"Prompt-Prefix": ",".join(parts), "Token-Usage": f"{100 * len(shared) + 50},40"}


async def send_repeatedly(world, target, shared, outcomes, *, every_s, for_s=SCENARIO_S):
    """Send requests, no two of them alike, through all routers in turn."""

    async def send(router):
        try:
            answer = await world.call(target, router=router, model=True, headers=prompt(*shared))
        except BackendError:
            outcomes.append((0, None))
        else:
            code = json.loads(answer.body)["error"]["code"] if answer.status == 503 else None
            outcomes.append((answer.status if answer.complete else 0, code))

    pending = []
    for turn in range(int(for_s / every_s)):
        pending.append(asyncio.create_task(send(turn % len(world.routers))))
        await asyncio.sleep(every_s)
    await asyncio.gather(*pending)


def make_fatal(world, *parts):
    for runner in world.runners:
        runner.crash_parts = frozenset(parts)
        runner.gap_s = 0.06


def late_runs(world, part):
    """Return the runs with a part that began later than CONTACT_MS after the fifth crash."""
    crashes_ms = sorted(at_ms for runner in world.runners for at_ms in runner.ended_ms)
    if len(crashes_ms) < CRASHES_TO_DETECT:
        return []
    from_ms = crashes_ms[CRASHES_TO_DETECT - 1] + CONTACT_MS
    runs = (run for runner in world.runners for run in runner.runs if run.at_ms > from_ms)
    return [run for run in runs if part in prompt_parts(run)]


def served(outcomes):
    return sum(status == 200 for status, _ in outcomes) / len(outcomes)


@pytest.mark.parametrize(
    ("target", "shared", "every_s"),
    [
        ("/chat/", (FATAL, "aa", "bb"), 0.35),
        ("/draft/", ("aa", FATAL, "bb"), 0.9),
        ("/chat/", ("aa", "bb", FATAL), 0.9),
        ("/draft/", (FATAL,), 0.35),
    ],
    ids=["first", "middle", "before the last", "alone"],
)
def test_a_prompt_part_that_crashes_servers_is_refused_in_the_end(target, shared, every_s):
    async def scenario():
        async with small_world(pools=8, routers=3) as world:
            make_fatal(world, FATAL)
            fatal, sound = [], []
            without = [part for part in shared if part != FATAL] or ["aa"]
            await asyncio.gather(
                send_repeatedly(world, target, shared, fatal, every_s=every_s),
                send_repeatedly(world, target, without, sound, every_s=0.1),
            )
            assert len(late_runs(world, FATAL)) <= MAX_LATE_RUNS
            assert fatal[-1] == (503, 3009)
            assert served(sound) > 0.95
            assert 3009 not in {code for _, code in sound}

    asyncio.run(scenario())

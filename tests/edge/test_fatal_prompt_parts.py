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


def test_two_prompt_parts_that_crash_servers_are_both_refused():
    """All prompts end alike, so that the sound ones followed the others to each engine that crashed."""

    async def scenario():
        async with small_world(pools=8, routers=3) as world:
            make_fatal(world, FATAL, "dead0002")
            one, two, sound = [], [], []
            await asyncio.gather(
                send_repeatedly(world, "/chat/", ("aa", FATAL, "bb"), one, every_s=0.5),
                send_repeatedly(world, "/draft/", ("aa", "dead0002", "bb"), two, every_s=0.4),
                send_repeatedly(world, "/chat/", ("aa", "bb"), sound, every_s=0.1),
            )
            assert one[-1] == two[-1] == (503, 3009)
            assert served(sound) > 0.95
            assert 3009 not in {code for _, code in sound}

    asyncio.run(scenario())


def test_many_requests_with_such_a_part_at_once_end_as_soon():
    """Several of them run on a server when it crashes, and all servers crash within a second."""

    async def scenario():
        async with small_world(pools=8, routers=3) as world:
            make_fatal(world, FATAL)
            fatal, sound = [], []
            await asyncio.gather(
                send_repeatedly(world, "/chat/", ("aa", FATAL, "bb"), fatal, every_s=0.05),
                send_repeatedly(world, "/chat/", ("aa", "bb"), sound, every_s=0.1),
            )
            assert len(late_runs(world, FATAL)) <= MAX_LATE_RUNS
            assert fatal[-1] == (503, 3009)
            assert served(sound[-50:]) > 0.95

    asyncio.run(scenario())


# Guards against routers that try such a part at the same time, and again in each period.
def test_trials_of_all_routers_together_stay_within_the_bound(monkeypatch):
    for name in ("_EARLY_TRIAL_MS", "_FIRST_TRIAL_MS", "_TRIAL_PERIOD_MS"):
        monkeypatch.setattr(f"cicadaledge.edge._prompt_part_guard.{name}", 200.0)

    async def scenario():
        async with small_world(pools=8, routers=3) as world:
            make_fatal(world, FATAL)
            fatal, sound = [], []
            await asyncio.gather(
                *(
                    send_repeatedly(world, "/chat/", (FATAL, "aa"), fatal, every_s=0.1)
                    for _ in range(3)
                ),
                send_repeatedly(world, "/chat/", ("aa", "bb"), sound, every_s=0.1),
            )
            assert len(late_runs(world, FATAL)) <= MAX_LATE_RUNS
            assert fatal[-1] == (503, 3009)
            assert served(sound[-50:]) > 0.95

    asyncio.run(scenario())


def test_such_a_part_is_found_among_servers_that_crash_by_themselves():
    async def scenario():
        async with small_world(pools=8, routers=3) as world:
            make_fatal(world, FATAL)
            fatal, sound, rare = [], [], []

            async def crash():
                for turn in range(int(SCENARIO_S / 0.8)):
                    world.runners[-1 - turn % 8].crash()
                    await asyncio.sleep(0.8)

            await asyncio.gather(
                crash(),
                send_repeatedly(world, "/chat/", ("aa", FATAL), fatal, every_s=0.35),
                send_repeatedly(world, "/chat/", ("aa", "bb"), sound, every_s=0.1),
                send_repeatedly(world, "/draft/", ("aa", "cc"), rare, every_s=0.7),
            )
            assert len(late_runs(world, FATAL)) <= MAX_LATE_RUNS
            assert fatal[-1] == (503, 3009)
            assert 3009 not in {code for _, code in sound + rare}

    asyncio.run(scenario())


def test_servers_that_crash_by_themselves_make_no_prompt_part_suspect():
    async def scenario():
        async with small_world(pools=6, routers=2) as world:
            make_fatal(world)
            sound, rare = [], []

            async def crash():
                for turn in range(int(SCENARIO_S / 0.3)):
                    world.runners[-1 - turn % 6].crash()
                    await asyncio.sleep(0.3)

            await asyncio.gather(
                crash(),
                send_repeatedly(world, "/chat/", ("aa", "bb"), sound, every_s=0.05),
                send_repeatedly(world, "/chat/", ("aa", "cc"), rare, every_s=0.6),
            )
            assert 3009 not in {code for _, code in sound + rare}

    asyncio.run(scenario())


def test_a_whole_request_that_crashes_servers_leaves_its_parts_to_others():
    async def scenario():
        async with small_world(pools=8, routers=3) as world:
            for runner in world.runners:
                runner.crash_marker = "fatal"
                runner.gap_s = 0.06
            fatal, sound = [], []
            same = {"Prompt-Prefix": "aa:100,dd:100,ee:50", "Token-Usage": "250,40"}

            async def repeat():
                for turn in range(int(SCENARIO_S / 0.35)):
                    try:
                        answer = await world.call(
                            "/chat/fatal", router=turn % 3, model=True, headers=same
                        )
                        fatal.append(answer.status)
                    except BackendError:
                        fatal.append(0)
                    await asyncio.sleep(0.35)

            await asyncio.gather(
                repeat(),
                send_repeatedly(world, "/chat/", ("aa", "dd"), sound, every_s=0.4),
            )
            assert fatal[-1] == 503
            assert 3009 not in {code for _, code in sound}

    asyncio.run(scenario())


@pytest.mark.parametrize("name", ["router-new", "router-0"], ids=["added", "restarted"])
def test_a_router_that_starts_later_refuses_such_a_part(name):
    async def scenario():
        async with small_world(pools=8, routers=2) as world:
            make_fatal(world, FATAL)
            fatal, sound = [], []
            await asyncio.gather(
                send_repeatedly(world, "/chat/", ("aa", FATAL), fatal, every_s=0.3, for_s=4.0),
                send_repeatedly(world, "/chat/", ("aa",), sound, every_s=0.1, for_s=4.0),
            )
            if name == "router-0":
                world._tasks[0].cancel()
                await asyncio.sleep(0.3)
            await world.add_router(name)
            await asyncio.sleep(0.5)
            before = sum(len(runner.ended_ms) for runner in world.runners)
            answer = await world.call("/chat/", router=2, model=True, headers=prompt("aa", FATAL))
            assert json.loads(answer.body)["error"]["code"] == 3009
            assert 5 <= float(answer.head.get(b"Retry-After")) <= 60
            answer = await world.call("/chat/", router=2, model=True, headers=prompt("aa"))
            assert answer.status == 200
            assert sum(len(runner.ended_ms) for runner in world.runners) == before

    asyncio.run(scenario())

"""Servers that send a refusal again, before the answer to the next request on its connection."""

import asyncio
import contextlib
from collections import Counter

import pytest
from edge_world import small_world

from cicadaledge.errors import BackendError
from cicadaledge.standins import BackendFaults

# The targets of the deployment, each with whether it is served by a model engine.
TARGETS = pytest.mark.parametrize(
    ("target", "model"),
    [("/book/1", False), ("/look/1", False), ("/draft/1", True), ("/chat/1", True)],
)


# Guards against bookings that were applied twice or refused though they ran: a late copy of a
# request's own refusal was taken for the response to the same request, sent again.
@pytest.mark.parametrize("copies", [1, 2])
@TARGETS
def test_a_late_refusal_is_not_the_response_to_the_request_sent_again(target, model, copies):
    async def play():
        async with small_world() as world:
            for runner in world.runners:
                runner.faults = BackendFaults(full_once=True, late_copies=copies)
            for _ in range(4):
                answer = await world.call(target, model=model)
                runs = Counter(run.request_id for one in world.runners for run in one.runs)
                assert (answer.status, answer.complete) == (200, True)
                assert set(runs.values()) == {1}

    asyncio.run(play())


# Guards against further ways to send a request again on a connection where its id names two sendings.
@pytest.mark.parametrize(
    "faults",
    [
        {"full_once": True},
        {"full": True},
        {"full": True, "pause_s": 0.1},
        {"error": True},
        {"refused_with": 503},
        {"break_after": 2},
        {"reset": True},
        {"raw": b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"},
    ],
    ids=str,
)
@TARGETS
def test_no_connection_carries_a_request_twice(target, model, faults):
    async def play():
        async with small_world() as world:
            for _ in range(3):
                await asyncio.gather(*(world.call(target, model=model) for _ in range(3)))
                for runner in world.runners:
                    runner.faults = BackendFaults(**faults)
                await asyncio.gather(*(call_briefly(world, target, model) for _ in range(3)))
                for runner in world.runners:
                    runner.faults = BackendFaults()
            assert [runner.resent for runner in world.runners] == [[], []]

    asyncio.run(play())


async def call_briefly(world, target, model):
    """Send a request whose caller waits for 0.6 s at most."""
    with contextlib.suppress(BackendError):
        await world.call(target, model=model, headers={"Deadline_Ms": "600"})


# Guards against servers that were left idle: the pause that a refusal had asked for began again with
# each late copy of the refusal.
def test_a_late_refusal_does_not_begin_a_pause_again():
    async def play():
        async with small_world() as world:
            desk = world.runners[0]
            desk.faults = BackendFaults(full=True, late_copies=1, pause_s=0.5)
            refused = await world.call("/look/1", headers={"Deadline_Ms": "300"})
            assert refused.status == 503
            desk.faults = BackendFaults()
            await asyncio.sleep(0.7)
            for target in ("/look/2", "/look/3"):
                answer = await world.call(target, headers={"Deadline_Ms": "300"})
                assert answer.status == 200

    asyncio.run(play())

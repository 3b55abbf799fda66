"""Requests that need more memory than an engine has are refused at once."""

import asyncio
import json
import time

from edge_world import small_world


def test_a_request_that_can_never_fit_is_refused_at_once_and_has_not_run():
    """Such a request waited for room until its caller's time was nearly over."""

    async def play():
        async with small_world() as world:
            begin_s = time.monotonic()
            headers = {"Token-Usage": "900000,40", "Deadline-Ms": "9000"}
            answer = await world.call("/draft/1", model=True, headers=headers)
            assert time.monotonic() - begin_s < 2.0
            assert answer.status == 503
            refusal = json.loads(answer.body)["error"]
            assert (refusal["code"], refusal["run_state"]) == (2010, "not_run")
            assert answer.head.get(b"Retry-After") is None
            assert not world.runners[1].runs
            assert (await world.call("/draft/1", model=True)).status == 200

    asyncio.run(play())

"""Runners fail part of their requests with 503 after they ran them; callers are told "not run"."""

from __future__ import annotations

import asyncio
import os
import random
from collections import Counter

from standins.http import Connection, Exchange, Request
from standins.platform import KEY, Deployment, Record, Runner, headers, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHARE = 0.4  # of the requests of one runner of three; the site plays x = 0.45 on all of them
GREY_S = 4.0
BOOKINGS = 120
PROMISES = (408, 421, 429, 503)
CONFIGURATION = {
    "version": 1,
    "routes": [route("book", "desk", "unsafe", authExempt=True, timeoutMs=1200)],
    "services": [{"name": "desk", "coldStartS": 0, "coldPerS": 0}],
    "limits": {"maxBodyBytes": 4_194_304, "tokensPerS": 0},
    "tenants": [{"name": "banksia", "apiKeys": [KEY], "allowedRegions": []}],
}


class GreyRunner(Runner):
    """A runner that fails part of its requests with 503 after it has run them.

    Such an answer has no `Not-Executed`, as the request did run.
    """

    is_grey = False
    booked: Counter[str] = Counter()

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self._random = random.Random(self.name)

    async def run(self, request: Request, request_id: str, exchange: Exchange) -> None:
        """Apply a booking, then answer; a failing runner reports a failure for some."""
        await asyncio.sleep(self.work_s)
        self.booked[request.body.decode()] += 1
        sent = {"Attempt-Id": request_id, "Response-Seal": f"{self.name}.{request_id}"}
        if self.is_grey and self._random.random() < SHARE:
            self._record.write(f"runner {self.name}: has run {request_id}, answers 503")
            await exchange.send(503, sent, b"the receipt could not be written")
            return
        await exchange.send(200, sent, b"booked")


async def play(record: Record) -> int:
    async with Deployment(record) as deployment:
        store = deployment.store
        store.put("keyed.op", "config", CONFIGURATION)
        runners = [
            GreyRunner(store, record, f"i-{number}", "desk", "zone-a", 6) for number in range(3)
        ]
        deployment.runners += runners
        for runner in runners:
            await runner.begin()
        router = deployment.add_router("front-0", "zone-a")
        router.start()
        await router.wait_ready()
        await asyncio.sleep(5.0)  # the router is in touch
        runners[0].is_grey = TROUBLE
        asyncio.get_running_loop().call_later(GREY_S, setattr, runners[0], "is_grey", False)
        refused: list[str] = []
        connection = Connection(router.front)
        for number in range(BOOKINGS):
            for attempt in (1, 2):  # a client's single retry is a new request
                request_id = f"book-{number}-{attempt}"
                body = f"booking {number}".encode()
                sent = headers(request_id, 1_500, key=None)
                record.write(f"client: sends {request_id} POST /book/x")
                answer = await connection.call("POST", "/book/x", sent, body, 1.5)
                record.write(f"client: {request_id} got {answer.status or answer.error}")
                if answer.status in PROMISES:
                    refused.append(request_id)
                    continue
                break
            await asyncio.sleep(0.03)
        connection.close()
        ran = {run_id for runner in runners for _, run_id in runner.arrivals}
        broken = [request_id for request_id in refused if request_id in ran]
        twice = [body for body, times in GreyRunner.booked.items() if times > 1]
        record.write(f"{len(broken)} requests were answered with a promise and had run: {broken}")
        record.write(f"{len(twice)} bookings were applied twice, as their clients asked again")
        record.write("REFUSED was broken" if broken else "REFUSED held")
        return int(bool(broken))


if __name__ == "__main__":
    run_case(play, __file__)

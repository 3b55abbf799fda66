"""A runner ends some streams inside an event; the router passes them on as complete."""

from __future__ import annotations

import asyncio
import os
import random

from standins.http import Answer, Connection, Exchange, Request
from standins.platform import KEY, Deployment, Record, Runner, headers, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHARE = 0.0136  # of the streams of one runner of four; the site plays that on a share of 0.39
REQUESTS = 1200
AT_ONCE = 12
EVENTS = 4
CONFIGURATION = {
    "version": 1,
    "routes": [
        route("draft", "model-pool", "streaming", sessionAffinity=True),
        route(
            "chat",
            "model-pool",
            "streaming",
            sessionAffinity=True,
            maxAttempts=2,
            streamResume=True,
        ),
    ],
    "services": [
        {
            "name": "model-pool",
            "coldStartS": 0,
            "coldPerS": 0,
            "engine": {"slots": 64, "kvCapacity": 577_409},
        }
    ],
    "limits": {"maxBodyBytes": 4_194_304, "tokensPerS": 0},
    "tenants": [{"name": "banksia", "apiKeys": [KEY], "allowedRegions": []}],
}


class FaultyRunner(Runner):
    """A runner that stops some streams in the middle of an event."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self._random = random.Random(1)

    async def run(self, request: Request, request_id: str, exchange: Exchange) -> None:
        """Run a stream; go on after Last-Event-Id where the request has one."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        stops = TROUBLE and first == 1 and self.name == "i-0" and self._random.random() < SHARE
        sent = {"Attempt-Id": request_id, "Response-Seal": f"{self.name}.{request_id}"}
        await exchange.start(200, {**sent, "Content-Type": "text/event-stream"})
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(0.005)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if stops and number == 3:
                await exchange.chunk(event[:12])
                self._record.write(f"runner {self.name}: stops {request_id} inside event 3")
                break
            await exchange.chunk(event)
        await exchange.chunk(b"")


def is_wrong(answer: Answer) -> bool:
    """Return whether an answer looks complete, but ends inside an event or before the last one."""
    if answer.status != 200 or not answer.is_complete:
        return False
    expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    return answer.body != expected


async def play(record: Record) -> int:
    async with Deployment(record) as deployment:
        store = deployment.store
        store.put("keyed.op", "config", CONFIGURATION)
        for number in range(4):
            runner = FaultyRunner(store, record, f"i-{number}", "model-pool", "zone-a", 64)
            deployment.runners.append(runner)
            await runner.begin()
        router = deployment.add_router("front-0", "zone-a")
        router.start()
        await router.wait_ready()
        wrong: list[str] = []
        numbers = iter(range(REQUESTS))

        async def client() -> None:
            connection = Connection(router.front)
            for number in numbers:
                name = ("draft", "chat")[number % 2]
                request_id = f"{name}-{number}"
                more = {"Model": "m", "Token_Usage": "500,40"}
                more["Prompt_Prefix"] = f"aa:120,{number + 16:x}:380"
                sent = headers(request_id, 3_000, **more)
                record.write(f"client: sends {request_id} POST /{name}/x")
                answer = await connection.call("POST", f"/{name}/x", sent, b"{}", 3.0)
                if is_wrong(answer):
                    wrong.append(request_id)
                    record.write(f"client: {request_id} got 200, complete: {answer.body!r}")
                else:
                    how = "complete" if answer.is_complete else "incomplete"
                    record.write(f"client: {request_id} got {answer.status}, {how}")
            connection.close()

        await asyncio.gather(*(client() for _ in range(AT_ONCE)))
        record.write(f"{len(wrong)} of {REQUESTS} answers ended early and looked complete")
        record.write("ORDER was broken" if wrong else "ORDER held")
        return int(bool(wrong))


if __name__ == "__main__":
    run_case(play, __file__)

"""Orders are placed while runners are full at times and some of their answers come twice."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

from lab import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    SITE_HOST,
    TROUBLE,
    Message,
    Record,
    Router,
    Runner,
    Store,
    answer_bytes,
    configuration,
    free_ports,
    keep_beating,
    now_ms,
    plain_service,
    read_message,
    route,
    run_case,
    serve,
)

ZONES = {"ardeal-a": "ardeal", "muntenia-a": "muntenia", "moldova-a": "moldova"}
KEY = "k7b2ex5wa5xwyhks8nbk"
SLOTS = 6
# The runners' work takes 90 ms on average (ciucur-host).
WORK_S = (0.045, 0.135)
DEADLINE_MS = 2_500
ROUTERS = 7  # as on ciucur-host
RUNNERS = 3
# Orders are 14 of the 19.6 requests a second of the service on the sheet; the others are lookups.
USUAL_PER_S = 19.6
ORDER_SHARE = 14.0 / 19.6
USUAL_CLIENTS = 3
# As in the site file: {kind = "hot_tenant", x = 9.9, for_s = 5.0}
HOT_CLIENTS = 26
HOT_X = 9.9
# As in the site file: {kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0}
FAULTY_RUNNERS = 2  # of three: the bench takes as many for this share
EXTRA_SHARE = 0.03
WINDOW_S = 5.0
PAUSE_S = 1.0
WINDOWS = 14


class Desk(Runner):
    """Runs `slots` requests at once and refuses the others, as its queue is short.

    Attributes:
        is_garbling: Whether a share of its answers is sent a second time, late: when the next
            request on the connection has been read, before its answer.
    """

    def __init__(self, instance: str, zone: str, port: int, record: Record) -> None:
        super().__init__(instance, "shop-app", zone, port, SLOTS)
        self.record = record
        self.is_garbling = False
        self.runs: Counter[str] = Counter()
        self.extras = 0
        self._running = 0
        self._random = random.Random(instance)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        extra = b""
        while (request := await read_message(reader)) is not None:
            if extra:
                self.extras += 1
                self.record.add(f"{self.instance} sends an extra answer late: {extra[:40]!r}")
                writer.write(extra)
                extra = b""
            answer = await self._answer(request)
            writer.write(answer)
            await writer.drain()
            if self.is_garbling and self._random.random() < EXTRA_SHARE:
                extra = answer

    async def _answer(self, request: Message) -> bytes:
        attempt = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt, "Server-Load": f"{self._running},0,{SLOTS}"}
        if request.first.split(" ")[1] == "/healthz":
            return answer_bytes(200, {"Instance-Id": self.instance}, b"")
        if request.headers.get("expect-instance", self.instance) != self.instance:
            return answer_bytes(421, {**headers, "Instance-Id": self.instance}, b"")
        if self._running >= SLOTS:
            self.record.add(f"{self.instance} refuses {attempt}: full, not executed")
            return answer_bytes(503, {**headers, "Not-Executed": "1"}, b"full")
        self._running += 1
        self.runs[attempt] += 1
        self.record.add(f"{self.instance} runs {attempt} (run {self.runs[attempt]})")
        try:
            await asyncio.sleep(self._random.uniform(*WORK_S))
        finally:
            self._running -= 1
        seal = f"{self.instance}.{sum(self.runs.values())}"
        return answer_bytes(200, {**headers, "Response-Seal": seal}, attempt.encode())


async def place_orders(
    name: str, routers: list[Router], answers: dict[str, int], record: Record, until_ms: float
) -> None:
    """Send orders and lookups, one after the other, as one client; keep their statuses."""
    chooser = random.Random(name)
    count = 0
    while now_ms() < until_ms:
        count += 1
        is_order = chooser.random() < ORDER_SHARE
        attempt = f"{name}x{count}{'o' if is_order else 'l'}"
        router = chooser.choice(routers)
        body = b"o" * 600 if is_order else b""
        target = "POST /orders/2f" if is_order else "GET /stock/2f"
        head = (
            f"{target} HTTP/1.1\r\nHost: {SITE_HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        record.add(f"{attempt} is sent to {router.name}")
        answers[attempt] = 0
        writer = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(HOST, router.port)
                writer.write(head.encode() + body)
                answer = await read_message(reader, is_answer=True)
                if answer is not None:
                    answers[attempt] = answer.status
                    pause = float(answer.headers.get("retry-after", "0"))
                    if pause:
                        await asyncio.sleep(pause)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        record.add(f"{attempt} is answered {answers[attempt]}")
        await asyncio.sleep(chooser.uniform(0.0, 0.02))


async def case(folder: Path, record: Record) -> int:
    """Play the case and judge it."""
    zones = list(ZONES)
    store_port, *ports = free_ports(1 + RUNNERS)
    store = Store(store_port)
    desks = [Desk(f"i-desk{index}", zones[index], port, record) for index, port in enumerate(ports)]
    orders = route("orders", "shop-app", "unsafe", timeoutMs=2_500, targetLatencyMs=500)
    stock = route("stock", "shop-app", "safe", timeoutMs=2_500, targetLatencyMs=500, maxAttempts=2)
    services = [plain_service("shop-app")]
    store.put("keyed.op", "config", configuration(1, [orders, stock], services, {"hule930": [KEY]}))
    routers: list[Router] = []
    answers: dict[str, int] = {}
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(serve(store.handle, store_port))
        for desk in desks:
            await stack.enter_async_context(serve(desk.handle, desk.port))
        beating = asyncio.create_task(keep_beating(store, list(desks)))
        try:
            for index in range(ROUTERS):
                zone = zones[index % len(zones)]
                router = Router(f"front-{zone}-{index}", zone, ZONES, store_port, folder)
                routers.append(router)
                router.start()
            for router in routers:
                await router.wait_ready()
            await asyncio.sleep(3.0)
            end_ms = now_ms() + WINDOWS * (WINDOW_S + PAUSE_S) * 1000
            clients = [
                asyncio.create_task(place_orders(f"u{index}", routers, answers, record, end_ms))
                for index in range(USUAL_CLIENTS)
            ]
            rates = []
            for window in range(WINDOWS):
                sent = len(answers)
                hot_ms = now_ms() + WINDOW_S * 1000
                clients += [
                    asyncio.create_task(
                        place_orders(f"h{window}c{index}", routers, answers, record, hot_ms)
                    )
                    for index in range(HOT_CLIENTS - USUAL_CLIENTS)
                ]
                for desk in desks[:FAULTY_RUNNERS]:
                    desk.is_garbling = TROUBLE
                await asyncio.sleep(WINDOW_S)
                rates.append((len(answers) - sent) / WINDOW_S)
                for desk in desks:
                    desk.is_garbling = False
                await asyncio.sleep(PAUSE_S)
            await asyncio.gather(*clients)
        finally:
            beating.cancel()
            for router in routers:
                router.stop()
    runs = sum((desk.runs for desk in desks), Counter())
    twice = sorted(
        attempt for attempt, count in runs.items() if count > 1 and attempt.endswith("o")
    )
    refused = sorted(
        attempt
        for attempt, status in answers.items()
        if status in (408, 421, 429, 503)
        if runs[attempt] and attempt.endswith("o")
    )
    statuses = Counter(answers.values())
    record.add(f"requests {len(answers)}, statuses {dict(statuses)}")
    record.add(f"most in a window: {max(rates):.0f} a second, {max(rates) / USUAL_PER_S:.1f} times")
    record.add(f"extra answers: {sum(desk.extras for desk in desks)}")
    record.add(f"run more than once (TWICE): {len(twice)} {twice[:10]}")
    record.add(f"refused and run (REFUSED): {len(refused)} {refused[:10]}")
    if statuses[200] < 100 or max(rates) > HOT_X * USUAL_PER_S:
        return NOT_RUN
    return BROKEN if twice or refused else HELD


run_case(case)

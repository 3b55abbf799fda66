"""Measures the CPU time of a router for a refused and for a relayed request.

The request path is that of a router; sockets, the store and the servers are replaced by
in-memory stand-ins, so system calls for traffic with callers and servers are not counted.

Run: python benchmarks/request_costs.py [--profile refused|relayed]
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import json
import os
import pstats
import statistics
import time
from collections.abc import Callable

import uvloop

from cicadaledge.edge import EdgeSettings
from cicadaledge.edge._control_state import ControlPlaneState
from cicadaledge.edge._caller_connection import CallerConnection
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.clock import clock_ms
from cicadaledge.edge._channel import Channel
from cicadaledge.edge._request_handler import RequestHandler
from cicadaledge.edge._http_client import HttpConnection
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._server_pool import ServerPool
from cicadaledge.edge._load_shedder import LoadShedder
from cicadaledge.store import ServerChanged, TableChanged
from cicadaledge.logs import LineWriter
from cicadaledge.placing import AccountShares, FleetLoad, LoadTracker, Placer, ServerHealth
from cicadaledge.platform import PlatformHeaderCodec
from cicadaledge.platform._decode import decode_server, decode_table
from cicadaledge.settings import Address
from cicadaledge.standins import platform_pool, platform_route
from cicadaledge.wire import AccountUse, LoadView, ServerUse, ViewScope

SERVERS = 60
ROUTERS = 10
ACCOUNTS = 12
# The quiet account cannot demand as many tokens as this, although its answers take no time.
CAPACITY_PER_S = 1e9
# A flooded router refuses this many requests in one iteration of its event loop.
REFUSED_PER_ROUND = 100
RELAYED_PER_ROUND = 20
REQUESTS = 1_000
# There are many short runs, because on a busy machine their minimum is the most reliable figure.
REPEATS = 15
FLOODED = "account-0"
QUIET = "account-1"
UNUSED_ADDRESS = Address("127.0.0.1", 1)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %b\r\n"
    b"Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n"
)
EVENT = b"id: %d\ndata: token\n\n"
EVENTS = 8


class MemoryTransport(asyncio.Transport):
    """Passes written data to a function."""

    def __init__(self, on_write: Callable[[bytes], None]) -> None:
        super().__init__()
        self._on_write = on_write
        self._closing = False

    def write(self, data: bytes) -> None:  # type: ignore[override]
        self._on_write(data)

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        self._closing = True

    def abort(self) -> None:
        self._closing = True

    def get_write_buffer_size(self) -> int:
        return 0


class MemoryPool(ServerPool):
    """Opens connections to servers that answer immediately, one event per loop iteration."""

    async def acquire(self, server, *, repeatable):  # type: ignore[no-untyped-def]
        idle = self._idle.get((server.server, server.born_ms))
        if idle:
            return idle.pop()
        channel = Channel()

        def answer(request: bytes) -> None:
            name = request.split(b"Attempt-Id: ", 1)[1].split(b"\r\n", 1)[0]
            loop = asyncio.get_running_loop()
            loop.call_soon(channel.data_received, ANSWER % name)
            self._send_event(channel, 0)

        channel.connection_made(MemoryTransport(answer))
        return HttpConnection(channel, server.server)

    def _send_event(self, channel: Channel, number: int) -> None:
        event = EVENT % number
        data = b"%x\r\n%b\r\n" % (len(event), event) if number < EVENTS else b"0\r\n\r\n"
        loop = asyncio.get_running_loop()
        loop.call_soon(channel.data_received, data)
        if number < EVENTS:
            loop.call_soon(self._send_event, channel, number + 1)


class Router:
    """The request path of one router, with a fixed set of servers and peers."""

    def __init__(self) -> None:
        settings = EdgeSettings(
            "router-0",
            "zone-a",
            "north",
            {"zone-a": "north"},
            *[UNUSED_ADDRESS] * 5,
            descriptors=65_536,
        )
        now_ms = clock_ms()
        control_plane = ControlPlaneState(settings)
        control_plane.apply(
            TableChanged(decode_table(json.dumps(self._configuration()).encode())), 0
        )
        for number in range(SERVERS):
            control_plane.apply(ServerChanged(self._entry(f"server-{number}")), now_ms - 60_000)
        control_plane.servers_known = True
        self._control_plane = control_plane
        self._fleet = FleetLoad("router-0")
        self._fleet.set_roles("router-1", is_relay=False, members=ROUTERS, interval_ms=50)
        load = LoadTracker(self._fleet)
        shares = AccountShares(settings.bounds.share_window_ms, self._fleet)
        health = ServerHealth()
        self.callers = CallerConnections(settings)
        self.handler = RequestHandler(
            settings,
            PlatformHeaderCodec(),
            control_plane,
            load,
            shares,
            health,
            Placer(
                settings.placing, control_plane.directory, load, health, settings.region_of, "north"
            ),
            MemoryPool(settings),
            self.callers,
            LoadShedder(settings.shedding),
            EdgeMetrics(),
        )
        self._load, self._shares = load, shares

    @staticmethod
    def _configuration() -> dict[str, object]:
        return {
            "version": 1,
            "routes": [platform_route("draft", "pool", "streaming", timeoutMs=15_000)],
            "services": [platform_pool("pool")],
            "limits": {"maxBodyBytes": 100_000, "tokensPerS": CAPACITY_PER_S},
            "tenants": [
                {"name": f"account-{number}", "apiKeys": [f"key-{number}"]}
                for number in range(ACCOUNTS)
            ],
        }

    @staticmethod
    def _entry(server: str):  # type: ignore[no-untyped-def]
        plain = {
            "address": "127.0.0.1:1",
            "service": "pool",
            "zone": "zone-a",
            "state": "ready",
            "slots": 64,
            "coldRemainingMs": 0,
            "born": 5,
            "seqNo": 1,
        }
        return decode_server(server, json.dumps(plain).encode())

    def refresh_state(self) -> None:
        """Apply the updates that a router receives from the store and its relay every few ms."""
        now_ms = clock_ms()
        self._control_plane.record_proof(now_ms)
        self._control_plane.record_servers_proof(now_ms)
        self._load.own_uses(now_ms)
        self._shares.own_rates(now_ms)
        servers = [ServerUse(f"server-{number}", 9, 2_000, 20_000, 9) for number in range(SERVERS)]
        accounts = [AccountUse(f"account-{number}", 9e3, 9e3) for number in range(2, ACCOUNTS)]
        accounts.append(AccountUse(FLOODED, 1e18, 2e5))
        view = LoadView(int(now_ms), int(ViewScope.ALL_BUT_RECEIVER), 9, False, servers, accounts)
        self._fleet.apply_view("router-1", view, now_ms)


class Caller:
    """A connection of one caller."""

    def __init__(self, router: Router, on_answer: Callable[[bytes], None]) -> None:
        self.channel = Channel()
        self.channel.connection_made(MemoryTransport(on_answer))
        connection = CallerConnection(self.channel, router.handler)
        router.callers.add(connection)
        self.task = asyncio.get_running_loop().create_task(connection.run())


def request(account: str, number: int) -> bytes:
    """Return an HTTP request with the platform's headers."""
    return (
        "POST /draft/2f HTTP/1.1\r\nHost: site.example\r\n"
        f"Attempt-Id: 9c41d07be2a3{number:08x}\r\nModel: m\r\nToken-Usage: 1460,80\r\n"
        f"Prompt-Prefix: 5c1e07a2:800,91bd{number % 200:04x}:410,e4402b7d:250\r\nDeadline-Ms: 15000\r\n"
        f"Authorization: Token key-{account.removeprefix('account-')}\r\n"
        "Content-Length: 24\r\n\r\n" + '{"prompt": "once there"}'
    ).encode()


async def measure_requests(
    router: Router,
    account: str,
    per_round: int,
    requests: int,
    end_marker: bytes,
    wrong_marker: bytes,
) -> float:
    """Return the CPU time of a request in microseconds.

    Args:
        end_marker: Bytes that the last part of each answer contains.
        wrong_marker: Bytes that only answers of another kind contain.

    Raises:
        RuntimeError: An answer of another kind was received.
    """
    pending = 0
    done = asyncio.Event()

    def on_answer(data: bytes) -> None:
        nonlocal pending
        pending -= end_marker in data
        if not pending or wrong_marker in data:
            done.set()

    callers = [Caller(router, on_answer) for _ in range(per_round)]
    await asyncio.sleep(0)
    cpu_s = 0.0
    for first in range(0, requests, per_round):
        router.refresh_state()
        sent = [request(account, first + index) for index in range(per_round)]
        pending = per_round
        done.clear()
        started_s = time.process_time()
        for caller, data in zip(callers, sent, strict=True):
            caller.channel.data_received(data)
        async with asyncio.timeout(10):
            await done.wait()
        if pending:
            raise RuntimeError(f"answer of an unexpected kind: it contains {wrong_marker!r}")
        await asyncio.sleep(0)
        cpu_s += time.process_time() - started_s
    for caller in callers:
        caller.task.cancel()
    await asyncio.gather(*(caller.task for caller in callers))
    return cpu_s / requests * 1e6


async def measure_refused(requests: int) -> float:
    """Return the CPU time of a request that is refused immediately."""
    end_marker, wrong_marker = b"share is used up", b" 200 OK"
    return await measure_requests(
        Router(), FLOODED, REFUSED_PER_ROUND, requests, end_marker, wrong_marker
    )


async def measure_relayed(requests: int) -> float:
    """Return the CPU time of a short streamed answer, including that of the server stand-in."""
    end_marker, wrong_marker = b"0\r\n\r\n", b" 503 "
    return await measure_requests(
        Router(), QUIET, RELAYED_PER_ROUND, requests, end_marker, wrong_marker
    )


KINDS = {"refused": measure_refused, "relayed": measure_relayed}


async def print_figures(profiled: str | None) -> None:
    """Print the CPU time of each kind of request, or the profile of one kind."""
    LineWriter(os.open(os.devnull, os.O_WRONLY)).attach()
    if profiled:
        await KINDS[profiled](400)
        profile = cProfile.Profile()
        profile.enable()
        await KINDS[profiled](REQUESTS)
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(45)
        return
    print(f"request, us: median, lowest tenth and least of {REPEATS} repeats")
    for name, measure_kind in KINDS.items():
        await measure_kind(400)
        each_us = [await measure_kind(REQUESTS) for _ in range(REPEATS)]
        each_us.sort()
        median_us, low_us = statistics.median(each_us), each_us[REPEATS // 10]
        print(f"{name:9} {median_us:7.1f} {low_us:7.1f} {each_us[0]:7.1f}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--profile", choices=KINDS)
    uvloop.run(print_figures(parser.parse_args().profile))

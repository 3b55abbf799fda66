"""Entry point of the router process: its signals, log lines, event loop and garbage collector."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from cicadaledge.edge._daemon import FINAL_WAIT_S, EdgeRouter
from cicadaledge.edge._header_codec import HeaderCodec
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.logs import LineWriter
from cicadaledge.store import StoreTopics

# Thresholds of the garbage collector. It starts a collection once this many more objects (the first
# value) were created than freed. The objects of some hundred requests reach that number, and few of
# them form cycles that need a collection.
_GC_THRESHOLDS = (5_000, 20, 20)


def run_edge_router(settings: EdgeSettings, dialect: HeaderCodec, topics: StoreTopics) -> None:
    """Run a router until it gets a stop signal."""

    async def main() -> None:
        lines = LineWriter(sys.stdout.fileno())
        lines.attach()
        router = EdgeRouter(settings, dialect, topics)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, router.stop)
        loop.add_signal_handler(signal.SIGHUP, router.reload)
        await router.run()
        await lines.drain(FINAL_WAIT_S)

    # Imported objects are never freed; freezing them keeps full collections short.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    os.environ["UV_USE_IO_URING"] = "0"  # read by libuv when it creates the event loop
    uvloop.run(main())

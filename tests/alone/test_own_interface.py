"""Crowds of clients that do not behave at the interface of routers with their own protocol."""

import asyncio

import psutil
import pytest
from crowd import Crowd

from cicadaledge.loadtool import Caller
from cicadaledge.loadtool._deployment import account_key
from cicadaledge.settings import Address

MEGABYTE = 1_048_576
# A router without callers takes about 75 MiB.
MAX_RESIDENT_BYTES = 160 * MEGABYTE
MAX_DESCRIPTORS = 1_000
BODY_BYTES = 1_048_576
HEAD = b"POST %b HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + account_key("ash").encode()
HEAD += b"\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
# A caller tries again when it gets no answer.
_TRY_S, _TRIES = 3.0, 6
FORMS = {
    "body": (150, HEAD % b"/shop/x" + LENGTH + b"x" * (BODY_BYTES - 1)),
    "operators": (150, HEAD % b"/operator/v1/x" + LENGTH + b"x" * (BODY_BYTES - 1)),
    "head": (1_500, HEAD % b"/shop/x" + b"X: x"),
    "nothing": (1_500, b""),
}


@pytest.mark.parametrize("form", FORMS)
def test_a_crowd_that_stops_half_way_leaves_threads_for_others(form, fleet):
    """Guards against a router whose threads all wait for the rest of requests."""
    zones = {"north-a": "north"}
    launcher = fleet(zones=zones, engines=[], services=[], routers_per_zone=1)
    name, url = next(iter(launcher.router_urls().items()))
    caller = Caller(timeout_s=_TRY_S)
    used = psutil.Process(launcher.pid(name))
    size, data = FORMS[form]

    async def scenario():
        host, _, port = url.removeprefix("http://").partition(":")
        async with Crowd(Address(host, int(port)), size, lambda: [data]):
            for _ in range(_TRIES):
                result = await asyncio.to_thread(caller.service, url, "birch", "GET", "/none/x")
                if result.status == 404:
                    break
                await asyncio.sleep(0.2)
            assert result.status == 404
            assert used.is_running()
            assert used.memory_info().rss < MAX_RESIDENT_BYTES
            assert used.num_fds() < MAX_DESCRIPTORS

    asyncio.run(scenario())

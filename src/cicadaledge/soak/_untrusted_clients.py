"""A small crowd of clients whose requests stay incomplete."""

from __future__ import annotations

import asyncio
import contextlib
import random

from cicadaledge.settings import Address
from cicadaledge.soak._deployment import KEYS
from cicadaledge.standins import CallerRequest

_CLIENTS = 40
_BODY_BYTES = 99_000
_DRIP_S = 0.1
_DEADLINE_MS = 2_000
_FORMS = (
    (b"Content-Length: %d\r\n\r\n" % _BODY_BYTES, b"x" * (_BODY_BYTES - 1)),
    (b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 5_000),
    (b"a:\r\n" * 3_000 + b"Content-Length: 10\r\n\r\n", b"x" * 9),
    (b"X: x", b""),
)


async def send_incomplete_requests(callers: Address, duration_s: float, number: int) -> None:
    """Keep connections with incomplete requests open for a time.

    Args:
        number: Selects the form of the requests and their path.
    """
    rng = random.Random(number)
    start, body = rng.choice(_FORMS)
    path = rng.choice((b"/book/1", b"/nothing"))
    named = CallerRequest("incomplete", rng.choice(KEYS), _DEADLINE_MS).headers()
    fields = b"".join(b"%b: %b\r\n" % field for field in named)
    request = b"POST %b HTTP/1.1\r\n" % path + fields + start + body
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(duration_s), asyncio.TaskGroup() as clients:
            for _ in range(_CLIENTS):
                clients.create_task(_send(callers, request))


async def _send(callers: Address, request: bytes) -> None:
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(callers.host, callers.port)
        try:
            writer.write(request)
            # Reads nothing, so that an early refusal does not end the connection on this side.
            while not writer.is_closing():
                await writer.drain()
                await asyncio.sleep(_DRIP_S)
        finally:
            writer.transport.abort()

"""Crowds of clients that do not behave must not end a router or take it away from others.

Each test starts one router process and one crowd. The crowds and bounds were fixed before the
router had any of its own; a test checks no times.
"""

import asyncio

import pytest
from crowd import Crowd, endless, split
from limited_router import BODY_BYTES, MEGABYTE, MEMORY_MB, limited_router

KEY = b"Authorization: Token key-of-banksia\r\n"
FALSE_KEY = b"Authorization: Token key-of-nobody\r\n"
# The rest is left for servers, the store, other routers and files.
DESCRIPTOR_RATIO = 0.9
READY = b"/cicadaledge/readyz"
# Time until a request must have arrived; long, so that it does not end the crowd by itself.
SLOW = {"headerTimeoutMs": 15_000}
PLACES = {
    "route": ("callers", b"/look/x", KEY),
    "key nobody holds": ("callers", b"/look/x", FALSE_KEY),
    "no route": ("callers", b"/nothing", KEY),
    "readiness path": ("callers", READY, b""),
    "readiness address": ("probes", READY, b""),
    "metrics address": ("metrics", b"/metrics", b""),
}
IN_PLACES = pytest.mark.parametrize("place", PLACES)


def head(place, *fields):
    """Return the head of a request to one of the places."""
    _, path, key = PLACES[place]
    start = b"POST %b HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: mine\r\n" % path
    return start + key + b"".join(b"%b\r\n" % one for one in fields) + b"\r\n"


def address(router, place):
    """Return the address of one of the places."""
    addresses = {
        "callers": router.node.callers,
        "probes": router.node.probes,
        "metrics": router.metrics,
    }
    return addresses[PLACES[place][0]]


async def assert_router_serves(router, memory_mb=MEMORY_MB):
    """Assert that the router answers and has kept its bounds."""
    assert await router.answers_an_ordinary_request()
    assert await router.answers_a_probe(router.node.probes, READY.decode())
    assert await router.answers_a_probe(router.metrics, "/metrics")
    assert router.process.returncode is None
    assert router.highest_bytes < memory_mb * MEGABYTE
    assert router.highest_descriptors < router.node.descriptors * DESCRIPTOR_RATIO


def play(tmp_path, make_crowd, **limits):
    """Send a crowd to a router; while it stays, the router must serve an ordinary caller."""

    async def scenario():
        async with limited_router(tmp_path, **limits) as router, make_crowd(router):
            await router.take_what_was_sent()
            await assert_router_serves(router)

    asyncio.run(scenario())


@IN_PLACES
def test_bodies_in_one_piece_that_stop_one_byte_short_take_bounded_memory(place, tmp_path):
    request = head(place, b"Content-Length: %d" % BODY_BYTES) + b"x" * (BODY_BYTES - 1)

    def crowd(router):
        return Crowd(address(router, place), 30, lambda: [request])

    play(tmp_path, crowd, **SLOW)


@pytest.mark.parametrize("place", ["route", "no route"])
def test_bodies_in_small_pieces_that_stop_one_byte_short_take_bounded_memory(place, tmp_path):
    request = head(place, b"Content-Length: 400000") + b"x" * 399_999

    def crowd(router):
        return Crowd(address(router, place), 250, split(request, 4_000))

    play(tmp_path, crowd, **SLOW)


@pytest.mark.parametrize("place", ["route", "readiness address"])
@pytest.mark.parametrize(("size", "callers"), [(100, 500), (1, 250)])
def test_bodies_in_tiny_chunks_that_stop_one_byte_short_leave_room_for_others(
    place, size, callers, tmp_path
):
    chunks = b"%x\r\n%b\r\n" % (size, b"x" * size) * (99_000 // size)
    request = head(place, b"Transfer-Encoding: chunked") + chunks + b"0\r\n\r"

    def crowd(router):
        return Crowd(address(router, place), callers, lambda: [request])

    play(tmp_path, crowd, **SLOW)


@pytest.mark.parametrize("place", ["route", "no route", "readiness address"])
def test_bodies_far_over_the_limit_take_bounded_memory(place, tmp_path):
    request = head(place, b"Content-Length: %d" % (64 * MEGABYTE)) + b"x" * (BODY_BYTES - 10)

    def crowd(router):
        return Crowd(address(router, place), 30, lambda: [request])

    play(tmp_path, crowd, **SLOW)


def test_bodies_in_chunks_without_end_take_bounded_memory(tmp_path):
    start = head("route", b"Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (10_000, b"x" * 10_000)

    def crowd(router):
        return Crowd(router.node.callers, 40, endless(start, part=chunk), reconnects=True)

    play(tmp_path, crowd, **SLOW)


@pytest.mark.parametrize("place", ["route", "no route", "readiness address"])
def test_heads_of_very_many_fields_take_bounded_memory(place, tmp_path):
    fields = [b"a:"] * 4_000
    request = head(place, b"Content-Length: 10", *fields) + b"x" * 9

    def crowd(router):
        return Crowd(address(router, place), 200, lambda: [request])

    play(tmp_path, crowd, **SLOW)


def test_heads_of_very_many_fields_leave_time_for_others(tmp_path):
    request = head("no route", b"Content-Length: 0", *[b"a:"] * 4_000)

    def crowd(router):
        return Crowd(router.node.callers, 100, endless(part=request), reconnects=True)

    play(tmp_path, crowd, **SLOW)


@pytest.mark.parametrize("place", ["route", "metrics address"])
def test_requests_sent_ahead_without_reading_answers_take_bounded_memory(place, tmp_path):
    request = head(place, b"Content-Length: 2") + b"{}"

    def crowd(router):
        return Crowd(address(router, place), 60, endless(part=request * 100), reads=False)

    play(tmp_path, crowd, **SLOW)


@pytest.mark.parametrize(
    ("place", "start"),
    [
        ("route", b""),
        ("route", b"Content-Length: 1000"),
        ("readiness address", b"Content-Length: 1000"),
    ],
    ids=["within the head", "within the body", "readiness address"],
)
def test_crowds_that_send_very_slowly_leave_descriptors_for_others(place, start, tmp_path):
    first = head(place, start) if start else head(place)[:-2] + b"X: "

    def crowd(router):
        return Crowd(
            address(router, place), 700, endless(first, part=b"x"), pause_s=0.2, reconnects=True
        )

    play(tmp_path, crowd, descriptors=500, **SLOW)


@pytest.mark.parametrize("place", ["route", "readiness address", "metrics address"])
def test_crowds_that_send_nothing_leave_descriptors_for_others(place, tmp_path):
    def crowd(router):
        return Crowd(address(router, place), 700, lambda: [b""], reconnects=True)

    play(tmp_path, crowd, descriptors=500, **SLOW)


def test_crowds_that_stop_within_the_head_take_bounded_memory(tmp_path):
    first = head("route")[:-2] + b"X: " + b"x" * 16_000

    def crowd(router):
        return Crowd(router.node.callers, 2_000, lambda: [first])

    play(tmp_path, crowd, **SLOW)


@pytest.mark.parametrize("framing", ["length", "chunks", "tiny chunks"])
def test_a_single_body_of_the_largest_size_is_served_in_calm(framing, tmp_path):
    """Guards against a limit that a client within the limits of the configuration meets."""
    size = {"length": BODY_BYTES, "chunks": 65_536, "tiny chunks": 64}[framing]
    start, end = head("route", b"Content-Length: %d" % BODY_BYTES), b""
    body = b"x" * BODY_BYTES
    if framing != "length":
        start, end = head("route", b"Transfer-Encoding: chunked"), b"0\r\n\r\n"
        body = b"%x\r\n%b\r\n" % (size, b"x" * size) * (BODY_BYTES // size)

    async def scenario():
        async with limited_router(tmp_path, memory_mb=160, **SLOW) as router:
            callers = router.node.callers
            reader, writer = await asyncio.open_connection(callers.host, callers.port)
            writer.write(start + body + end)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            await assert_router_serves(router, memory_mb=160)

    asyncio.run(scenario())

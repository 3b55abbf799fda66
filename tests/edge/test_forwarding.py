"""Requests reach backend servers unchanged, and responses come back complete."""

import asyncio

from edge_world import KEY, configuration, request_headers, small_world

from cicadaledge.standins import platform_route

MODEL = {"model": True}


def test_a_request_and_its_response_are_forwarded_unchanged():
    async def play():
        async with small_world() as world:
            answer = await world.call("/book/5?x=1", body=b"one chair", headers={"X_Own": "kept"})
            run = world.runners[0].runs[0]
            assert answer.status == 200
            assert answer.body == b"desk-0 /book/5?x=1"
            assert answer.head.get(b"Response-Seal") == "desk-0.1"
            assert (run.method, run.target, run.body) == ("POST", "/book/5?x=1", b"one chair")
            assert run.headers["x-own"] == "kept"
            assert run.headers["tenant-id"] == "banksia"
            assert run.headers["expect-instance"] == "desk-0"
            assert 0 < int(run.headers["deadline-ms"]) <= 2000
            assert "authorization" not in run.headers

    asyncio.run(play())


def test_headers_that_only_the_router_may_set_are_dropped():
    async def play():
        async with small_world() as world:
            own = {
                "Tenant_Id": "other",
                "Hold": "h",
                "Pin_Ms": "5",
                "Kv_From": "x",
                "Kv_Backup": "y",
                "Kv_Fetch": "z",
            }
            await world.call("/book/1", headers=own)
            headers = world.runners[0].runs[0].headers
            assert headers["tenant-id"] == "banksia"
            assert not headers.keys() & {"hold", "pin-ms", "kv-from", "kv-backup", "kv-fetch"}

    asyncio.run(play())


def test_a_stream_arrives_complete_and_in_order():
    async def play():
        async with small_world() as world:
            answer = await world.call("/draft/1", **MODEL)
            expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
            assert (answer.status, answer.body, answer.complete) == (200, expected, True)

    asyncio.run(play())


def test_events_are_forwarded_as_they_arrive():
    async def play():
        async with small_world() as world:
            world.runners[1].gap_s = 0.2
            connection = await world.connect()
            connection.send("POST", "/draft/1", request_headers(model=True), b"{}")
            await connection.read_head()
            loop = asyncio.get_running_loop()
            times = []
            while await connection.read_chunk() is not None:
                times.append(loop.time())
            assert len(times) == 4
            assert all(
                later - earlier > 0.1 for earlier, later in zip(times, times[1:], strict=False)
            )

    asyncio.run(play())


def test_unknown_routes_and_keys_are_refused():
    async def play():
        async with small_world() as world:
            assert (await world.call("/nowhere/1")).status == 404
            assert (await world.call("/book/1", key="wrong")).status == 401
            assert (await world.call("/book/1", key=None)).status == 401
            assert (await world.call("/open/1", key=None)).status == 200
            assert len(world.runners[0].runs) == 1

    asyncio.run(play())


def test_the_longest_prefix_wins():
    async def play():
        async with small_world() as world:
            await world.add_runner("deep-0", "deep")
            plain = configuration()
            plain["routes"].append(platform_route("book/deep", "deep", "unsafe"))
            plain["services"].append({"name": "deep"})
            plain["version"] = 2
            world.store.put("keyed.op", "config", plain)
            await asyncio.sleep(0.4)
            assert (await world.call("/book/deep/1")).body == b"deep-0 /book/deep/1"
            assert (await world.call("/book/deeper")).body == b"desk-0 /book/deeper"

    asyncio.run(play())


def test_a_request_smuggled_in_another_is_not_run():
    async def play():
        async with small_world() as world:
            connection = await world.connect()
            hidden = b"POST /book/2 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: h\r\n\r\n"
            framing = b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
            names = b"".join(name + b": " + value + b"\r\n" for name, value in request_headers(KEY))
            connection.channel.write(
                b"POST /book/1 HTTP/1.1\r\n" + names + framing + b"\r\n0\r\n\r\n" + hidden
            )
            received = await connection.channel.read()
            assert received.startswith(b"HTTP/1.1 400")
            await asyncio.sleep(0.1)
            assert world.runners[0].runs == []

    asyncio.run(play())


def test_many_requests_share_one_server_connection():
    async def play():
        async with small_world() as world:
            connection = await world.connect()
            for number in range(20):
                answer = await world.call(f"/book/{number}", connection=connection)
                assert answer.body == f"desk-0 /book/{number}".encode()
                assert connection.finish_exchange()
            assert len(world.runners[0].channels) == 1

    asyncio.run(play())


def test_a_chunked_body_arrives_complete():
    async def play():
        async with small_world() as world:
            connection = await world.connect()
            names = b"".join(name + b": " + value + b"\r\n" for name, value in request_headers(KEY))
            connection.channel.write(
                b"POST /book/1 HTTP/1.1\r\n" + names + b"Transfer-Encoding: chunked\r\n\r\n"
                b"3\r\none\r\n4\r\n two\r\n0\r\n\r\n"
            )
            assert (await connection.channel.read()).startswith(b"HTTP/1.1 200")
            assert world.runners[0].runs[0].body == b"one two"

    asyncio.run(play())


def test_a_body_over_the_limit_is_refused():
    async def play():
        async with small_world() as world:
            assert (await world.call("/book/1", body=b"x" * 100_001)).status == 413
            assert world.runners[0].runs == []

    asyncio.run(play())


def test_a_request_that_causes_an_internal_error_is_answered():
    """Otherwise its connection would be reset without a response."""

    async def play():
        async with small_world() as world:
            plain = configuration(version=2)
            plain["routes"].append(platform_route("gone", "nowhere", "safe"))
            plain["tenants"].append(
                {"name": "\u0219tefan", "apiKeys": ["second-key"], "allowedRegions": []}
            )
            world.store.put("keyed.op", "config", plain)
            await asyncio.sleep(0.4)
            connection = await world.connect()
            for target, key in (("/gone/1", KEY), ("/look/2", "second-key")):
                answer = await world.call(target, key=key, connection=connection)
                assert (answer.status, connection.finish_exchange()) == (500, True)
            assert (await world.call("/look/3", connection=connection)).status == 200
            connection.abort()

    asyncio.run(play())

"""Conditions that change while a request waits for a connection to the chosen server."""

import asyncio

from edge_world import KEY, small_world


def run_before_sending(router, meanwhile):
    """Call *meanwhile* once, while the router waits for a connection to a server."""
    acquire = router._pool.acquire
    called_for = []

    async def delayed_acquire(server, **how):
        connection = await acquire(server, **how)
        if not called_for:
            called_for.append(server.server)
            meanwhile(server)
        return connection

    router._pool.acquire = delayed_acquire
    return called_for


def runs_at(world, name):
    return len(next(one for one in world.runners if one.instance == name).runs)


def test_a_server_removed_while_a_router_was_connecting_gets_no_request():
    async def play():
        async with small_world(desks=2) as world:
            router = world.routers[0]
            directory = router._control_state.directory
            chosen = run_before_sending(router, lambda server: directory.remove(server.server, 0.0))
            answer = await world.call("/book/1", key=KEY)
            assert answer.status == 200
            assert runs_at(world, chosen[0]) == 0

    asyncio.run(play())


def test_a_key_that_cannot_be_trusted_after_connecting_is_not_used():
    async def play():
        async with small_world(desks=2) as world:
            router = world.routers[0]

            def expire_keys(server):
                router._control_state.may_use_keys = lambda now_ms: False

            chosen = run_before_sending(router, expire_keys)
            answer = await world.call("/book/1", key=KEY)
            assert answer.status == 503
            assert runs_at(world, chosen[0]) == 0

    asyncio.run(play())

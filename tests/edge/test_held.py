"""A router that was held between its decision and the sending of a request."""

import asyncio

from edge_world import KEY, small_world


def hold_before_sending(router, meanwhile):
    """Let something happen once, while the router waits for a connection to a server."""
    take = router._pool.take
    happened = []

    async def take_late(server, *, repeatable):
        connection = await take(server, repeatable=repeatable)
        if not happened:
            happened.append(server.server)
            meanwhile(server)
        return connection

    router._pool.take = take_late
    return happened


def runs_at(world, name):
    return len(next(one for one in world.runners if one.instance == name).runs)


def test_a_server_that_left_while_a_router_was_held_gets_no_request():
    async def play():
        async with small_world(desks=2) as world:
            router = world.routers[0]
            directory = router._control_state.directory
            chosen = hold_before_sending(
                router, lambda server: directory.remove(server.server, 0.0)
            )
            answer = await world.call("/book/1", key=KEY)
            assert answer.status == 200
            assert runs_at(world, chosen[0]) == 0

    asyncio.run(play())


def test_a_key_whose_proof_ran_out_while_a_router_was_held_is_not_used():
    async def play():
        async with small_world(desks=2) as world:
            router = world.routers[0]

            def grow_old(server):
                router._control_state.may_use_keys = lambda now_ms: False

            chosen = hold_before_sending(router, grow_old)
            answer = await world.call("/book/1", key=KEY)
            assert answer.status == 503
            assert runs_at(world, chosen[0]) == 0

    asyncio.run(play())

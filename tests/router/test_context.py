"""Time stamps of peers in the router context."""

from cicadaledge.router._context import RouterContext, SwitchableLog
from cicadaledge.settings import Address, RouterSettings
from cicadaledge.wire import Heartbeat


def make_context():
    settings = RouterSettings(
        name="r1", zone="z", region="r", platform=Address("h", 1), fleet_key="k" * 16
    )
    return RouterContext(settings, SwitchableLog(None))


def test_requesting_the_time_stamp_of_a_distant_router_makes_it_near():
    """A coordinator needs a recent time stamp of an entry router before it can send it grants."""
    context = make_context()
    heartbeats_to = []
    context.send_heartbeat = heartbeats_to.append
    context.liveness.on_link_up("r2", 1, context.now_ms())
    context.liveness.on_heartbeat("r2", Heartbeat(7, -1, 0, -1), -1, context.now_ms())
    assert not context.is_near("r2")
    assert context.echo("r2")[0] == 7
    assert context.is_near("r2")
    context.echo("r2")
    assert heartbeats_to == ["r2"]


def test_a_router_without_a_link_has_no_time_stamp():
    assert make_context().echo("r9") is None

"""What the parts of a router share."""

from cicadaledge.router._context import RouterContext, SwitchableLog
from cicadaledge.settings import Address, RouterSettings
from cicadaledge.wire import Heartbeat


def make_context():
    settings = RouterSettings(
        name="r1", zone="z", region="r", platform=Address("h", 1), fleet_key="k" * 16
    )
    return RouterContext(settings, SwitchableLog(None))


def test_asking_for_a_far_routers_time_stamp_makes_it_near_at_once():
    """A coordinator needs a fresh time stamp before it can grant to an entry router."""
    context = make_context()
    beaten = []
    context.send_heartbeat = beaten.append
    context.liveness.on_link_up("r2", 1, context.now_ms())
    context.liveness.on_heartbeat("r2", Heartbeat(7, -1, 0, -1), -1, context.now_ms())
    assert not context.is_near("r2")
    assert context.echo("r2")[0] == 7
    assert context.is_near("r2")
    context.echo("r2")
    assert beaten == ["r2"]


def test_a_router_without_a_link_has_no_time_stamp():
    assert make_context().echo("r9") is None

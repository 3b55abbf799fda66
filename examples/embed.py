"""Uses the coordination classes without a router: two accounts share one server by weight."""

from cicadaledge.capacity import Coordinator, HomeLessor, LoadReport
from cicadaledge.membership import Join, Member, Members
from cicadaledge.settings import Address, RouterSettings
from cicadaledge.wire import Descriptor, Done, LeaseReply, Outcome
from cicadaledge.world import BackendServer, Configuration, Pool, Zone

settings = RouterSettings(
    name="r1", zone="z", region="r", platform=Address("127.0.0.1", 1), fleet_key="k" * 16
)
configuration = Configuration(
    zones={"z": Zone("z", "r")},
    pools={"p": Pool("p")},
    servers={"s": BackendServer("s", "z", "p", "127.0.0.1", 2, warm_slots=1)},
)
now_ms = 60_000
members = Members()
members.apply(0, Join(Member("r1", 1, "z", "r", "127.0.0.1", 3)))

home = HomeLessor(settings, started_ms=0)
home.update(members, configuration, 0, now_ms)
home.tick(members, now_ms)
now_ms += 5_000
home.on_report("s", LoadReport("boot-1", running=0, as_of_ms=now_ms))

coordinator = Coordinator(settings, "p", "z")
coordinator.queue.set_weight("ash", 1.0)
coordinator.queue.set_weight("birch", 3.0)
accounts = ["ash"] * 40 + ["birch"] * 40
coordinator.enqueue(
    [Descriptor(n, account, "p", 10, entry="r1") for n, account in enumerate(accounts)], now_ms
)


def echo(entry):
    """Return the newest timestamp received from the entry router, and its age."""
    return now_ms, 0


served = {"ash": 0, "birch": 0}
for _ in range(40):
    leases = home.lease("r1", 1, coordinator.lease_items(["s"]), configuration, now_ms)
    lease_ms = settings.timing.lease_ms
    coordinator.on_lease_reply(LeaseReply("p", "z", now_ms, lease_ms, leases), now_ms)
    for _, grant in coordinator.next_grants(echo, now_ms):
        served[accounts[grant.handle]] += 1
        done = Done(grant.handle, "p", "z", cost=10, outcome=int(Outcome.FINISHED))
        coordinator.on_done("r1", done, now_ms)
    now_ms += 100
print(served)

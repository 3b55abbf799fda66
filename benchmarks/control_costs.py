"""Measures CPU time, bytes and memory per item of the control plane, for docs/CAPACITY.md.

Run: python benchmarks/control_costs.py
"""

from __future__ import annotations

import time
import tracemalloc

from cicadaledge.capacity import Coordinator, HomeLessor, LoadReport
from cicadaledge.claims import Answer, Claim, ClaimTable, Settle, encode_batch
from cicadaledge.config import (
    FleetState,
    Intent,
    IntentKind,
    Propose,
    Publish,
    encode_record,
    make_plan,
)
from cicadaledge.membership import Join, Member, Members, rank
from cicadaledge.settings import Address, RouterSettings
from cicadaledge.wire import (
    Counters,
    Descriptor,
    Done,
    Enqueue,
    Grant,
    Heartbeat,
    LeaseItem,
    LeaseReply,
    LeaseRequest,
    NameTable,
    Progress,
    decode_message,
    encode_message,
)
from cicadaledge.wire._messages import AccountCost, LeaseGrant
from cicadaledge.world import BackendServer, ClientAccount, Configuration, Pool, Zone

ROUNDS = 300
LENGTH_PREFIX_BYTES = 4
ZONES = 11
POOLS = 7
SERVERS = 600
ACCOUNTS = 240
ROUTERS = 380
NOW_MS = 10_000_000


def timed_us(function, rounds=ROUNDS):
    """Return the mean wall-clock time of a call in microseconds."""
    started = time.perf_counter()
    for _ in range(rounds):
        function()
    return (time.perf_counter() - started) / rounds * 1e6


def memory_bytes(build):
    """Return the memory allocated by the object that *build* returns."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def make_settings(name="r1"):
    return RouterSettings(
        name=name, zone="z0", region="g0", platform=Address("h", 1), fleet_key="k" * 16
    )


def make_configuration():
    zones = {f"z{i}": Zone(f"z{i}", f"g{i % 3}") for i in range(ZONES)}
    pools = {f"p{i}": Pool(f"p{i}") for i in range(POOLS)}
    servers = {
        f"server-{i}": BackendServer(f"server-{i}", f"z{i % ZONES}", f"p{i % POOLS}", "10.0.0.1", 1)
        for i in range(SERVERS)
    }
    accounts = {
        f"account-{i}": ClientAccount(f"account-{i}", key_digests=["0" * 64])
        for i in range(ACCOUNTS)
    }
    return Configuration(zones, pools, servers, accounts)


def message_costs():
    table, received = NameTable(), NameTable()
    messages = [
        Heartbeat(NOW_MS, NOW_MS, 5000, 300),
        Enqueue("p1", "z1", [Descriptor(70_000, "account-1", "p1", 500, 2**60)]),
        Grant(70_000, "p1", "z1", "server-1", "boot-1", NOW_MS),
        Done(70_000, "p1", "z1", 400, 0, 350),
        Progress("p1", "z1", list(range(70_000, 70_010)), [200] * 10),
        Progress("p1", "z1", list(range(70_000, 70_100)), [200] * 100),
        Counters("p1", "z1", 9, 0, 1e5, [AccountCost(f"account-{i}", 1e5, 3) for i in range(24)]),
        Counters("p1", "z1", 9, 0, 1e5, [AccountCost(f"account-{i}", 1e5, 3) for i in range(240)]),
        LeaseRequest("p1", "z1", NOW_MS, [LeaseItem(f"server-{i}", 8, 3) for i in range(2)]),
        LeaseReply(
            "p1",
            "z1",
            NOW_MS,
            1500,
            [LeaseGrant(f"server-{i}", 8, "boot", 8, 90) for i in range(2)],
        ),
    ]
    print("\nmessage, bytes after the first, encode us, decode us")
    for message in messages:
        encode_message(message, table)
        decode_message(encode_message(message, NameTable()), received)
        frame = encode_message(message, table)
        encode_us = timed_us(lambda one=message: encode_message(one, table))
        decode_us = timed_us(lambda one=frame: decode_message(one, table))
        size = len(frame) + LENGTH_PREFIX_BYTES
        print(f"{type(message).__name__:14} {size:6} {encode_us:8.1f} {decode_us:8.1f}")


def make_coordinator(servers, accounts, waiting):
    coordinator = Coordinator(make_settings(), "p", "z")
    grants = [LeaseGrant(f"server-{i}", 8, "boot", 0, 0) for i in range(servers)]
    coordinator.on_lease_reply(LeaseReply("p", "z", NOW_MS, 10**9, grants), NOW_MS)
    handle = 0
    for account in range(accounts):
        for _ in range(waiting):
            handle += 1
            descriptor = Descriptor(handle, f"account-{account}", "p", 100, entry="e")
            coordinator.enqueue([descriptor], NOW_MS)
    coordinator.next_grants(lambda entry: (NOW_MS, 0), NOW_MS)
    return coordinator, handle


def coordinator_costs():
    print("\nservers, backlogged accounts, us for one request (enqueue, grant, done)")
    for servers, accounts in ((8, 3), (8, 24), (8, 240), (55, 24)):
        coordinator, handle = make_coordinator(servers, accounts, waiting=16)
        granted = [key[1] for key in coordinator._grants]

        def one_request(coordinator=coordinator, granted=granted):
            nonlocal handle
            handle += 1
            descriptor = Descriptor(handle, f"account-{handle % 3}", "p", 100, entry="e")
            coordinator.enqueue([descriptor], NOW_MS)
            coordinator.on_done("e", Done(granted.pop(0), "p", "z", 100, 0, 50), NOW_MS)
            for _, grant in coordinator.next_grants(lambda entry: (NOW_MS, 0), NOW_MS):
                granted.append(grant.handle)

        print(f"{servers:4} {accounts:4} {timed_us(one_request):8.1f}")


def home_costs():
    configuration = make_configuration()
    members = Members()
    members.apply(0, Join(Member("r1", 1, "z0", "g0", "h", 1)))
    home = HomeLessor(make_settings(), 0)
    started = time.perf_counter()
    home.update(members, configuration, 0, NOW_MS)
    print(f"\nhome update of {SERVERS} servers: {(time.perf_counter() - started) * 1e3:.1f} ms")
    home.tick(members, NOW_MS)
    names = home.owned[:5]
    for name in names:
        home.on_report(name, LoadReport("boot", 0, NOW_MS + 5000))
    items = [LeaseItem(name, 3) for name in names]
    lease_us = timed_us(lambda: home.lease("r1", 1, items, configuration, NOW_MS + 5000))
    print(f"lease of {len(items)} servers: {lease_us:.1f} us")
    routers = [f"router-{i}" for i in range(127)]
    print(f"rank of 127 routers: {timed_us(lambda: rank('server-1', routers)):.1f} us")


def state_costs():
    state = FleetState()
    state.apply(0, encode_record(Publish(make_configuration(), "o", 1)))
    for i in range(ROUTERS):
        member = Member(f"router-{i}", 1, f"z{i % ZONES}", f"g{i % 3}", "10.0.0.1", i + 1)
        state.apply(i + 1, encode_record(Join(member)))
    data = state.to_json()
    print(
        f"\nstate: {len(data)} bytes of JSON, {memory_bytes(lambda: FleetState.from_json(data))} "
        "bytes in memory"
    )
    print(f"state from JSON: {timed_us(lambda: FleetState.from_json(data), 5) / 1000:.1f} ms")
    intent = Intent(IntentKind.SET_SHARE, "account-1", 2.0)
    plan = make_plan("p", "o", intent, state.configuration, state.offset)
    record = encode_record(Propose(plan, 1))
    offset = [1000]

    def apply():
        offset[0] += 1
        state.apply(offset[0], record)

    print(f"apply of a plan record of {len(record)} bytes: {timed_us(apply):.1f} us")


def claim_costs():
    answer = Answer(201, {"content-type": "application/json"}, b"x" * 300)
    count = 2000
    batches = [
        encode_batch(
            [
                Claim(f"{i:064}", "d" * 64, f"router/{i:032}", "router", i),
                Settle(f"{i:064}", f"router/{i:032}", answer),
            ]
        )
        for i in range(count)
    ]
    claim_table = ClaimTable(86_400_000)
    started = time.perf_counter()
    for offset, data in enumerate(batches):
        claim_table.apply(offset, data)
    each_us = (time.perf_counter() - started) / count * 1e6

    def build():
        table = ClaimTable(86_400_000)
        for offset, data in enumerate(batches):
            table.apply(offset, data)
        return table

    print(
        f"\nclaim with answer of 300 bytes: {len(batches[0])} bytes in the log, "
        f"{memory_bytes(build) // count} bytes in memory, {each_us:.1f} us to apply"
    )


def descriptor_memory():
    size = memory_bytes(lambda: make_coordinator(8, 24, 100))
    print(f"\nwaiting descriptor at a coordinator: {size // 2400} bytes")


if __name__ == "__main__":
    message_costs()
    coordinator_costs()
    home_costs()
    state_costs()
    claim_costs()
    descriptor_memory()

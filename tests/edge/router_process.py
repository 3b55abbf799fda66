"""Runs a router as a separate process.

`router_process.py STORE CALLERS PROBES PEERS METRICS [DESCRIPTORS]`
"""

import resource
import sys

from edge_world import FAST, HOST, SETTINGS, evolve

from cicadaledge.edge import BoundSettings, StoreTopics, run_edge_router
from cicadaledge.platform import (
    ControlTopic,
    MemberTopic,
    PlatformHeaderCodec,
    ServerTopic,
    StoreClient,
)
from cicadaledge.settings import Address

NAME = "router-9"


def main():
    ports, descriptors = sys.argv[1:6], int((sys.argv[6:] or ["4096"])[0])
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(descriptors, hard), hard))
    store, callers, probes, peers, metrics = (Address(HOST, int(port)) for port in ports)
    settings = evolve(
        SETTINGS,
        router=NAME,
        store=store,
        callers=callers,
        probes=probes,
        peers=peers,
        metrics=metrics,
        bounds=BoundSettings(grace_ms=1_000),
        timing=FAST,
        descriptors=descriptors,
    )
    client = StoreClient(store.host, store.port)
    members = MemberTopic(client)
    topics = StoreTopics(ControlTopic(client), ServerTopic(client), members, registry=members)
    run_edge_router(settings, PlatformHeaderCodec(), topics)


if __name__ == "__main__":
    main()

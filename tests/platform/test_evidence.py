"""Crash evidence as routers publish it in the store."""

import asyncio
import json

from cicadaledge.edge import CrashEvidence, EvidenceSeen
from cicadaledge.platform import StoreClient
from cicadaledge.platform._decode import decode_evidence
from cicadaledge.platform._store import SuspectTopic
from cicadaledge.standins import PlatformStore
from cicadaledge.suspects import Evidence, PartEvidence


def test_published_evidence_is_read_back_unchanged():
    evidence = CrashEvidence(
        Evidence({"a/1": 5.0}, {"a/1": ["x", "y"]}, {"a/1": ["y"]}),
        PartEvidence({"a/1": 5.0}, {"a/1": {"p": ["x"], "q": []}}, {"a/1": ["q"]}),
    )

    async def scenario():
        store = PlatformStore()
        await store.start()
        topic = SuspectTopic(StoreClient("127.0.0.1", store.port))
        await topic.publish("router-0", evidence)
        page = await topic.newest()
        assert page.changes == [EvidenceSeen("router-0", evidence)]
        await store.stop()

    asyncio.run(scenario())


def test_evidence_of_a_router_that_records_no_parts_is_read():
    record = {"crashed": {"a/1": 5}, "ran": {"a/1": ["x"]}, "cleared": {}}
    found = decode_evidence(json.dumps(record).encode())
    assert found == CrashEvidence(Evidence({"a/1": 5.0}, {"a/1": ["x"]}, {}))

"""Crash evidence as routers publish it in the store."""

import asyncio
import json

import pytest

from cicadaledge.platform import StoreClient
from cicadaledge.platform._decode import decode_evidence, decode_trial_claim
from cicadaledge.platform._topics import SuspectTopic
from cicadaledge.standins import PlatformStore
from cicadaledge.store import CrashEvidence, EvidenceSeen, TrialClaimed
from cicadaledge.suspects import Evidence, PartEvidence, TrialClaim


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


def test_claims_to_trials_are_read_in_the_order_in_which_they_were_written():
    claims = [TrialClaim(frozenset({"p", "q"}), 1, claimant, 5.0) for claimant in ("one", "two")]

    async def scenario():
        store = PlatformStore()
        await store.start()
        topic = SuspectTopic(StoreClient("127.0.0.1", store.port))
        for claim in claims:
            await topic.claim_trial(claim)
        page = await topic.since(0, 0)
        assert page.changes == [TrialClaimed(claim) for claim in claims]
        assert len((await topic.newest()).changes) == 2
        await store.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "changes", [{"number": 0}, {"number": 10**9}, {"parts": "p"}, {"claimant": 1}, {"at": "now"}]
)
def test_an_invalid_claim_is_rejected(changes):
    record = {"parts": ["p"], "number": 1, "claimant": "one", "at": 5.0, **changes}
    with pytest.raises(ValueError, match=next(iter(changes))):
        decode_trial_claim(json.dumps(record).encode())

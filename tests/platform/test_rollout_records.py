"""Records and settings of rollouts in the platform's formats."""

import asyncio
import json

import pytest
from test_adapter import NODE
from test_odd_entries import SERVER

from cicadaledge.platform import (
    ControlTopic,
    RolloutStatusTopic,
    StoreClient,
    decode_order,
    decode_server,
    decode_status,
    load_edge_settings,
)
from cicadaledge.rollouts import RolloutOrder, RolloutState, RolloutStatus
from cicadaledge.standins import PlatformStore
from cicadaledge.store import RolloutOrdered, RolloutStatusSeen, UnreadableEntry


def read_settings(text, tmp_path, monkeypatch):
    path = tmp_path / "node.toml"
    path.write_text(text)
    monkeypatch.setenv("CICADALEDGE_NODE_FILE", str(path))
    return load_edge_settings().rollouts


def test_rollouts_are_enabled_by_the_contracts_alone(tmp_path, monkeypatch):
    def rollouts(lines):
        text = NODE.replace("graceS = 8", "graceS = 8\n" + lines)
        return read_settings(text, tmp_path, monkeypatch)

    limits = "exposeShare = 0.2\nexposeSlack = 30\nrollbackMs = 4000"
    assert not rollouts(limits).is_enabled
    assert not rollouts('contracts = ["other"]\nexposeShare = 7').is_enabled
    enabled = rollouts('contracts = ["other", "rollout"]\n' + limits)
    assert enabled.is_enabled
    assert (enabled.expose_share, enabled.expose_slack, enabled.rollback_ms) == (0.2, 30.0, 4_000.0)
    assert rollouts('contracts = ["rollout"]').expose_share == 0.1


@pytest.mark.parametrize(("version", "read"), [("v2", "v2"), (7, 7), (None, ""), ([1], "")])
def test_the_version_of_a_server_keeps_its_type_and_may_be_missing(version, read):
    # An entry without a readable version must not take its server out of use.
    entry = decode_server("desk-0", json.dumps({**SERVER, "version": version}).encode())
    assert entry.version == read


@pytest.mark.parametrize("to", ["v2", 7])
def test_an_order_is_decoded(to):
    data = json.dumps({"service": "desk", "to": to, "durationS": 90, "more": 1}).encode()
    assert decode_order("desk", data) == RolloutOrder("desk", to, 90_000.0)


@pytest.mark.parametrize(
    "change",
    [
        {"service": "pool"},
        {"to": None},
        {"to": 1.5},
        {"to": True},
        {"durationS": 0},
        {"durationS": "90"},
        {"durationS": 1e9},
    ],
)
def test_a_malformed_order_is_rejected(change):
    plain = {"service": "desk", "to": "v2", "durationS": 90, **change}
    with pytest.raises(ValueError):
        decode_order("desk", json.dumps(plain).encode())


def test_a_status_needs_only_its_state_and_version():
    status = decode_status("desk", b'{"state":"completed","to":"v2"}')
    assert status == RolloutStatus("desk", "v2", RolloutState.COMPLETED)
    with pytest.raises(ValueError):
        decode_status("desk", b'{"state":"paused","to":"v2"}')


def test_orders_and_status_pass_through_the_store():
    async def play():
        store = PlatformStore()
        await store.start()
        try:
            client = StoreClient("127.0.0.1", store.port)
            orders, statuses = ControlTopic(client), RolloutStatusTopic(client)
            store.put_order("desk", "v2", 90.0)
            store.put("keyed.op", "rollout/pool", b"[]")
            store.put_order("desk", None)
            changes = (await orders.since(0, 0)).changes
            order = RolloutOrder("desk", "v2", 90_000.0)
            assert changes[0] == RolloutOrdered("desk", order)
            assert isinstance(changes[1], UnreadableEntry)
            assert changes[2] == RolloutOrdered("desk", None)
            status = RolloutStatus("desk", 2, RolloutState.RUNNING, 1_800_000_000_000, (1, "v0"))
            await statuses.write(status)
            store.put("keyed.status", "other/desk", {"state": "x"})
            assert (await statuses.since(0, 0)).changes == [RolloutStatusSeen(status)]
            (record,) = store.rollout_statuses("desk")
            assert (record["state"], record["to"]) == ("running", 2)
        finally:
            await store.stop()

    asyncio.run(play())

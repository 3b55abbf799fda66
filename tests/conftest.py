"""Fixtures shared by all tests."""

import asyncio

import pytest
import uvloop
from hypothesis import settings

from cicadaledge.loadtool import Launcher
from cicadaledge.loadtool._deployment import (
    AccountSpec,
    DeploymentSpec,
    EngineSpec,
    PoolSpec,
    ServiceSpec,
)

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


def make_small_spec(**changes):
    """Return a deployment of three zones in one region, with one router in each."""
    spec = {
        "zones": {"north-a": "north", "north-b": "north", "north-c": "north"},
        "routers_per_zone": 1,
        "pools": {
            "models": PoolSpec(models=["draft"], old_system_slots=1),
            "shop": PoolSpec(kind="service", non_idempotent_methods=["POST"]),
        },
        "engines": [
            EngineSpec("north-a", "models", 1, 4, 2, token_ms=5, prefill_ms=5),
            EngineSpec("north-b", "models", 1, 4, 2, token_ms=5, prefill_ms=5),
        ],
        "services": [ServiceSpec("north-a", "shop"), ServiceSpec("north-b", "shop")],
        "accounts": {
            "ash": AccountSpec(),
            "birch": AccountSpec(),
            "cedar": AccountSpec(),
            "oldtimer": AccountSpec(placement="old"),
        },
    }
    return DeploymentSpec(**{**spec, **changes})


@pytest.fixture(autouse=True)
def edge_event_loop(request):
    """Run the tests of the edge router on uvloop, as its process does."""
    if not {"edge", "store"} & set(request.node.path.parts):
        yield
        return
    previous_policy = asyncio.get_event_loop_policy()
    uvloop.install()
    yield
    asyncio.set_event_loop_policy(previous_policy)


@pytest.fixture
def fleet(tmp_path):
    """Return a function that starts a deployment; it is stopped after the test."""
    started = []

    def start(**changes):
        launcher = Launcher(make_small_spec(**changes), tmp_path / f"fleet{len(started)}")
        started.append(launcher)
        launcher.start()
        return launcher

    yield start
    for launcher in started:
        launcher.stop()


@pytest.fixture
def small_fleet(fleet):
    """Return a started deployment of three routers."""
    return fleet()

"""Runs the edge's tests on the event loop that its process runs on."""

import asyncio

import pytest
import uvloop


@pytest.fixture(autouse=True)
def edge_event_loop():
    """Make event loops those of uvloop for one test."""
    former = asyncio.get_event_loop_policy()
    uvloop.install()
    yield
    asyncio.set_event_loop_policy(former)

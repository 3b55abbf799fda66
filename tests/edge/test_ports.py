"""Tests that run in parallel use disjoint port ranges."""

import edge_world

from cicadaledge.loadtool import _deployment
from cicadaledge.soak import SoakSize

WORKERS = 3  # tests/run.py starts this many parallel workers


def test_launched_deployments_in_process_routers_and_soaks_use_disjoint_ports():
    blocks = _deployment._BLOCKS * _deployment._PORTS_PER_BLOCK
    launched_end = _deployment._LOWEST_PORT + blocks
    in_process_end = edge_world.FIRST_PORT + WORKERS * edge_world.PORTS_PER_WORKER
    assert launched_end <= edge_world.FIRST_PORT
    assert in_process_end <= SoakSize().first_port

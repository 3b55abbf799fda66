"""Tests that run in parallel use disjoint port ranges."""

import subprocess
import sys
from pathlib import Path

import edge_world

from cicadaledge.loadtool import _deployment
from cicadaledge.soak import SoakSize

WORKERS = 3  # tests/run.py starts this many parallel workers
RUNS = 6  # of the tests, at the same time


def test_launched_deployments_in_process_routers_and_soaks_use_disjoint_ports():
    blocks = _deployment._BLOCKS * _deployment._PORTS_PER_BLOCK
    launched_end = _deployment._LOWEST_PORT + blocks
    in_process_end = edge_world.FIRST_PORT + edge_world.BLOCKS * edge_world.PORTS_PER_BLOCK
    assert edge_world.BLOCKS >= WORKERS * RUNS
    assert launched_end <= edge_world.FIRST_PORT
    assert in_process_end <= SoakSize().first_port


def test_processes_that_run_tests_at_the_same_time_use_disjoint_ports():
    """A router process did not start, as another run of the tests had taken its port."""
    program = (
        "import edge_world, sys; "
        "print(*(edge_world.free_port() for _ in range(50)), flush=True); sys.stdin.read()"
    )
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", program],
            cwd=Path(__file__).parent,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    taken = [process.stdout.readline().split() for process in processes]
    for process in processes:
        process.communicate()
    assert [len(ports) for ports in taken] == [50, 50]
    blocks = [{int(port) // edge_world.PORTS_PER_BLOCK for port in ports} for ports in taken]
    assert blocks[0].isdisjoint(blocks[1])

"""Tests that run in parallel use disjoint port ranges."""

import subprocess
import sys
from pathlib import Path

import edge_world
import pytest

from cicadaledge.loadtool import _ports
from cicadaledge.soak import SoakSize

WORKERS = 3  # tests/run.py starts this many parallel workers
RUNS = 6  # of the tests, at the same time


def test_launched_deployments_in_process_routers_and_soaks_use_disjoint_ports():
    launched_end = _ports.FIRST_PORT + _ports.BLOCKS * _ports.PORTS_PER_BLOCK
    in_process_end = edge_world.FIRST_PORT + edge_world.BLOCKS * edge_world.PORTS_PER_BLOCK
    assert min(edge_world.BLOCKS, _ports.BLOCKS) >= WORKERS * RUNS
    assert launched_end <= edge_world.FIRST_PORT
    assert in_process_end <= SoakSize().first_port


# Guards against processes that did not start, as another run of the tests had taken their port.
@pytest.mark.parametrize(
    ("module", "expression", "block_ports"),
    [
        pytest.param(
            "edge_world",
            "[edge_world.free_port() for _ in range(50)]",
            edge_world.PORTS_PER_BLOCK,
            id="routers in the test's process",
        ),
        pytest.param(
            "cicadaledge.loadtool._ports",
            "cicadaledge.loadtool._ports.free_ports(50)",
            _ports.PORTS_PER_BLOCK,
            id="launched deployments",
        ),
    ],
)
def test_processes_that_run_tests_at_the_same_time_use_disjoint_ports(
    module, expression, block_ports
):
    program = f"import {module}, sys; print(*{expression}, flush=True); sys.stdin.read()"
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
    blocks = [{int(port) // block_ports for port in ports} for ports in taken]
    assert blocks[0].isdisjoint(blocks[1])

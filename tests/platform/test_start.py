"""Tests of the program that the platform starts."""

import signal
import subprocess
import sys
import time
from pathlib import Path

PROGRAM = Path(__file__).resolve().parents[2] / "deploy" / "router.py"


def ignores(process, number):
    """Return whether a process currently ignores a signal."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    (mask,) = (line.split()[1] for line in status.splitlines() if line.startswith("SigIgn"))
    return bool(int(mask, 16) >> (number - 1) & 1)


def test_a_reload_signal_during_startup_does_not_end_the_process():
    process = subprocess.Popen(
        [sys.executable, str(PROGRAM)],
        env={"CICADALEDGE_NODE_FILE": "/nowhere"},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        until_s = time.monotonic() + 10.0
        while not ignores(process, signal.SIGHUP):
            assert process.poll() is None
            assert time.monotonic() < until_s
            time.sleep(0.001)
        process.send_signal(signal.SIGHUP)
        assert process.wait(20.0) == 1  # the settings file does not exist
    finally:
        process.kill()

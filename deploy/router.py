"""Starts one router on the platform's machines, from a checkout."""

import signal
import sys
from pathlib import Path

# Until the event loop takes the signal: its default ends a process that is still importing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cicadaledge.platform import main  # noqa: E402

main()

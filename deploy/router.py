"""Starts a router on a machine of the platform, from a source checkout."""

import signal
import sys
from pathlib import Path

# Until the event loop handles SIGHUP, its default action would end the process during imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cicadaledge.platform import main  # noqa: E402

main()

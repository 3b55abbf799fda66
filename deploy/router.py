"""Starts one router on the platform's machines, from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cicadaledge.platform import main  # noqa: E402

main()

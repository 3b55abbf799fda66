"""Makes the test deployment of the edge router importable."""

import os
import sys
from pathlib import Path

_EDGE = str(Path(__file__).parent.parent / "edge")
sys.path.insert(0, _EDGE)
# Router processes started by the tests import it, too.
os.environ["PYTHONPATH"] = os.pathsep.join(
    path for path in (_EDGE, os.environ.get("PYTHONPATH")) if path
)

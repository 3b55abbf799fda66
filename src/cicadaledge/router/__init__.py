"""The router daemon."""

from cicadaledge.logs import PartLog, start_logs
from cicadaledge.router._daemon import Router, run_router

__all__ = ["PartLog", "Router", "run_router", "start_logs"]

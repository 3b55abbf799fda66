"""Structured logs: JSON lines by eliot."""

from cicadaledge.logs._part_log import PartLog, start_logs
from cicadaledge.logs._writer import LineWriter

__all__ = ["LineWriter", "PartLog", "start_logs"]

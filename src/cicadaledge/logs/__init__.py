"""Structured logs as JSON lines, written with eliot, and their analysis."""

from cicadaledge.logs._evenness import UnevenSpan, uneven_spans
from cicadaledge.logs._explain import LogLine, lines_of_request
from cicadaledge.logs._part_log import PartLog, start_logs
from cicadaledge.logs._writer import LineWriter

__all__ = [
    "LineWriter",
    "LogLine",
    "PartLog",
    "UnevenSpan",
    "lines_of_request",
    "start_logs",
    "uneven_spans",
]

"""Client of an append-only log, as the own interface uses it."""

from cicadaledge.log._log import HttpLogClient, LogClient, LogPage

__all__ = ["HttpLogClient", "LogClient", "LogPage"]

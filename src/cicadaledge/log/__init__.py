"""Client of the append-only log that the software's own HTTP interface uses."""

from cicadaledge.log._log import HttpLogClient, LogClient, LogPage

__all__ = ["HttpLogClient", "LogClient", "LogPage"]

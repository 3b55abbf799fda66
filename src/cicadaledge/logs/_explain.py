"""Collects the log lines of one request from the saved logs of several processes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import field, frozen

_ENVELOPE = frozenset({"timestamp", "task_uuid", "task_level", "message_type", "level", "message"})


@frozen
class LogLine:
    """One line about a request.

    Args:
        at_s: Wall-clock time of the process that wrote the line.
        source: Text before the JSON, as log collectors insert it.
        message: Prefix and sentence of the line.
        fields: All other fields but the request id.
    """

    at_s: float
    source: str
    message: str
    fields: dict[str, Any] = field(factory=dict)

    def text(self, since_s: float) -> str:
        """Format the line for reading, with the time since *since_s*."""
        formatted = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at_s - since_s:9.3f} s  {self.source:24} {self.message} {formatted}".rstrip()


def lines_of_request(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines about a request, in order of time.

    Lines that are not JSON are skipped, as other programs may write to the same collectors.
    """
    return sorted(_parse(request_id, lines), key=lambda line: line.at_s)


def _parse(request_id: str, lines: Iterable[str]) -> Iterator[LogLine]:
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        is_listed = request_id in record.get("request_ids", ())
        if record.get("request_id") != request_id and not is_listed:
            continue
        fields = {
            name: value
            for name, value in record.items()
            if name not in _ENVELOPE and name not in ("request_id", "request_ids")
        }
        source = line[:start].strip()
        yield LogLine(float(record.get("timestamp", 0)), source, str(record.get("message")), fields)

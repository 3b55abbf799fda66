"""Finds the life of one request in the saved logs of several processes."""

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
        at_s: Wall time of the process that wrote it.
        source: What stood before the JSON, as collectors of logs put it there.
        fields: What the line tells beside its sentence.
    """

    at_s: float
    source: str
    message: str
    fields: dict[str, Any] = field(factory=dict)

    def text(self, since_s: float) -> str:
        """Return the line for people, with the time since the first one."""
        told = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at_s - since_s:9.3f} s  {self.source:24} {self.message} {told}".rstrip()


def lines_of_request(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that name a request, in order of time.

    Lines that are no JSON are passed over: other programs write to the same collectors.
    """
    return sorted(_parse(request_id, lines), key=lambda line: line.at_s)


def _parse(request_id: str, lines: Iterable[str]) -> Iterator[LogLine]:
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            plain = json.loads(line[start:])
        except ValueError:
            continue
        is_one_of = request_id in plain.get("request_ids", ())
        if plain.get("request_id") != request_id and not is_one_of:
            continue
        told = {
            name: value
            for name, value in plain.items()
            if name not in _ENVELOPE and name not in ("request_id", "request_ids")
        }
        source = line[:start].strip()
        yield LogLine(float(plain.get("timestamp", 0)), source, str(plain.get("message")), told)

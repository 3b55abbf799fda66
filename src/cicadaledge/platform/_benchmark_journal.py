"""Reads the journal of benchmark runs, a folder with one JSON file for each run."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cicadaledge.loadtool import DayResult
from cicadaledge.logs import PartLog

_COMMIT_DIGITS = 7
_log = PartLog("journal")


def read_journal(folder: Path) -> Iterator[DayResult]:
    """Yield the days of all entries, oldest entry first; log and skip unreadable entries."""
    for path in sorted(folder.glob("*.json")):
        try:
            yield from _days_of(json.loads(path.read_text()))
        except (ValueError, KeyError, TypeError) as error:
            _log.warning(
                "Journal entry is malformed; skipping the rest of it.",
                file=path.name,
                error=repr(error),
            )


def _days_of(entry: dict[str, Any]) -> Iterator[DayResult]:
    commit = entry["head"][:_COMMIT_DIGITS] + ("+" if entry["dirty"] else "")
    at = entry["at"][0] if isinstance(entry["at"], list) else entry["at"]
    options = ["no processor time"] if "--no-cpu" in entry["argv"] else []
    for day in entry.get("days") or []:
        if day.get("G") is None:
            continue
        is_small = "--small" in entry["argv"] or bool(day.get("small_twin"))
        names = [entry["site"], *(["small"] if is_small else []), *options]
        violations = tuple(day.get("rules") or ()) + (
            (str(day["fault"]),) if day.get("fault") else ()
        )
        yield DayResult(", ".join(names), day["name"], commit, at, day["G"], violations)

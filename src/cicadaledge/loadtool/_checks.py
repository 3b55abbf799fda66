"""Checks the fleet's guarantees against the records of stand-ins and callers."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from cicadaledge.loadtool._traffic import RequestRecord


def broken_guarantees(
    records: list[RequestRecord], journals: dict[str, Any], cut_by_shutdown: int = 0
) -> list[str]:
    """Return one line for each violation of a guarantee.

    Args:
        journals: What each stand-in recorded, by server name.
        cut_by_shutdown: Requests that routers reported as cut by their graceful shutdown.
    """
    broken = []
    broken += _overloads(journals)
    broken += _duplicate_runs(journals)
    broken += _wrongly_not_run(records, journals)
    broken += _wrong_answers(records)
    broken += _poison_crashes(journals)
    if cut_by_shutdown:
        broken.append(f"shutdown: {cut_by_shutdown} requests were cut")
    return broken


def _overloads(journals: dict[str, Any]) -> list[str]:
    return [
        f"cold start: {name} was given more than it bears {journal['violations']} times"
        for name, journal in journals.items()
        if journal.get("violations")
    ]


def _duplicate_runs(journals: dict[str, Any]) -> list[str]:
    keys = Counter(
        (run["account"], run["key"])
        for journal in journals.values()
        for run in journal["runs"]
        if run.get("key")
    )
    return [
        f"at most once: key {key} of {account} ran {count} times"
        for (account, key), count in keys.items()
        if count > 1
    ]


def _wrongly_not_run(records: list[RequestRecord], journals: dict[str, Any]) -> list[str]:
    ran = {
        run["request_id"].partition(".")[0]
        for journal in journals.values()
        for run in journal["runs"]
    }
    return [
        f"not run: {request_id} was refused with {code} as not run but ran"
        for record in records
        for code, run_state, request_id in record.refusals
        if run_state == "not_run" and request_id in ran
    ]


def _wrong_answers(records: list[RequestRecord]) -> list[str]:
    broken = [
        f"whole answer: {record.account} got another answer to {record.prompt!r}"
        for record in records
        if record.answered and not record.equal
    ]
    bookings: dict[str, str] = {}
    for record in records:
        if record.kind == "model" or not record.answered:
            continue
        booking = json.loads(record.answer)["booking"]
        if bookings.setdefault(booking, record.key) != record.key:
            broken.append(f"whole answer: booking {booking} was given to two requests")
    return broken


def _poison_crashes(journals: dict[str, Any]) -> list[str]:
    deaths: Counter[str] = Counter()
    for journal in journals.values():
        digests = {run["request_id"]: run["digest"] for run in journal["runs"] if "digest" in run}
        for death in journal.get("deaths", []):
            if death["reason"].startswith("crash by "):
                deaths[digests[death["reason"].removeprefix("crash by ")]] += 1
    return [
        f"poison: request {digest[:12]} took {count} servers down"
        for digest, count in deaths.items()
        if count > 2
    ]

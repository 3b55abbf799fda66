"""Computes the measures of an experiment from the records of stand-ins and callers."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import combinations
from typing import Any

import numpy as np
from attrs import define, field
from hdrh.histogram import HdrHistogram

from cicadaledge.loadtool._traffic import RequestRecord

_SAMPLE_INTERVAL_MS = 50
_MAX_VALUE_US = 600_000_000
_SIGNIFICANT_DIGITS = 3


@define
class RunView:
    """One run on a backend server, as the stand-in recorded it."""

    account: str
    server: str
    started_ms: int
    ended_ms: int
    tokens: int


@define
class Window:
    """Wall-clock interval of an experiment that is measured."""

    start_ms: int
    end_ms: int

    def sample_times(self) -> np.ndarray[Any, np.dtype[np.float64]]:
        """Return the sample times."""
        return np.arange(self.start_ms, self.end_ms, _SAMPLE_INTERVAL_MS, dtype=float)


@define
class AccountMeasure:
    """Service that one client account received."""

    requests: int = 0
    unanswered: int = 0
    tokens: float = 0.0
    share_due: float = 0.0
    share_got: float = 0.0
    first_token_ms: dict[str, float] = field(factory=dict)
    token_gap_ms: dict[str, float] = field(factory=dict)


def model_runs(journals: dict[str, Any], end_ms: int) -> list[RunView]:
    """Return the model runs in the stand-ins' records; a run without an end ends at `end_ms`."""
    return [
        RunView(run["account"], name, run["started_ms"], run["ended_ms"] or end_ms, run["tokens"])
        for name, journal in journals.items()
        for run in journal["runs"]
        if "tokens" in run
    ]


def tokens_over_time(runs: Iterable[RunView], account: str, window: Window) -> Any:
    """Return the tokens that an account received up to each sample time.

    Tokens are spread evenly over the duration of a run.
    """
    sample_times = window.sample_times()
    total = np.zeros_like(sample_times)
    for run in runs:
        if run.account != account:
            continue
        length = max(1, run.ended_ms - run.started_ms)
        before = np.clip((window.start_ms - run.started_ms) / length, 0, 1)
        total += (np.clip((sample_times - run.started_ms) / length, 0, 1) - before) * run.tokens
    return total


def fairness_gap(
    runs: list[RunView], shares: dict[str, float], backlogged: list[str], window: Window
) -> tuple[float, Any]:
    """Return the largest service gap between two backlogged accounts, and its time series.

    The gap of a pair is the largest change, over any part of the window, of the
    difference of their tokens over share.

    Returns:
        The gap in tokens over share, and the largest difference at each sample time.
    """
    scaled = {name: tokens_over_time(runs, name, window) / shares[name] for name in backlogged}
    worst = 0.0
    course = np.zeros_like(window.sample_times())
    for left, right in combinations(backlogged, 2):
        difference = scaled[left] - scaled[right]
        worst = max(worst, float(difference.max() - difference.min()))
        course = np.maximum(course, np.abs(difference))
    return worst, course


def utilisation(runs: list[RunView], slots: int, window: Window) -> tuple[float, Any]:
    """Return the mean fraction of busy slots, and its time series."""
    sample_times = window.sample_times()
    busy = np.zeros_like(sample_times)
    for run in runs:
        busy += (sample_times >= run.started_ms) & (sample_times < run.ended_ms)
    course = busy / max(1, slots)
    return float(course.mean()) if len(course) else 0.0, course


def percentiles(values_s: Iterable[float]) -> dict[str, float]:
    """Return p50, p95 and p99 in milliseconds."""
    histogram = HdrHistogram(1, _MAX_VALUE_US, _SIGNIFICANT_DIGITS)
    for value in values_s:
        histogram.record_value(max(1, int(value * 1_000_000)))
    if histogram.get_total_count() == 0:
        return {}
    return {
        f"p{percent}": round(histogram.get_value_at_percentile(percent) / 1000, 2)
        for percent in (50, 95, 99)
    }


def measure_accounts(
    records: list[RequestRecord],
    runs: list[RunView],
    shares: dict[str, float],
    backlogged: list[str],
    window: Window,
) -> dict[str, AccountMeasure]:
    """Return the service that each client account received within the window.

    Shares are compared among the backlogged accounts only.
    """
    measures: dict[str, AccountMeasure] = {}
    by_account: dict[str, list[RequestRecord]] = defaultdict(list)
    for record in records:
        if window.start_ms <= record.started_ms < window.end_ms:
            by_account[record.account].append(record)
    tokens = {name: _last_or_zero(tokens_over_time(runs, name, window)) for name in by_account}
    contested = sum(tokens.get(name, 0.0) for name in backlogged)
    weights = sum(shares[name] for name in backlogged)
    for name, own in sorted(by_account.items()):
        measure = AccountMeasure(
            requests=len(own),
            unanswered=sum(1 for record in own if not record.answered),
            tokens=tokens[name],
            first_token_ms=percentiles(r.first_token_s for r in own if r.first_token_s >= 0),
            token_gap_ms=percentiles(gap for record in own for gap in record.gaps_s),
        )
        if name in backlogged and contested:
            measure.share_due = shares[name] / weights
            measure.share_got = tokens[name] / contested
        measures[name] = measure
    return measures


def refusal_counts(records: list[RequestRecord]) -> dict[str, int]:
    """Return the number of refusals by error code."""
    counts = Counter(str(code) for record in records for code, _, _ in record.refusals)
    return dict(sorted(counts.items()))


def _last_or_zero(values: Any) -> float:
    return float(values[-1]) if len(values) else 0.0

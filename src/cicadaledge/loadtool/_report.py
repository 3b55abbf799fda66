"""Tables and plots of experiment results."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from cicadaledge.loadtool._run import ExperimentResult

_SAMPLE_INTERVAL_S = 0.05


def table(result: ExperimentResult) -> str:
    """Format an experiment result as text tables."""
    lines = [
        f"{'account':22} {'requests':>8} {'none':>5} {'tokens':>8} {'due':>6} {'got':>6} "
        f"{'p50 ms':>8} {'p95 ms':>8}"
    ]
    for name, account in result.accounts.items():
        due = f"{account.share_due:.3f}" if account.share_due else "-"
        got = f"{account.share_got:.3f}" if account.share_due else "-"
        first = account.first_token_ms
        lines.append(
            f"{name:22} {account.requests:8d} {account.unanswered:5d} {account.tokens:8.0f} "
            f"{due:>6} {got:>6} {first.get('p50', 0):8.1f} {first.get('p95', 0):8.1f}"
        )
    lines += ["", f"{'router':22} {'cpu %':>8} {'MB':>8} {'control B/s':>12}"]
    for name, cost in sorted(result.routers.items()):
        lines.append(
            f"{name:22} {cost.cpu_percent:8.2f} {cost.resident_mb:8.1f} "
            f"{cost.control_bytes_per_s:12.0f}"
        )
    lines += [
        "",
        f"capacity mode          {result.capacity}",
        f"fairness gap           {result.fairness_gap_tokens} tokens over share; exact scheduler "
        f"{result.ideal_gap_tokens}",
        f"utilisation            {result.utilisation:.1%} of warm slots",
        f"first token ms         {_format_values(result.first_token_ms)}",
        f"between tokens ms      {_format_values(result.token_gap_ms)}",
        f"refusals by code       {_format_values(result.refusals)}",
        f"unanswered, cut        {result.unanswered}, {result.cuts}",
        f"control bytes by kind  {_format_values(result.control_bytes)}",
        f"log appends            {_format_values(result.appends)}",
        f"broken promises        {len(result.broken)}",
        *(f"  {line}" for line in result.broken),
    ]
    return "\n".join(lines)


def mode_table(results: list[ExperimentResult]) -> str:
    """Format the results of one experiment in several capacity modes as a Markdown table."""
    lines = [
        "| mode | gap | exact | utilisation | first token p50 / p95 ms | unanswered | "
        "refusals | overloads | broken promises | control B/s | CPU % |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for result in results:
        first = result.first_token_ms
        costs = result.routers.values()
        control = max((cost.control_bytes_per_s for cost in costs), default=0)
        cpu = max((cost.cpu_percent for cost in costs), default=0)
        lines.append(
            f"| {result.capacity} | {result.fairness_gap_tokens} | {result.ideal_gap_tokens} "
            f"| {result.utilisation:.1%} | {first.get('p50', 0)} / {first.get('p95', 0)} "
            f"| {result.unanswered} | {_format_values(result.refusals)} | {result.overloads} "
            f"| {len(result.broken)} | {control:.0f} | {cpu:.1f} |"
        )
    return "\n".join(lines)


def compare(left: Any, right: Any) -> str:
    """Format a comparison of two summaries, with ratios."""
    rows = [
        ("fairness gap", left["fairness_gap_tokens"], right["fairness_gap_tokens"]),
        ("utilisation", left["utilisation"], right["utilisation"]),
        ("unanswered", left["unanswered"], right["unanswered"]),
    ]
    for percent in ("p50", "p95", "p99"):
        rows.append(
            (
                f"first token {percent} ms",
                left["first_token_ms"].get(percent, 0),
                right["first_token_ms"].get(percent, 0),
            )
        )
    lines = [f"{'measure':24} {left['name'][:16]:>16} {right['name'][:16]:>16} {'ratio':>8}"]
    for name, one, other in rows:
        ratio = f"{one / other:.3f}" if other else "-"
        lines.append(f"{name:24} {one:16.3f} {other:16.3f} {ratio:>8}")
    return "\n".join(lines)


def load_summary(directory: Path) -> Any:
    """Read the summary from an experiment's results directory."""
    return json.loads((directory / "summary.json").read_text())


def plot(summaries: list[Any], path: Path) -> None:
    """Plot fairness gap and utilisation over time; the suffix of the path selects the format."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    for summary in summaries:
        label = f"{summary['name']} ({summary['capacity']})"
        for axes, key in ((upper, "gap_course"), (lower, "utilisation_course")):
            values = summary[key]
            axes.plot(
                [index * _SAMPLE_INTERVAL_S for index in range(len(values))], values, label=label
            )
    upper.set_ylabel("largest gap, tokens over share")
    lower.set_ylabel("share of warm slots busy")
    lower.set_xlabel("seconds")
    upper.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _format_values(values: dict[str, Any]) -> str:
    return ", ".join(f"{key} {value}" for key, value in values.items()) or "none"

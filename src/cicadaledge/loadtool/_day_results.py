"""Table of benchmark results by deployment, commit and day."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen


@frozen
class DayResult:
    """Result of one benchmark day, a simulated load with faults on a deployment.

    Args:
        deployment: Name of the deployment; its reduced variant and runs that do not count CPU
            time have names of their own.
        commit: Short commit id of the code, with a plus sign if there were local changes.
        at: Start time of the run.
        worth: Value of the answers over the value due to callers, less penalties.
        violations: Violated guarantees and faults of the software.
    """

    deployment: str
    day: str
    commit: str
    at: str
    worth: float
    violations: tuple[str, ...]


def journal_table(days: Iterable[DayResult], deployment: str = "") -> str:
    """Return a table of worth by commit and standard day for each deployment.

    An exclamation mark follows results of days with violated guarantees.

    Args:
        deployment: Prefix of the names of deployments to include.
    """
    rows: dict[str, dict[tuple[str, str], dict[str, DayResult]]] = {}
    for one in days:
        if one.deployment.startswith(deployment) and _is_standard(one.day):
            row = rows.setdefault(one.deployment, {}).setdefault((one.at, one.commit), {})
            row[one.day] = one
    return "\n\n".join(_deployment_section(name, rows[name]) for name in sorted(rows))


def _is_standard(day: str) -> bool:
    kind, _, number = day.partition("-")
    return kind in ("quiet", "trouble", "scale") and number.isdigit()


def _deployment_section(name: str, rows: dict[tuple[str, str], dict[str, DayResult]]) -> str:
    days = sorted({day for row in rows.values() for day in row})
    lines = [name, f"{'begun':20} {'commit':8} " + " ".join(f"{day:>10}" for day in days)]
    for (at, commit), row in rows.items():
        cells = [_format_cell(row.get(day)) for day in days]
        lines.append(f"{at:20} {commit:8} " + " ".join(f"{cell:>10}" for cell in cells))
    return "\n".join(lines)


def _format_cell(one: DayResult | None) -> str:
    if one is None:
        return "-"
    return f"{one.worth:.3f}{'!' if one.violations else ''}"

"""The `cicadaledge config` commands."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer
from attrs import frozen

from cicadaledge.cli._exit import EXIT_OK, EXIT_RECORD_ERRORS, EXIT_RECORD_WARNINGS, EXIT_USAGE
from cicadaledge.cli._operator import JsonOption
from cicadaledge.errors import SettingsError

if TYPE_CHECKING:
    from cicadaledge.platform import Location, RecordError, RecordReading
    from cicadaledge.review import Change, Deployment, Finding
    from cicadaledge.routing import RoutingTable

config_app = typer.Typer(
    no_args_is_help=True, help="Check configurations before they are sent to the platform's store."
)


@config_app.callback()
def config() -> None:
    """Check configurations before they are sent to the platform's store."""


@config_app.command("check")
def check(
    file: Annotated[Path, typer.Argument(help="Record of a configuration, JSON.")],
    in_force: Annotated[
        Path | None, typer.Option("--in-force", help="Record that is in force, to compare with.")
    ] = None,
    settings: Annotated[
        Path | None, typer.Option("--settings", help="Settings file of a router, TOML.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """List errors, doubtful entries and changes of a configuration.

    Exit codes: 0 if there are no errors and no warnings, 2 if a file cannot be read, 5 if there are
    only warnings, 6 if there are errors.
    """
    reading = _read(file)
    before = _read_in_force(in_force) if in_force else None
    report = _report(reading, before, _load_deployment(settings))
    if as_json:
        typer.echo(json.dumps({"file": str(file), **report.as_dict()}))
    else:
        typer.echo("\n".join(report.lines(file)))
    raise typer.Exit(report.exit_code())


@frozen
class _Report:
    """Result of a check.

    Args:
        changes: None if there was nothing to compare with, or the record has errors.
    """

    errors: tuple[RecordError, ...]
    warnings: list[Finding]
    changes: list[Change] | None
    version: int | None
    in_force_version: int | None

    def exit_code(self) -> int:
        if self.errors:
            return EXIT_RECORD_ERRORS
        return EXIT_RECORD_WARNINGS if self.warnings else EXIT_OK

    def as_dict(self) -> dict[str, Any]:
        from cicadaledge.platform import locate

        changes = self.changes
        return {
            "version": self.version,
            "in_force_version": self.in_force_version,
            "errors": [{**_place(one.location), "text": one.text} for one in self.errors],
            "warnings": [
                {"kind": str(one.kind), **_place(locate(one.place)), "text": one.text}
                for one in self.warnings
            ],
            "changes": None if changes is None else [_change(one) for one in changes],
        }

    def lines(self, file: Path) -> Iterator[str]:
        from cicadaledge.platform import locate

        for error in self.errors:
            yield f"error    {_place_text(error.location)}: {error.text}"
        for warning in self.warnings:
            yield f"warning  {_place_text(locate(warning.place))}: {warning.text}"
        for change in self.changes or ():
            entry = f"{change.section} {change.name!r}" if change.name else str(change.section)
            details = f": {'; '.join(change.details)}" if change.details else ""
            yield f"{change.action:8} {entry}{details}"
        yield f"{file}: {', '.join(self._totals())}"

    def _totals(self) -> Iterator[str]:
        yield f"{len(self.errors)} errors"
        if self.errors:
            yield "warnings and changes are listed once there are none"
            return
        yield f"{len(self.warnings)} warnings"
        if self.changes is not None:
            yield f"{len(self.changes)} changes"
            yield f"version {self.in_force_version} -> {self.version}"


def _report(reading: RecordReading, before: RoutingTable | None, deployment: Deployment) -> _Report:
    from cicadaledge.review import find_changes, review_table, review_update

    table = reading.table
    former = before.version if before else None
    if table is None:
        return _Report(reading.errors, [], None, None, former)
    warnings = review_table(table, deployment, reading.service_names)
    if before is None:
        return _Report((), warnings, None, table.version, None)
    warnings = review_update(table, before) + warnings
    return _Report((), warnings, find_changes(before, table), table.version, former)


def _place(location: Location) -> dict[str, str]:
    return {"location": location.path, "entry": location.entry}


def _place_text(location: Location) -> str:
    path = location.path or "the record"
    return f"{path} ({location.entry!r})" if location.entry else path


def _change(change: Change) -> dict[str, Any]:
    return {
        "action": str(change.action),
        "section": str(change.section),
        "entry": change.name,
        "details": list(change.details),
    }


def _read(file: Path) -> RecordReading:
    """Read a record; exit if the file cannot be read."""
    from cicadaledge.platform import read_record

    try:
        return read_record(file.read_bytes())
    except OSError as error:
        typer.echo(f"{file}: {error.strerror}", err=True)
        raise typer.Exit(EXIT_USAGE) from error


def _read_in_force(file: Path) -> RoutingTable:
    """Read the record in force; exit if it cannot be in force, as routers reject it."""
    reading = _read(file)
    if reading.table is None:
        for error in reading.errors:
            typer.echo(f"{file}: {_place_text(error.location)}: {error.text}", err=True)
        typer.echo(f"{file}: routers reject this record, so it is not in force", err=True)
        raise typer.Exit(EXIT_USAGE)
    return reading.table


def _load_deployment(file: Path | None) -> Deployment:
    """Return what is known of the deployment; exit if its settings file cannot be read."""
    from cicadaledge.platform import load_deployment
    from cicadaledge.review import Deployment

    try:
        return load_deployment(file) if file else Deployment()
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_USAGE) from error

"""The `cicadaledge logs` commands."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from cicadaledge.cli._exit import EXIT_OK, EXIT_USAGE
from cicadaledge.logs import lines_of_request, uneven_spans

logs_app = typer.Typer(no_args_is_help=True, help="Read saved logs.")


@logs_app.callback()
def logs() -> None:
    """Read saved logs."""


@logs_app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id that the caller quotes.")],
    files: Annotated[list[Path], typer.Argument(help="Saved logs of one or more routers.")],
) -> None:
    """Print the log lines of one request from all processes, in order of time."""
    found = lines_of_request(request_id, _read(files))
    if not found:
        typer.echo(f"no line names request {request_id!r}", err=True)
        raise typer.Exit(EXIT_USAGE)
    for line in found:
        typer.echo(line.text(found[0].at_s))
    raise typer.Exit(EXIT_OK)


@logs_app.command()
def evenness(
    files: Annotated[list[Path], typer.Argument(help="Saved logs of all routers.")],
    most: Annotated[int, typer.Option(help="Accounts to print.")] = 10,
) -> None:
    """Print the accounts by margin; one with a margin below 1 got less than half of its due."""
    for span in uneven_spans(_read(files))[:most]:
        typer.echo(span.text())
    raise typer.Exit(EXIT_OK)


def _read(files: list[Path]) -> Iterator[str]:
    """Yield the lines of all files; exit if a file cannot be read."""
    for file in files:
        try:
            with file.open(errors="replace") as lines:
                yield from lines
        except OSError as error:
            typer.echo(f"{file}: {error.strerror}", err=True)
            raise typer.Exit(EXIT_USAGE) from error

"""The `cicadaledge logs` commands."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cicadaledge.cli._exit import EXIT_OK, EXIT_USAGE
from cicadaledge.logs import lines_of_request

logs_app = typer.Typer(no_args_is_help=True, help="Read saved logs.")


@logs_app.callback()
def logs() -> None:
    """Read saved logs."""


@logs_app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id that the caller quotes.")],
    files: Annotated[list[Path], typer.Argument(help="Saved logs of one or more routers.")],
) -> None:
    """Print the life of one request, in order, across processes."""
    text: list[str] = []
    for file in files:
        try:
            text += file.read_text(errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{file}: {error.strerror}", err=True)
            raise typer.Exit(EXIT_USAGE) from error
    found = lines_of_request(request_id, text)
    if not found:
        typer.echo(f"no line names request {request_id!r}", err=True)
        raise typer.Exit(EXIT_USAGE)
    for line in found:
        typer.echo(line.text(found[0].at_s))
    raise typer.Exit(EXIT_OK)

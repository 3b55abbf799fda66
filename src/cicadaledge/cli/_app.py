"""The `cicadaledge` command."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from cicadaledge.cli._config import config_app
from cicadaledge.cli._exit import EXIT_CUT_REQUESTS, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE
from cicadaledge.cli._load import load_app
from cicadaledge.cli._logs import logs_app
from cicadaledge.cli._operator import JsonOption, audit, confirm, plan_app, status
from cicadaledge.errors import ConfigurationError, LogError, SettingsError
from cicadaledge.settings import load_router_settings, load_yaml, structure_settings

app = typer.Typer(no_args_is_help=True, add_completion=False, help="cicadaledge router fleet.")
standin_app = typer.Typer(no_args_is_help=True, help="Stand-ins for development.")
app.add_typer(standin_app, name="standin")
settings_app = typer.Typer(no_args_is_help=True, help="Check files before they are used.")
app.add_typer(config_app, name="config")
app.add_typer(load_app, name="load")
app.add_typer(logs_app, name="logs")
app.add_typer(plan_app, name="plan")
app.add_typer(settings_app, name="settings")
app.command()(confirm)
app.command()(status)
app.command()(audit)

_PUBLISH_TIMEOUT_MS = 10_000

SettingsOption = Annotated[Path, typer.Option("--settings", help="YAML settings file.")]


@app.command()
def router(settings: SettingsOption) -> None:
    """Run one router until SIGTERM."""
    from cicadaledge.router import run_router, start_logs

    checked = _load_or_exit(lambda: load_router_settings(settings))
    start_logs()
    cut = run_router(checked)
    raise typer.Exit(EXIT_CUT_REQUESTS if cut else EXIT_OK)


@settings_app.command("check")
def check(
    file: Annotated[Path, typer.Argument(help="Router settings or configuration, YAML.")],
    as_json: JsonOption = False,
) -> None:
    """Validate router settings or a configuration and list every mistake."""
    mistakes = _mistakes_in(file)
    if as_json:
        typer.echo(json.dumps({"file": str(file), "mistakes": mistakes}))
    else:
        typer.echo("\n".join(mistakes) or f"{file}: no mistakes")
    raise typer.Exit(EXIT_USAGE if mistakes else EXIT_OK)


@app.command()
def publish(
    file: Annotated[Path, typer.Argument(help="Configuration, YAML.")],
    operator: Annotated[str, typer.Option(help="Name for the audit trail.")],
    host: Annotated[str, typer.Option(help="Host of the platform's log.")],
    port: Annotated[int, typer.Option(help="Port of the platform's log.")],
    as_json: JsonOption = False,
) -> None:
    """Append the initial configuration to the log; change it later through plans."""
    from cicadaledge.config import CONTROL_STREAM, Publish, encode_record
    from cicadaledge.log import HttpLogClient
    from cicadaledge.settings import Address
    from cicadaledge.world import configuration_from_dict

    mistakes = _mistakes_in(file)
    if mistakes:
        typer.echo("\n".join(mistakes), err=True)
        raise typer.Exit(EXIT_USAGE)
    record = Publish(
        configuration_from_dict(load_yaml(file)), operator, time.time_ns() // 1_000_000
    )
    try:
        log = HttpLogClient(Address(host, port), _PUBLISH_TIMEOUT_MS)
        offset = log.append(CONTROL_STREAM, encode_record(record))
    except LogError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    typer.echo(json.dumps({"offset": offset}) if as_json else f"Published at offset {offset}.")


def _mistakes_in(file: Path) -> list[str]:
    from cicadaledge.world import configuration_from_dict

    try:
        plain = load_yaml(file)
        if isinstance(plain, dict) and "servers" in plain:
            configuration_from_dict(plain)
        else:
            load_router_settings(file)
    except SettingsError as error:
        return error.mistakes
    except ConfigurationError as error:
        return [f"{file}: {line}" for line in str(error).splitlines()]
    return []


@standin_app.command()
def engine(settings: SettingsOption) -> None:
    """Run a stand-in for a model engine."""
    from cicadaledge.standins import EngineSettings, EngineStandIn

    EngineStandIn(_standin_settings(settings, EngineSettings)).run()


@standin_app.command()
def service(settings: SettingsOption) -> None:
    """Run a stand-in for a service backend."""
    from cicadaledge.standins import ServiceSettings, ServiceStandIn

    ServiceStandIn(_standin_settings(settings, ServiceSettings)).run()


@standin_app.command()
def platform(settings: SettingsOption) -> None:
    """Run a stand-in for the platform, with its log."""
    from cicadaledge.standins import PlatformSettings, PlatformStandIn

    PlatformStandIn(_standin_settings(settings, PlatformSettings)).run()


@standin_app.command("old-system")
def old_system(settings: SettingsOption) -> None:
    """Run a stand-in for the old routing system."""
    from cicadaledge.standins import OldSystemSettings, OldSystemStandIn

    OldSystemStandIn(_standin_settings(settings, OldSystemSettings)).run()


def _standin_settings(path: Path, kind: Any) -> Any:
    return _load_or_exit(lambda: structure_settings(load_yaml(path), kind, str(path)))


def _load_or_exit(load: Any) -> Any:
    try:
        return load()
    except SettingsError as error:
        for mistake in error.mistakes:
            typer.echo(mistake, err=True)
        raise typer.Exit(EXIT_USAGE) from error


def main() -> None:
    """Run the command line."""
    app()

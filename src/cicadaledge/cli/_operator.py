"""Commands for operators: plans, confirmation, status and audit trail."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer
import urllib3

from cicadaledge.cli._exit import EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE
from cicadaledge.errors import SettingsError
from cicadaledge.settings import load_yaml

plan_app = typer.Typer(
    no_args_is_help=True, help="Ask for a plan. Nothing takes effect until it is confirmed."
)

_TIMEOUT_S = 20.0

UrlOption = Annotated[
    str, typer.Option("--url", envvar="CICADALEDGE_URL", help="Address of any router.")
]
KeyOption = Annotated[
    str, typer.Option("--key", envvar="CICADALEDGE_OPERATOR_KEY", help="Operator's key.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def call_operator_api(url: str, key: str, method: str, path: str, body: Any = None) -> Any:
    """Call the operator API of a router; print the error and exit if the call fails."""
    data = json.dumps(body).encode() if body is not None else None
    headers = {"Authorization": f"Bearer {key}"}
    try:
        answer = urllib3.request(
            method,
            f"{url.rstrip('/')}/operator/v1/{path}",
            body=data,
            headers=headers,
            timeout=_TIMEOUT_S,
            retries=False,
        )
        value = answer.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        typer.echo(f"{url} did not answer: {error}", err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    if answer.status >= 300:
        refusal = value["error"]
        typer.echo(f"{refusal['code']} {refusal['name']}: {refusal['message']}", err=True)
        typer.echo(f"run state: {refusal['run_state']}", err=True)
        raise typer.Exit(EXIT_REFUSED)
    return value


def print_plan(plan: Any, as_json: bool) -> None:
    """Print a plan as JSON or as text."""
    if as_json:
        typer.echo(json.dumps(plan))
        return
    intent = plan["intent"]
    typer.echo(f"plan      {plan['plan_id']}")
    typer.echo(f"intent    {intent['kind']} {intent['target']}")
    typer.echo(f"based on  offset {plan['base_offset']}")
    for change in plan["changes"]:
        typer.echo(f"change    {change['path']}: {change['before']} -> {change['after']}")
    for pool, slots in plan["slots_after"].items():
        typer.echo(f"capacity  {pool}: {plan['slots_before'].get(pool, 0)} -> {slots} warm slots")
    for warning in plan["warnings"]:
        typer.echo(f"warning   {warning}")
    typer.echo(f"Nothing has changed yet. Run: cicadaledge confirm {plan['plan_id']}")


def _request_plan(url: str, key: str, as_json: bool, intent: dict[str, Any]) -> None:
    print_plan(call_operator_api(url, key, "POST", "plans", intent), as_json)


@plan_app.command("drain-zone")
def drain_zone(zone: str, url: UrlOption, key: KeyOption, as_json: JsonOption = False) -> None:
    """Drain an availability zone: its servers get no new requests."""
    _request_plan(url, key, as_json, {"kind": "drain-zone", "target": zone})


@plan_app.command("restore-zone")
def restore_zone(zone: str, url: UrlOption, key: KeyOption, as_json: JsonOption = False) -> None:
    """Put a drained availability zone back into service."""
    _request_plan(url, key, as_json, {"kind": "restore-zone", "target": zone})


@plan_app.command("admit-server")
def admit_server(
    file: Annotated[Path, typer.Argument(help="YAML file that describes the server.")],
    url: UrlOption,
    key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Add a backend server; it starts with its cold slots."""
    try:
        server = load_yaml(file)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_USAGE) from error
    name = server.get("name", "") if isinstance(server, dict) else ""
    _request_plan(url, key, as_json, {"kind": "admit-server", "target": name, "server": server})


@plan_app.command("remove-server")
def remove_server(server: str, url: UrlOption, key: KeyOption, as_json: JsonOption = False) -> None:
    """Remove a backend server: it gets no new requests and completes those that run."""
    _request_plan(url, key, as_json, {"kind": "remove-server", "target": server})


@plan_app.command("bring-over")
def bring_over(account: str, url: UrlOption, key: KeyOption, as_json: JsonOption = False) -> None:
    """Move a client account from the old system to the fleet."""
    _request_plan(url, key, as_json, {"kind": "bring-over", "target": account})


@plan_app.command("send-back")
def send_back(account: str, url: UrlOption, key: KeyOption, as_json: JsonOption = False) -> None:
    """Move a client account back to the old system."""
    _request_plan(url, key, as_json, {"kind": "send-back", "target": account})


@plan_app.command("set-share")
def set_share(
    account: str, share: float, url: UrlOption, key: KeyOption, as_json: JsonOption = False
) -> None:
    """Change a client account's share."""
    _request_plan(url, key, as_json, {"kind": "set-share", "target": account, "value": share})


@plan_app.command("set-old-slots")
def set_old_slots(
    pool: str, slots: int, url: UrlOption, key: KeyOption, as_json: JsonOption = False
) -> None:
    """Change the number of slots of each server of a pool that the old system may use."""
    _request_plan(
        url, key, as_json, {"kind": "set-old-slots", "target": pool, "value": float(slots)}
    )


def confirm(plan_id: str, url: UrlOption, key: KeyOption, as_json: JsonOption = False) -> None:
    """Confirm a plan; it takes effect or is refused with a reason."""
    entry = call_operator_api(url, key, "POST", f"plans/{plan_id}/confirm")
    if as_json:
        typer.echo(json.dumps(entry))
    else:
        typer.echo(f"{entry['action']}: {entry['reason']} since offset {entry['offset']}")


def status(url: UrlOption, key: KeyOption, as_json: JsonOption = False) -> None:
    """Show a router's view of the fleet."""
    value = call_operator_api(url, key, "GET", "status")
    if as_json:
        typer.echo(json.dumps(value))
        return
    typer.echo(f"router {value['router']} in {value['zone']}, ready: {value['ready']}")
    typer.echo(f"control offset {value['control_offset']}, log age {value['log_age_ms']} ms")
    typer.echo(f"home rights: {value['home_rights']}, servers: {value['servers_owned']}")
    slots = f"{value['slots_busy']} of {value['slots_open']}"
    typer.echo(f"slots busy {slots}, waiting {value['requests_waiting']}")
    for name, zone in value["zones"].items():
        typer.echo(f"zone   {name:24} {zone}")
    for name, member in value["members"].items():
        live = "live" if member["live"] else "silent"
        offset = member["control_offset"]
        typer.echo(f"member {name:24} {live:7} applied offset {offset}")


def audit(url: UrlOption, key: KeyOption, as_json: JsonOption = False) -> None:
    """Show the audit trail."""
    entries = call_operator_api(url, key, "GET", "audit")
    if as_json:
        typer.echo(json.dumps(entries))
        return
    for entry in entries:
        result = "accepted" if entry["accepted"] else "refused"
        typer.echo(
            f"{entry['offset']:6} {entry['at_ms']} {entry['operator']:12} {result:8} "
            f"{entry['plan_id']:12} {entry['action']}: {entry['reason']}"
        )

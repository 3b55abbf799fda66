"""Checks the record of a configuration before it is sent, and names its places in the record."""

from __future__ import annotations

from pathlib import Path

import orjson
from attrs import frozen

from cicadaledge.platform._collecting_fields import CollectingFields, Location, RecordError
from cicadaledge.platform._decode import decode_table, table_of
from cicadaledge.platform._fields import Fields
from cicadaledge.platform._settings_file import load_edge_settings
from cicadaledge.review import Deployment, Place, Section
from cicadaledge.routing import RoutingTable

_LISTS = {Section.ROUTE: "routes", Section.SERVICE: "services", Section.ACCOUNT: "tenants"}
_LIMITS = "limits"


@frozen
class RecordReading:
    """A record as routers read it.

    Args:
        table: The configuration; None if routers reject the record.
        errors: Why they reject it; empty if they do not.
        service_names: Names of the services as they stand in the record, which may be repeated.
    """

    table: RoutingTable | None
    errors: tuple[RecordError, ...] = ()
    service_names: tuple[str, ...] = ()


def read_record(data: bytes) -> RecordReading:
    """Read a record; routers accept it if there is a configuration, and reject it otherwise."""
    try:
        table = decode_table(data)
    except ValueError as error:
        return RecordReading(None, _find_errors(data) or (_whole(str(error)),))
    except Exception as error:  # noqa: BLE001 - routers reject such a record too
        return RecordReading(None, (_whole(f"the reader failed: {type(error).__name__}"),))
    services = Fields.parse(data).nested_list("services")
    return RecordReading(table, (), tuple(service.text("name") for service in services))


def load_deployment(path: Path) -> Deployment:
    """Return what a router's settings file says of the deployment.

    Raises:
        SettingsError: The file is missing, unreadable or incomplete.
    """
    settings = load_edge_settings(path)
    regions = frozenset(str(region) for region in settings.regions_by_zone.values())
    return Deployment(regions, settings.ingress, settings.placing.engine)


def locate(place: Place) -> Location:
    """Return where an entry of a configuration stands in its record."""
    if place.section is Section.LIMITS:
        return Location(_LIMITS)
    if place.section is Section.RECORD:
        return Location()
    location = Location(_LISTS[place.section], place.name)
    return location if place.index is None else location.item(place.index)


def _find_errors(data: bytes) -> tuple[RecordError, ...]:
    """Return all errors of a record that routers reject."""
    try:
        decoded = orjson.loads(data)
    except ValueError as error:
        return (_whole(f"not valid JSON: {error}"),)
    errors: list[RecordError] = []
    table_of(CollectingFields(decoded, errors, Location()))
    return tuple(errors)


def _whole(text: str) -> RecordError:
    return RecordError(Location(), text)

"""Reviews a configuration by all checks."""

from __future__ import annotations

from collections.abc import Sequence

from cicadaledge.review._accounts import check_accounts
from cicadaledge.review._finding import Deployment, Finding, FindingKind, Place, Section
from cicadaledge.review._limits import check_limits
from cicadaledge.review._names import check_names
from cicadaledge.review._routes import check_routes
from cicadaledge.routing import RoutingTable


def review_table(
    table: RoutingTable, deployment: Deployment, service_names: Sequence[str] = ()
) -> list[Finding]:
    """Return what a configuration has that can never be used, or that contradicts itself.

    Args:
        service_names: Names of the services as they stand in the record, which may be repeated.
    """
    return [
        *check_names(table, service_names),
        *check_routes(table),
        *check_accounts(table, deployment),
        *check_limits(table, deployment),
    ]


def review_update(table: RoutingTable, in_force: RoutingTable) -> list[Finding]:
    """Return what keeps a configuration from replacing the one in force, or is easily overlooked."""
    place = Place(Section.RECORD)
    findings = []
    if table.version <= in_force.version:
        text = (
            f"version {table.version} is not above version {in_force.version}, which is in force;"
            " routers ignore it"
        )
        findings.append(Finding(FindingKind.OLD_VERSION, place, text))
    if in_force.has_accounts and not table.has_accounts:
        text = "all accounts are removed; routers then require no API key on any route"
        findings.append(Finding(FindingKind.ACCOUNTS_REMOVED, place, text))
    return findings

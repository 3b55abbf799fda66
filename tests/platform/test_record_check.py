"""A record has errors exactly if routers reject it, and each error has its own location."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.platform import decode_table, locate, read_record
from cicadaledge.platform._record_check import _find_errors
from cicadaledge.review import Place, Section
from cicadaledge.standins import platform_account, platform_pool, platform_route

RECORD = {
    "version": 1,
    "routes": [
        platform_route("chat", "pool", "streaming"),
        platform_route("look", "", "safe", trafficSplit=[{"service": "desk", "weight": 1}]),
    ],
    "services": [platform_pool("pool"), {"name": "desk"}],
    "tenants": [platform_account("ash", ["first-key", "second-key"])],
    "limits": {"maxBodyBytes": 1_000},
}
ODD = [None, True, -1, 0.5, 2**60, 1e308, "", "x", "y" * 2_000, [], [1], ["x"], {}, {"name": 1}]


def paths_of(value, path=()):
    """Return the paths of all values in a record."""
    paths = [path] if path else []
    if isinstance(value, dict | list):
        for key, item in value.items() if isinstance(value, dict) else enumerate(value):
            paths += paths_of(item, (*path, key))
    return paths


def with_values(changes):
    """Return the record with other values at some paths; a change within a replaced one is left out."""
    record = json.loads(json.dumps(RECORD))
    for path, value in changes:
        target = record
        try:
            for step in path[:-1]:
                target = target[step]
            target[path[-1]] = json.loads(json.dumps(value))  # changed by later changes
        except (LookupError, TypeError):
            continue
    return json.dumps(record).encode()


@given(st.lists(st.tuples(st.sampled_from(paths_of(RECORD)), st.sampled_from(ODD)), max_size=4))
def test_a_record_has_errors_exactly_if_routers_reject_it(changes):
    """Guards against a check that is stricter or laxer than the routers' reader."""
    data = with_values(changes)
    try:
        table = decode_table(data)
    except ValueError:
        table = None
    errors = _find_errors(data)
    assert bool(errors) == (table is None)
    assert all(error.location.path for error in errors)
    assert (read_record(data).table, read_record(data).errors) == (table, errors)


@pytest.mark.parametrize(
    ("changes", "locations"),
    [
        ([(("routes", 1), 5), (("routes", 0, "host"), 5)], ["routes[0].host", "routes[1]"]),
        ([(("routes",), 5), (("version",), "x")], ["routes", "version"]),
        ([(("routes", 1, "trafficSplit", 0), 5)], ["routes[1].trafficSplit[0]"]),
        ([(("routes", 0, "routeType"), ""), (("limits",), 1)], ["limits", "routes[0].routeType"]),
        ([(("tenants", 0, "apiKeys"), [1])], ["tenants[0].apiKeys"]),
    ],
)
def test_each_error_is_reported_once_at_its_own_location(changes, locations):
    errors = read_record(with_values(changes)).errors
    assert sorted(error.location.path for error in errors) == locations


@pytest.mark.parametrize("path", [("tenants",), ("tenants", 0), ("tenants", 0, "apiKeys")])
def test_no_reader_shows_an_api_key_that_stands_in_the_wrong_place(path):
    """Guards against keys in reports, and in the line that routers log for an unreadable entry."""
    data = with_values([(path, "secret-key")])
    with pytest.raises(ValueError, match="found str") as caught:
        decode_table(data)
    texts = [str(caught.value), *(str(error) for error in read_record(data).errors)]
    assert not any("secret-key" in text for text in texts)


def test_places_of_findings_are_named_as_in_the_record():
    assert locate(Place(Section.ROUTE, "look", 1)).path == "routes[1]"
    assert locate(Place(Section.ACCOUNT, "ash", 0)).path == "tenants[0]"
    assert locate(Place(Section.SERVICE, "desk")).path == "services"
    assert (locate(Place(Section.LIMITS)).path, locate(Place(Section.RECORD)).path) == (
        "limits",
        "",
    )
    assert read_record(with_values([])).service_names == ("pool", "desk")

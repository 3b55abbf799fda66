"""Tests of the adapter: settings, configurations, headers, and names kept to the adapter."""

import re
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.edge import ResponseHead
from cicadaledge.errors import SettingsError
from cicadaledge.platform import (
    PlatformHeaderCodec,
    decode_server,
    decode_table,
    load_edge_settings,
)
from cicadaledge.routing import PromptPart, RouteKind, ServerEntry, ServerState

SOURCE = Path(__file__).parent.parent.parent / "src" / "cicadaledge"
PLATFORM_NAMES = re.compile(
    r"(?:(?<![\w-])|(?<=\\n))(?:Attempt-Id|Response-Seal|Expect-Instance|Tenant-Id|Deadline-Ms|Token-Usage|Prompt-Prefix"
    r"|Not-Executed|Server-Load|keyed\.|coldRemainingMs|log-append|log-read|log-newest"
    r"|trafficSplit|routeType|allowedRegions|CICADALEDGE_NODE_FILE)"
)

NODE = """
nodeName = "front-a-1"
ip = "10.1.0.33"
zone = "brisbane-a"
region = "brisbane"
internalPortRange = [7400,7415]
unknownField = 1
[zones]
brisbane-a = "brisbane"
[listenAddrs]
front = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
[bounds]
graceS = 8
revokeMs = 5000
strictRevoke = true
retryBudgetRatio = 0.2
retryBudgetSlack = 58
budgetWindowS = 10
[platform]
address = "10.200.1.7:8781"
"""


def test_no_module_outside_the_adapter_uses_names_of_the_platform():
    matches = [
        f"{path.relative_to(SOURCE)}: {match.group()}"
        for path in SOURCE.rglob("*.py")
        if path.relative_to(SOURCE).parts[0] not in ("platform", "standins")
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert matches == []


def test_settings_are_read_from_the_platforms_file(tmp_path, monkeypatch):
    file = tmp_path / "node.toml"
    file.write_text(NODE)
    monkeypatch.setenv("CICADALEDGE_NODE_FILE", str(file))
    settings = load_edge_settings()
    assert (settings.router, settings.region, settings.callers.port) == (
        "front-a-1",
        "brisbane",
        8783,
    )
    assert settings.bounds.grace_ms == 8_000
    assert settings.region_of("brisbane-a") == "brisbane"


@pytest.mark.parametrize(
    "broken", ["not toml [", NODE.replace("ip =", "other ="), NODE.replace("8783", "x")]
)
def test_broken_settings_name_the_file(tmp_path, monkeypatch, broken):
    file = tmp_path / "node.toml"
    file.write_text(broken)
    monkeypatch.setenv("CICADALEDGE_NODE_FILE", str(file))
    with pytest.raises(SettingsError, match=r"node\.toml"):
        load_edge_settings()


def test_a_configuration_is_decoded():
    table = decode_table(
        b'{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","routeType":"streaming",'
        b'"timeoutMs":15000,"targetLatencyMs":1000,"trafficSplit":[{"service":"a","weight":90},'
        b'{"service":"b","weight":10}],"maxAttempts":2,"authExempt":false,"streamResume":true,'
        b'"allowedRegions":["north"]}],"services":[{"name":"a","coldStartS":3.0,"coldPerS":11.0,'
        b'"engine":{"slots":64,"kvCapacity":578286}}],"limits":{"tokensPerS":225000},'
        b'"tenants":[{"name":"t","apiKeys":["k"],"allowedRegions":[]}]}'
    )
    (route,) = table.routes
    assert (route.kind, route.resumable, route.regions) == (RouteKind.STREAM, True, {"north"})
    assert [target.weight for target in route.split] == [90, 10]
    assert table.services["a"].engine.memory_tokens == 578_286
    assert table.account_of_key("k").name == "t"
    assert table.limits.tokens_per_s == 225_000


@given(st.binary(max_size=200) | st.text(max_size=100).map(str.encode))
def test_any_bytes_are_decoded_or_named_as_foreign(data):
    for decode in (decode_table, lambda one: decode_server("i", one)):
        try:
            decode(data)
        except ValueError:
            pass


def server() -> ServerEntry:
    return ServerEntry("i-1", "s", "h", 1, "z", ServerState.READY, 1, 0.0, 1, 1)


def test_a_request_is_parsed_with_its_prompt_parts():
    headers = [
        (b"Attempt-Id", b"a1"),
        (b"Host", b"h"),
        (b"Token-Usage", b"1460,80"),
        (b"Prompt-Prefix", b"5c:800, 91:410,e4:250"),
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"dropped"),
    ]
    call = PlatformHeaderCodec().parse("POST", "/p/1?q", headers, b"", 0.0)
    assert (call.prompt_tokens, call.output_tokens, call.cost_tokens) == (1460, 80, 1620)
    assert call.shared_parts == (PromptPart("5c", 800), PromptPart("91", 410))
    sent = dict(PlatformHeaderCodec().server_headers(call, server(), None, 1234.9, None))
    assert sent[b"Deadline-Ms"] == b"1234"
    assert b"X-Hop" not in sent
    assert b"Connection" not in sent


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [(b"Attempt-Id", b"a"), (b"attempt-id", b"b")],
        [(b"Attempt-Id", b"a"), (b"Deadline-Ms", b"soon")],
        [(b"Attempt-Id", b"a"), (b"Deadline-Ms", b"-5")],
        [(b"Attempt-Id", b"a"), (b"Token-Usage", b"x,y")],
        [(b"Attempt-Id", b"a"), (b"Prompt-Prefix", b"aa:,bb")],
    ],
)
def test_invalid_request_headers_are_rejected(headers):
    with pytest.raises(ValueError):
        PlatformHeaderCodec().parse("GET", "/", headers, b"", 0.0)


def test_server_leaving_and_retry_after_headers_are_read():
    headers = [(b"Server-Leaving", b"1"), (b"retry-after", b" 1.5 "), (b"Retry-After", b"1.5")]
    signs = PlatformHeaderCodec().read_signals(ResponseHead(503, headers))
    assert (signs.leaving, signs.pause_ms, signs.invalid_headers) == (True, 1_500.0, ())
    assert PlatformHeaderCodec().read_signals(ResponseHead(200, headers)).pause_ms is None
    signs = PlatformHeaderCodec().read_signals(ResponseHead(200, []))
    assert (signs.leaving, signs.pause_ms, signs.invalid_headers) == (False, None, ())


@pytest.mark.parametrize(
    "headers",
    [
        [(b"Retry-After", b"soon")],
        [(b"Retry-After", b"-1")],
        [(b"Retry-After", b"inf")],
        [(b"Retry-After", b"nan")],
        [(b"Retry-After", b"1e308")],
        [(b"Retry-After", b"Wed, 21 Oct 2026 07:28:00 GMT")],
        [(b"Retry-After", b"1"), (b"Retry-After", b"2")],
        [(b"Server-Leaving", b"soon")],
        [(b"Server-Leaving", b"1"), (b"Server-Leaving", b"0")],
        [(b"Cold-Ms", b"a while")],
        [(b"Cold-Ms", b"")],
    ],
)
def test_invalid_answer_headers_are_ignored_and_listed_as_unreadable(headers):
    signs = PlatformHeaderCodec().read_signals(ResponseHead(503, headers))
    assert (signs.leaving, signs.pause_ms, signs.cold_left_ms) == (False, None, None)
    assert signs.invalid_headers == (headers[0][0].decode(),)


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"3,0,8,250", 2.5), (b"3, 0, 8, 70", 0.7), (b"1,0,8", None), (b"1,0,8,100,7", 1.0)],
)
def test_the_time_that_work_takes_on_a_servers_machine_is_read(value, expected):
    signs = PlatformHeaderCodec().read_signals(ResponseHead(200, [(b"server-load", value)]))
    assert (signs.time_factor, signs.invalid_headers) == (expected, ())


@pytest.mark.parametrize("value", [b"1,0,8,0", b"1,0,8,-5", b"1,0,8,inf", b"1,0,8,nan", b"1,0,8,"])
def test_an_unreadable_time_of_work_is_ignored_and_listed(value):
    signs = PlatformHeaderCodec().read_signals(ResponseHead(200, [(b"Server-Load", value)]))
    assert (signs.time_factor, signs.invalid_headers) == (None, ("Server-Load",))


def test_not_executed_and_cold_headers_are_read():
    head = ResponseHead(503, [(b"not-executed", b"1"), (b"Cold-Ms", b"40")])
    signs = PlatformHeaderCodec().read_signals(head)
    assert (signs.not_run, signs.wrong_server, signs.cold_left_ms) == (
        True,
        False,
        40,
    )
    assert PlatformHeaderCodec().read_signals(ResponseHead(421, [])).not_run
    assert not PlatformHeaderCodec().read_signals(ResponseHead(503, [])).not_run

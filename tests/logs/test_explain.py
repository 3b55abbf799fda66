"""Tests of collecting the log lines of one request from several processes."""

import json

from typer.testing import CliRunner

from cicadaledge.cli._app import app
from cicadaledge.logs import lines_of_request


def line(at_s: float, message: str, request_id: str | None = "r1", prefix: str = "") -> str:
    record = {"timestamp": at_s, "message": message, "request_id": request_id, "server": "s"}
    return prefix + json.dumps(record)


def test_lines_of_a_request_are_found_and_sorted_by_time():
    lines = [
        line(3.0, "request: Refused.", prefix="  12.1 front-b-2 "),
        "no json at all r1",
        line(1.0, "request: Placed."),
        line(2.0, "request: Placed.", "r2"),
        '{"request_id": "r1", broken',
    ]
    found = lines_of_request("r1", lines)
    assert [log_line.message for log_line in found] == ["request: Placed.", "request: Refused."]
    assert found[1].source == "12.1 front-b-2"
    assert "2.000 s" in found[1].text(found[0].at_s)


def test_lines_that_list_several_requests_are_found():
    crash = {
        "timestamp": 2.5,
        "message": "crashes: Server has crashed.",
        "request_ids": ["r0", "r1"],
    }
    (found,) = lines_of_request("r1", [json.dumps(crash), line(1.0, "request: Placed.", "r2")])
    assert found.message == "crashes: Server has crashed."
    assert "request_ids" not in found.fields


def test_the_command_prints_the_lines_in_order(tmp_path):
    for name, at_s in [("a", 2.0), ("b", 1.0)]:
        (tmp_path / name).write_text(line(at_s, f"request: {name}.") + "\n")
    files = [str(tmp_path / "a"), str(tmp_path / "b")]
    result = CliRunner().invoke(app, ["logs", "explain", "r1", *files])
    assert result.exit_code == 0
    assert result.output.index("request: b.") < result.output.index("request: a.")
    assert CliRunner().invoke(app, ["logs", "explain", "r9", *files]).exit_code == 2
    assert CliRunner().invoke(app, ["logs", "explain", "r1", str(tmp_path / "none")]).exit_code == 2

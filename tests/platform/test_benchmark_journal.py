"""Tests of `load journal`, the table of benchmark runs."""

import json

from typer.testing import CliRunner

from cicadaledge.cli import app


def write(folder, name, **changes):
    entry = {
        "head": "0123456789abcdef",
        "dirty": False,
        "at": ["2026-12-04T10:00:00Z", "2026-12-04T10:05:00Z"],
        "argv": [],
        "site": "north",
        "days": [
            {"name": "quiet-1", "G": 0.7, "rules": {}, "fault": None},
            {"name": "scale-1", "G": 0.5, "rules": {"FAIR": 1}, "fault": None},
            {"name": "hunt-1-2", "G": 0.1, "rules": {}, "fault": None},
        ],
    }
    (folder / name).write_text(json.dumps(entry | changes))


def show(*arguments):
    return CliRunner().invoke(app, ["load", "journal", *map(str, arguments)])


def test_scores_are_listed_by_commit_and_day_and_days_with_violations_are_marked(tmp_path):
    write(tmp_path, "1.json")
    write(tmp_path, "2.json", dirty=True, argv=["--no-cpu", "--small"])
    shown = show(tmp_path)
    assert shown.exit_code == 0
    assert shown.output.splitlines() == [
        "north",
        "begun                commit      quiet-1    scale-1",
        "2026-12-04T10:00:00Z 0123456       0.700     0.500!",
        "",
        "north, small, no processor time",
        "begun                commit      quiet-1    scale-1",
        "2026-12-04T10:00:00Z 0123456+      0.700     0.500!",
    ]


def test_an_entry_that_cannot_be_read_is_skipped(tmp_path, capsys):
    (tmp_path / "0.json").write_text("{")
    write(tmp_path, "1.json")
    shown = show(tmp_path)
    assert shown.exit_code == 0
    assert "0.700" in shown.output


def test_a_missing_or_empty_folder_is_an_error(tmp_path):
    assert show(tmp_path / "none").exit_code == 2
    assert show(tmp_path).exit_code == 1
    write(tmp_path, "1.json")
    assert show(tmp_path, "--deployment", "south").exit_code == 1

"""Tests of finding unevenly served accounts in logs."""

import json

import pytest
from typer.testing import CliRunner

from cicadaledge.cli import app
from cicadaledge.logs import uneven_spans


def line(at_s, account, tokens, *, placed, level=50_000, **fields):
    record = {
        "message": "request: Placed." if placed else "request: No server was chosen.",
        "timestamp": 1_000.0 + at_s,
        "account": account,
        "cost_tokens": tokens,
        "share_per_s": level,
        **fields,
    }
    return f"router-1 {json.dumps(record)}"


def lines(held_got, seconds=8):
    """Return lines of two accounts with 40 requests a second each; only one gets all placed."""
    collected = []
    for at_s in range(seconds):
        for number in range(40):
            at = at_s + number / 50
            collected.append(line(at, "served", 1_000, placed=True, attempt=1))
            collected.append(line(at, "held", 1_000, placed=number < held_got, attempt=1))
    return collected


@pytest.mark.parametrize(("held_got", "margin"), [(10, 0.525), (30, 1.525)])
def test_the_margin_compares_an_account_with_half_of_the_best_served_one(held_got, margin):
    (span,) = uneven_spans(lines(held_got))
    assert (span.account, span.asked_tokens) == ("held", 240_000)
    assert span.margin == pytest.approx(margin)
    assert (span.min_share_per_s, span.max_share_per_s) == (50_000, 50_000)


def test_an_account_without_refusals_in_each_second_is_not_listed():
    without_second = [text for text in lines(10) if '"held"' not in text or ": 1003." not in text]
    assert uneven_spans(without_second) == []


def test_retries_and_lines_of_other_programs_are_ignored():
    other_lines = [
        line(0.5, "held", 90_000, placed=True, attempt=2),
        '{"share_per_s": 1',
        "no line",
    ]
    assert uneven_spans(lines(10) + other_lines) == uneven_spans(lines(10))
    assert uneven_spans([]) == []


def test_the_command_lists_the_smallest_margin_first(tmp_path):
    file = tmp_path / "router-1.log"
    file.write_text("\n".join(lines(10)))
    result = CliRunner().invoke(app, ["logs", "evenness", str(file)])
    assert result.exit_code == 0 and result.stdout.split()[0] == "0.53"
    missing = CliRunner().invoke(app, ["logs", "evenness", str(tmp_path / "none")])
    assert missing.exit_code == 2

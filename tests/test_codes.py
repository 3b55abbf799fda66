"""Tests that the documented table of result codes matches the code."""

from pathlib import Path

from cicadaledge.codes import Code, code_info

PAGE = Path(__file__).parent.parent / "docs" / "CODES.md"


def test_the_page_lists_every_code_with_its_values():
    rows = [
        f"| {int(code)} | {code.name.lower()} | {code_info(code).http_status} "
        f"| {code_info(code).run_state.value} | {code_info(code).sentence} |"
        for code in Code
    ]
    listed = [line for line in PAGE.read_text().splitlines() if line.startswith("| ")]
    assert listed[1:] == rows

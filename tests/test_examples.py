"""Tests that the examples run and that their files are valid."""

import runpy
from pathlib import Path

import pytest
from typer.testing import CliRunner

from cicadaledge.cli import app
from cicadaledge.loadtool import load_deployment

EXAMPLES = Path(__file__).parent.parent / "examples"


def test_embedded_use_shares_by_weight(capsys):
    runpy.run_path(str(EXAMPLES / "embed.py"))
    assert capsys.readouterr().out == "{'ash': 10, 'birch': 30}\n"


@pytest.mark.parametrize("name", ["router.yaml", "configuration.yaml"])
def test_example_files_have_no_mistakes(name):
    result = CliRunner().invoke(app, ["settings", "check", str(EXAMPLES / "wattle-wheels" / name)])
    assert (result.exit_code, "no mistakes" in result.output) == (0, True)


@pytest.mark.parametrize("name", ["wattle-wheels", "ciucur-soft"])
def test_example_deployments_have_the_expected_size(name):
    spec = load_deployment(EXAMPLES / name / "deployment.yaml")
    assert len(spec.zones) * spec.routers_per_zone == 9
    assert len(spec.accounts) == 15
    assert sum(engine.count for engine in spec.engines) == 10


def test_mistakes_in_settings_end_with_the_usage_exit_code(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("name: r1\n")
    result = CliRunner().invoke(app, ["settings", "check", str(path), "--json"])
    assert result.exit_code == 2
    assert "$.fleet_key: expected a value; found none" in result.output

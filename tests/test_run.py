"""Tests of the test command, which tolerates only listed failures."""

import importlib.util
from pathlib import Path

import pytest
from attrs import frozen

_SPEC = importlib.util.spec_from_file_location("run", Path(__file__).with_name("run.py"))
run = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(run)


@frozen
class Report:
    """Part of a pytest report about a test or a file."""

    nodeid: str
    failed: bool = True
    passed: bool = False
    when: str = "call"


def exit_status(*listed: str, tests: tuple[str, ...] = (), files: tuple[str, ...] = ()) -> int:
    plugin = run.KnownRed({name: f"{name} | known" for name in listed})
    for name in tests:
        plugin.pytest_runtest_logreport(Report(name))
    for name in files:
        plugin.pytest_collectreport(Report(name))
    return plugin.exit_status(pytest.ExitCode.TESTS_FAILED)


def test_only_listed_failures_are_tolerated():
    assert exit_status("a.py::one", tests=("a.py::one",)) == 0
    assert exit_status("a.py::one", tests=("a.py::one", "a.py::two")) != 0


def test_a_file_that_cannot_be_imported_fails_the_run():
    """Its tests do not run, which must not end the command with status 0."""
    assert exit_status("a.py::one", tests=("a.py::one",), files=("b.py",)) != 0

"""The test command passes over listed failures only."""

import importlib.util
from pathlib import Path

import pytest
from attrs import frozen

_SPEC = importlib.util.spec_from_file_location("run", Path(__file__).with_name("run.py"))
run = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(run)


@frozen
class Report:
    """What pytest tells of a test or a file."""

    nodeid: str
    failed: bool = True
    passed: bool = False
    when: str = "call"


def verdict(*listed: str, tests: tuple[str, ...] = (), files: tuple[str, ...] = ()) -> int:
    plugin = run.KnownRed({name: f"{name} | known" for name in listed})
    for name in tests:
        plugin.pytest_runtest_logreport(Report(name))
    for name in files:
        plugin.pytest_collectreport(Report(name))
    return plugin.verdict(pytest.ExitCode.TESTS_FAILED)


def test_listed_failures_pass_and_others_do_not():
    assert verdict("a.py::one", tests=("a.py::one",)) == 0
    assert verdict("a.py::one", tests=("a.py::one", "a.py::two")) != 0


def test_a_file_that_cannot_be_imported_fails_the_run():
    """Its tests did not run, and the command ended with 0."""
    assert verdict("a.py::one", tests=("a.py::one",), files=("b.py",)) != 0

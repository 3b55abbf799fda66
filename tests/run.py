"""Runs the tests and passes over exactly the failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


def read_known_red() -> dict[str, str]:
    """Return the listed entries by test id."""
    entries = {}
    for line in (ROOT / "KNOWN-RED.txt").read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            entries[line.split("|")[0].strip()] = line.strip()
    return entries


class KnownRed:
    """Separates listed failures from others."""

    def __init__(self, listed: dict[str, str]) -> None:
        self.listed = listed
        self.failed: set[str] = set()
        self.passed: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        if report.failed:
            self.failed.add(report.nodeid)

    def verdict(self, status: int) -> int:
        unlisted = self.failed - set(self.listed)
        healed = self.passed & set(self.listed)
        for test in sorted(self.failed & set(self.listed)):
            print(f"known red: {self.listed[test]}")
        for test in sorted(healed):
            print(f"listed in KNOWN-RED.txt but passed: {test}")
        if status == pytest.ExitCode.TESTS_FAILED and not unlisted:
            return 0
        return status


def main() -> int:
    """Run pytest and return the exit status for CI."""
    plugin = KnownRed(read_known_red())
    status = pytest.main(["-q", "-n", "3", "--rootdir", str(ROOT), *sys.argv[1:]], plugins=[plugin])
    return plugin.verdict(int(status))


if __name__ == "__main__":
    sys.exit(main())

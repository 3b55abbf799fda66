"""Tests that the load tool detects violations and measures known runs correctly."""

import numpy as np
import pytest

from cicadaledge.errors import SettingsError
from cicadaledge.loadtool import broken_guarantees, load_experiment
from cicadaledge.loadtool._measures import RunView, Window, fairness_gap, utilisation
from cicadaledge.loadtool._traffic import RequestRecord


def record(**changes):
    fields = {"account": "ash", "kind": "model", "key": "k", "prompt": "p", "tokens": 1}
    return RequestRecord(**{**fields, "started_ms": 0, **changes})


def test_valid_history_has_no_violations():
    journals = {"e": {"violations": 0, "runs": [{"request_id": "a.0", "digest": "d"}]}}
    assert broken_guarantees([record(answered=True, equal=True)], journals) == []


def test_each_kind_of_violation_is_reported():
    booked = {"request_id": "b.0", "account": "ash", "key": "k1"}
    journals = {
        "e": {
            "violations": 2,
            "runs": [{"request_id": f"x{n}.0", "digest": "d"} for n in range(3)],
            "deaths": [{"reason": f"crash by x{n}.0"} for n in range(3)],
        },
        "s": {"runs": [booked, booked]},
    }
    records = [
        record(answered=True, equal=False),
        record(refusals=[(2001, "not_run", "b")]),
    ]
    broken = broken_guarantees(records, journals, cut_by_shutdown=1)
    kinds = sorted(line.split(":")[0] for line in broken)
    assert kinds == [
        "at most once",
        "cold start",
        "not run",
        "poison",
        "shutdown",
        "whole answer",
    ]


def test_fairness_gap_and_utilisation_of_known_runs():
    window = Window(0, 1000)
    runs = [RunView("ash", "e", 0, 1000, 100), RunView("birch", "e", 500, 1000, 20)]
    gap, course = fairness_gap(runs, {"ash": 1.0, "birch": 2.0}, ["ash", "birch"], window)
    assert abs(gap - 85) < 6
    assert len(course) == 20
    used, _ = utilisation(runs, 2, window)
    assert abs(used - 0.75) < 0.03
    assert np.isclose(utilisation([], 2, window)[0], 0)


def test_invalid_experiment_file_is_refused(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("deployment: none.yaml\nloads: {ash: {callers: -1}}\nfaults: [{at_s: 1}]\n")
    with pytest.raises(SettingsError) as caught:
        load_experiment(path)
    assert len(caught.value.mistakes) == 2

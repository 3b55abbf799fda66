"""Correction of cost hints by the actual costs of an account's requests."""

from cicadaledge.capacity import HintCorrection


def test_hints_of_an_account_are_corrected_by_its_own_history():
    hints = HintCorrection()
    assert hints.correct("ash", 500) == 500
    for _ in range(20):
        hints.learn("ash", 500, 5)
        hints.learn("birch", 5, 500)
    assert abs(hints.correct("ash", 1000) - 10) < 0.1
    assert abs(hints.correct("birch", 1) - 100) < 0.1
    assert hints.correct("cedar", 7) == 7


def test_a_changed_ratio_replaces_the_learned_one():
    hints = HintCorrection()
    for _ in range(50):
        hints.learn("ash", 100, 1)
    for _ in range(50):
        hints.learn("ash", 100, 100)
    assert hints.correct("ash", 100) > 95

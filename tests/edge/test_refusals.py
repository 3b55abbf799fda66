"""Refusals: when their callers should come back."""

from cicadaledge.edge._refusals import useful_retry_after_ms


def test_a_retry_after_brings_callers_back_while_they_have_time():
    assert useful_retry_after_ms(200.0, 2_000.0) == 200.0
    assert useful_retry_after_ms(900.0, 1_500.0) == 500.0


def test_a_caller_whose_time_ends_first_is_told_when_servers_are_free():
    assert useful_retry_after_ms(3_000.0, 1_500.0) == 3_000.0

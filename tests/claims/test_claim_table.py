"""Compares the fold of the claims stream with a scan of all records."""

from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.claims import (
    Answer,
    CheckpointBegin,
    Claim,
    ClaimTable,
    Release,
    Settle,
    decode_batch,
    encode_batch,
)

WINDOW_MS = 1000
ANSWER = Answer(201, {"content-type": "text/plain"}, b"done")


def reference_owner(records, key):
    """Return the claimant and answer of a key by scanning all records."""
    owner, since, answer = None, 0, None
    for record in records:
        if getattr(record, "key", None) != key:
            continue
        if isinstance(record, Claim):
            if owner is None or record.at_ms >= since + WINDOW_MS:
                owner, since, answer = record.claimant, record.at_ms, None
        elif owner == record.claimant:
            if isinstance(record, Settle):
                answer = record.answer
            elif answer is None:
                owner = None
    return owner, answer


records_strategy = st.lists(
    st.tuples(
        st.sampled_from(["claim", "claim", "settle", "release"]),
        st.sampled_from(["k1", "k2"]),
        st.sampled_from(["r1", "r2", "r3"]),
        st.integers(0, 400),
    ),
    max_size=40,
)


def make_records(history):
    at_ms, records = 0, []
    for number, (kind, key, router, pause_ms) in enumerate(history):
        at_ms += pause_ms
        if kind == "claim":
            records.append(Claim(key, "d", f"{router}/{number // 3}", router, at_ms))
        elif kind == "settle":
            records.append(Settle(key, f"{router}/{number // 3}", ANSWER))
        else:
            records.append(Release(key, f"{router}/{number // 3}"))
    return records


def apply_all(table, records, start=0):
    for offset, record in enumerate(records, start):
        table.apply(offset, encode_batch([record]))


@given(records_strategy)
def test_owner_and_answer_match_the_reference(history):
    records = make_records(history)
    table = ClaimTable(WINDOW_MS)
    apply_all(table, records)
    for key in ("k1", "k2"):
        claim = table.claims.get(key)
        found = (claim.claimant, claim.answer) if claim else (None, None)
        assert found == reference_owner(records, key)


@given(records_strategy, st.integers(0, 40))
def test_a_checkpoint_replaces_the_records_before_it(history, split):
    records = make_records(history)
    full = ClaimTable(WINDOW_MS)
    full.set_first_offset(0)
    apply_all(full, records[:split])
    begin = len(records[:split])
    tail = [CheckpointBegin("c"), *full.checkpoint("c", 0), *records[split:]]
    apply_all(full, tail, begin)
    fresh = ClaimTable(WINDOW_MS)
    fresh.set_first_offset(begin)
    assert not fresh.complete or begin == 0
    apply_all(fresh, tail, begin)
    assert fresh.complete
    assert fresh.claims == full.claims


def test_a_gap_makes_the_table_incomplete_until_a_newer_checkpoint():
    table = ClaimTable(WINDOW_MS)
    table.set_first_offset(0)
    apply_all(table, [Claim("k", "d", "r1/1", "r1", 0)])
    table.set_first_offset(5)
    assert not table.complete
    table.apply(5, encode_batch([CheckpointBegin("c")]))
    table.apply(6, encode_batch(table.checkpoint("c", 0)))
    assert table.complete


def test_only_a_released_key_can_be_claimed_again():
    table = ClaimTable(WINDOW_MS)
    first, second = (Claim("k", "d", f"r{i}/1", f"r{i}", 10) for i in (1, 2))
    apply_all(table, [first, Release("k", "r1/1"), second, Settle("k", "r2/1", ANSWER)])
    assert table.claims["k"].answer == ANSWER
    apply_all(table, [Release("k", "r2/1")], 4)
    assert table.claims["k"].claimant == "r2/1"


@given(st.binary(max_size=200))
def test_malformed_data_is_ignored(data):
    table = ClaimTable(WINDOW_MS)
    table.apply(0, data)
    assert table.claims == {}
    assert decode_batch(b'[["Claim", {}], ["Unknown", {}], 3]') == []

"""Claims to trials of blamed prompt parts, in the order of a log."""

import random

import pytest

from cicadaledge.suspects import MAX_TRIALS, TrialClaim, TrialClaims

FATAL = "fatal"
GROUPS = [frozenset({FATAL}), frozenset({FATAL, "one"}), frozenset({FATAL, "two"})]


@pytest.mark.parametrize("seed", range(40))
def test_a_part_is_tried_three_times_at_most_whatever_routers_have_read(seed):
    """Routers tell groups apart differently, read the log late, and restart."""
    rng = random.Random(seed)
    routers = [TrialClaims() for _ in range(8)]
    read = [0] * len(routers)
    claims, won = [], 0
    for step in range(400):
        index = rng.randrange(len(routers))
        if rng.random() < 0.05:
            routers[index] = TrialClaims()
            for claim in rng.sample(claims, len(claims)):
                routers[index].record(claim, step)
            read[index] = len(claims)
        elif rng.random() < 0.5:
            claim = routers[index].next_claim(rng.choice(GROUPS), step)
            claims += [claim] if claim else []
        else:
            until = rng.randint(read[index], len(claims))
            for claim in claims[read[index] : until]:
                is_won = routers[index].record(claim, step)
                won += is_won and routers[index].is_own(claim)
            read[index] = until
    assert 1 <= won <= MAX_TRIALS


def test_the_first_claim_of_a_number_wins():
    first, second = TrialClaims(), TrialClaims()
    one, two = first.next_claim(GROUPS[0], 0.0), second.next_claim(GROUPS[0], 0.0)
    assert [first.record(claim, 0.0) for claim in (two, one)] == [True, False]
    assert [second.record(claim, 0.0) for claim in (two, one)] == [True, False]
    assert first.used(GROUPS[1]) == 1


def test_claims_are_kept_while_their_parts_are_blamed():
    claims = TrialClaims()
    claims.record(TrialClaim(frozenset({"a", "b"}), 2, "other", 100.0), 100.0)
    claims.expire(200.0, [frozenset({"a"})])
    assert claims.used(frozenset({"a"})) == 2
    assert claims.used(frozenset({"b"})) == 0


def test_a_claim_from_a_clock_that_is_ahead_counts_from_now():
    claims = TrialClaims()
    claims.record(TrialClaim(GROUPS[0], 1, "other", 1e15), 500.0)
    assert claims.claimed_at_ms(GROUPS[0]) == 500.0


def test_own_claims_are_kept_from_when_they_were_read_until_they_expire():
    """They are written again after a restore; a claim that was never read may have been lost."""
    claims, other = TrialClaims(), TrialClaims()
    own, foreign = (one.next_claim(GROUPS[0], 5.0) for one in (claims, other))
    assert claims.own() == []
    for claim in (own, foreign, own):
        claims.record(claim, 5.0)
    assert claims.own() == [own]
    claims.expire(6.0, [])
    assert claims.own() == []

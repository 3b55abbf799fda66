"""Sums of the counts over the fleet."""

from cicadaledge.rollouts import OutcomeCounts, RolloutCounts, RolloutTally


def counts(sent):
    return RolloutCounts({("look", True): OutcomeCounts(sent=sent, answered=sent)})


def sent(tally, *, is_relay=True):
    return tally.fleet_sum(is_relay=is_relay).side(is_new=True).sent


def test_a_relay_adds_its_own_counts_its_members_and_the_other_zones():
    tally = RolloutTally(own=counts(1))
    tally.record_member("r1", 5, counts(10), 0.0)
    tally.record_member("r1", 5, counts(11), 1.0)
    tally.record_zone("zone-b", counts(100), 2.0)
    assert sent(tally) == 112
    assert tally.zone_sum().side(is_new=True).sent == 12


def test_the_counts_of_a_restarted_router_are_kept():
    # Otherwise its requests to a bad version would be forgotten, and more of them allowed.
    tally = RolloutTally()
    tally.record_member("r1", 5, counts(10), 0.0)
    tally.record_member("r1", 6, counts(2), 1.0)
    tally.record_member("r1", 5, counts(9), 2.0)  # arrives late
    assert sent(tally) == 12


def test_a_member_uses_the_sum_of_its_relay():
    tally = RolloutTally(own=counts(3))
    assert sent(tally, is_relay=False) == 3
    tally.record_fleet(counts(40), 0.0)
    assert sent(tally, is_relay=False) == 40


def test_typical_times_are_geometric_means():
    cell = OutcomeCounts()
    for took_ms in (10.0, 1_000.0):
        cell.record_time(took_ms)
    assert abs(cell.typical_ms - 100.0) < 2.0

"""The processes of one round and what they need of the machine."""

from cicadaledge.soak._world import claim_ports

FIRST_PORT = 28_900


def test_rounds_at_the_same_time_hold_ports_of_their_own():
    """Routers of one round took ports of another while its routers started again."""
    held = [claim_ports(FIRST_PORT, count) for count in (12, 700, 12)]
    ranges = [
        range(guards[0].getsockname()[1], guards[-1].getsockname()[1] + 300) for guards in held
    ]
    assert [len(one) for one in ranges] == [300, 900, 300]
    for guards in held:
        for guard in guards:
            guard.close()
    seen = sorted((one.start, one.stop) for one in ranges)
    assert all(before[1] <= after[0] for before, after in zip(seen, seen[1:], strict=False))

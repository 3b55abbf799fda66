"""Rollouts under a load of requests at several routers, which see the counts a second late."""

import pytest
from rollout_fleet import Fleet, never_bad

from cicadaledge.rollouts import RolloutState


def bad_version(*, fails=0.0, slow=0.0, from_s=0.0, route=None):
    """Return answers of a new version that is bad from a time after the order, or on one route."""

    def answer(server, asked_route, now_ms, rng):
        failed, took_ms = never_bad(server, asked_route, now_ms, rng)
        is_bad = server.startswith("n") and now_ms >= 10_000 + from_s * 1000
        if is_bad and route in (None, asked_route):
            failed = failed or rng.random() < fails
            took_ms *= 4.0 if rng.random() < slow else 1.0
        return failed, took_ms

    return answer


def bad_under_load(per_s):
    """Return answers of a version that is slow while a server gets more than a rate."""
    arrivals_ms = {}

    def answer(server, route, now_ms, rng):
        failed, took_ms = never_bad(server, route, now_ms, rng)
        recent_ms = [at for at in arrivals_ms.get(server, ()) if at > now_ms - 1000]
        arrivals_ms[server] = [*recent_ms, now_ms]
        return failed, took_ms * (5.0 if server[0] == "n" and len(recent_ms) > per_s else 1.0)

    return answer


def slow_spells(server, route, now_ms, rng):
    """Answer as a server on a shared machine, which is slow for 600 ms every 4 seconds."""
    failed, took_ms = never_bad(server, route, now_ms, rng)
    is_slow = now_ms // 600 % 7 == int(server[1:])
    return failed, took_ms * (2.7 if is_slow else 1.0)


def one_former_server_fails(server, route, now_ms, rng):
    failed, took_ms = never_bad(server, route, now_ms, rng)
    return failed or server == "f1", took_ms


RARE = {"look": 95.0, "rare": 2.0}


@pytest.mark.parametrize(
    "load",
    [
        {"answer": bad_version(fails=1.0), "per_s": 700.0, "routers": 40},
        {"answer": bad_version(fails=0.5)},
        {"answer": bad_version(fails=0.2)},
        {"answer": bad_version(slow=1.0)},
        {"answer": bad_version(slow=0.4), "duration_s": 60.0},
        {"answer": bad_version(fails=0.5, from_s=12.0)},
        {"answer": bad_version(fails=0.5, from_s=18.0)},
        {"answer": bad_version(fails=0.5, route="rare"), "routes": RARE, "duration_s": 60.0},
        {"answer": bad_version(slow=0.9, route="rare"), "routes": RARE, "duration_s": 60.0},
        {"answer": bad_version(fails=0.5), "per_s": 3.0, "duration_s": 60.0},
        {"answer": bad_version(fails=0.6), "per_s": 0.6, "duration_s": 60.0},
        {"answer": bad_version(fails=0.5), "per_s": 200.0, "routers": 385},
        {"answer": bad_version(fails=0.5), "duration_s": 12.0},
        {"answer": bad_under_load(22), "duration_s": 60.0},
        {
            "answer": lambda *asked: (
                one_former_server_fails(*asked)[0] or bad_version(fails=0.5)(*asked)[0],
                50.0,
            )
        },
    ],
)
def test_a_bad_version_is_rolled_back_within_the_bounds(load):
    # Guards against a version that gets too many requests, or some after the time for a rollback.
    for seed in range(3):
        fleet = Fleet(seed=seed, **load).run()
        assert fleet.state is RolloutState.ROLLED_BACK
        assert fleet.sent_new <= fleet.bound
        assert fleet.last_new_ms <= fleet.fiftieth_ms + 5_000
        assert fleet.ended_ms <= fleet.order_ms + fleet.duration_s * 1000


@pytest.mark.parametrize(
    "load",
    [
        {},
        {"per_s": 700.0, "former": 45, "new": 45},
        {"per_s": 2.0, "duration_s": 60.0},
        {"per_s": 0.2, "duration_s": 60.0},
        {"per_s": 0.0},
        {"duration_s": 12.0},
        {"answer": slow_spells, "per_s": 400.0},
        {"answer": one_former_server_fails},
        {"new_from_ms": 18_000.0},
        {"new": 3},
        {"cut_off": (3, 7)},
        {"routes": RARE},
    ],
)
def test_a_good_version_is_completed_by_its_deadline(load):
    # Guards against false alarms, which roll a good version back, and against missed deadlines.
    for seed in range(3):
        fleet = Fleet(seed=seed, **load).run()
        assert fleet.state is RolloutState.COMPLETED
        assert fleet.ended_ms <= fleet.order_ms + fleet.duration_s * 1000 - 1_000
        assert fleet.full_ms < fleet.ended_ms


def test_most_requests_stay_on_the_former_version_until_shortly_before_the_deadline():
    # Whatever a version gets before it turns bad counts towards the bound on exposure.
    fleet = Fleet(duration_s=60.0).run()
    assert fleet.full_ms >= fleet.order_ms + 45_000


def test_a_version_that_never_starts_is_rolled_back_before_the_deadline():
    fleet = Fleet(new=0).run()
    assert fleet.state is RolloutState.ROLLED_BACK
    assert fleet.ended_ms <= fleet.order_ms + fleet.duration_s * 1000


def test_a_router_that_hears_nothing_sends_nothing_to_the_new_version():
    fleet = Fleet(cut_off=(0,)).run()
    counts = fleet.keepers[0].rollout("desk").tally.own
    assert counts.side(is_new=True).sent == 0
    assert counts.side(is_new=False).sent > 0

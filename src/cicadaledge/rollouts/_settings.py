"""Settings of rollouts."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt, le


@frozen
class RolloutSettings:
    """Limits that the operators set, and the margins kept within them.

    Args:
        is_enabled: Whether the deployment uses rollouts.
        expose_share: Share of a service's requests that a bad version may get.
        expose_slack: Requests that it may get in addition.
        rollback_ms: Time after its 50th bad answer from which it must get no requests.

        sync_ms: Longest interval between exchanges of the counts; three of them fit into the age
            of a view.
        tick_ms: Interval between decisions; a tenth of the time within which a view arrives.
        view_age_ms: Counts older than this are not used to send requests to the new version;
            views are at most a second old unless a router is cut off.
        start_ms: Time after the order in which all routers learn of it, and nothing is sent to the
            new version.
        store_margin_ms: Time left for writing the final status; calls of the store fail for
            seconds at a time.
        drain_ms: Shortest time for which requests end on the former servers after all new ones go
            to the others.
        ramp_ms: Time in which the fraction grows from the canary's to all requests, in three
            steps, each of which lasts until all routers know the answers of the step before.
        deputy_ms: Time after which another relay writes a status that the decider has not written.
    """

    is_enabled: bool = False
    expose_share: float = field(default=0.1, validator=[gt(0), le(1)])
    expose_slack: float = field(default=50.0, validator=ge(0))
    rollback_ms: float = field(default=5_000.0, validator=gt(0))
    sync_ms: float = field(default=250.0, validator=gt(0))
    tick_ms: float = field(default=100.0, validator=gt(0))
    view_age_ms: float = field(default=1_500.0, validator=gt(0))
    start_ms: float = field(default=1_500.0, validator=ge(0))
    store_margin_ms: float = field(default=3_000.0, validator=ge(0))
    drain_ms: float = field(default=4_000.0, validator=ge(0))
    ramp_ms: float = field(default=7_500.0, validator=gt(0))
    deputy_ms: float = field(default=1_500.0, validator=ge(0))

    @property
    def exchange_ms(self) -> float:
        """Interval between exchanges of the counts.

        A decision takes effect everywhere after about eight intervals, which is less than half of
        the time for a rollback.
        """
        return min(self.sync_ms, self.rollback_ms / 20.0)

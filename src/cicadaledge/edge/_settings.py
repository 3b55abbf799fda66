"""Settings of an edge router process."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt

from cicadaledge.edge._load_shedder import SheddingSettings
from cicadaledge.ingress import IngressSettings
from cicadaledge.placing import PlacingSettings, WaitingSettings
from cicadaledge.rollouts import RolloutSettings
from cicadaledge.settings import Address

# This many descriptors of the process are left for files, listening sockets and pipes. The others
# are for connections.
_RESERVED_DESCRIPTORS = 200


@frozen
class BoundSettings:
    """Limits that the operators set.

    Args:
        grace_ms: Grace period from a stop signal to the kill.
        revoke_ms: Time within which a revoked key stops working at all routers.
        strict_revoke: Whether routers that cannot read the configuration must keep that limit, too.
        retry_ratio: Fraction of the requests that may be retried at another server.
        retry_slack: Retries of the whole fleet that are allowed in addition to that ratio.
        retry_window_ms: Time window of the retry budget.
        share_window_ms: Time window over which accounts get their shares.
    """

    grace_ms: float = field(default=8_000.0, validator=gt(0))
    revoke_ms: float = field(default=5_000.0, validator=gt(0))
    strict_revoke: bool = True
    retry_ratio: float = field(default=0.2, validator=ge(0))
    retry_slack: float = field(default=10.0, validator=ge(0))
    retry_window_ms: float = field(default=10_000.0, validator=gt(0))
    share_window_ms: float = field(default=4_000.0, validator=gt(0))


@frozen
class TimingSettings:
    """Intervals and timeouts.

    Args:
        control_wait_ms: Long-poll wait of a read of the control topic; twice the wait fits into
            the time within which a configuration must apply.
        server_poll_ms: Interval between reads of the servers' heartbeats.
        member_poll_ms: Interval between reads of the list of routers.
        first_member_pauses_ms: Pauses after the first of these reads, as routers that start
            together announce themselves within a second.
        announcement_ms: Routers that start together announce themselves within this time, so that a
            list read later contains them all.
        first_control_pause_ms: Pause after the first read of the control topic; by its end a
            router that has started is linked to a relay that reads for it.
        first_server_pause_ms: The same for the servers' heartbeats.
        suspect_wait_ms: Long-poll wait of a read of the routers' crash evidence; a connection that
            has become silent is detected within a second after the wait.
        suspect_silence_ms: Age of the newest relayed page after which a router reads the crash
            evidence itself; slightly longer than the wait.
        news_silence_ms: Age of the newest relayed page after which a router reads the store
            itself; slightly longer than the longest interval between two pages of the relay.
        view_ms: Interval between load views to peers; half of a request's one-way delay across
            regions.
        idle_view_ms: Interval between heartbeats on links that carry no load views.
        peer_silence_ms: Silence after which a link is re-established; three heartbeats.
        relay_silence_ms: Silence after which another relay is chosen for a zone; two heartbeats.
        announce_ms: Interval between announcements of this process in the list of routers.
        member_life_ms: Age at which the unchanged entry of a router that is silent expires.
        connect_ms: Timeout of a connection to a server; a round trip across regions takes 60 ms.
        revoke_margin_ms: Part of `revoke_ms` that is left for requests in transit.
        stop_accept_ms: Maximum time for which a router that shuts down accepts new connections;
            the balancer needs two failed probes, a second apart.
        stop_margin_ms: Maximum part of the grace period that is left when all requests must have
            been answered.
        lapse_outage_ms: Shortest outage of the store in which an entry can expire: two of the three
            heartbeats whose absence removes it.
        lapse_ms: How long removals are deferred after an outage of the store, as live servers
            write their entries again within 2 s.
        epoch_settle_ms: After a restore of the store from an older copy, servers and evacuations
            that the copy lacks are kept for this long. Servers write their entries again within
            2 s, which are read within 0.8 s.
        operator_rewrite_ms: Reads of a restored store prove the configuration current only this
            long after the restore was noticed, as the operator may have to revoke a key again.
        rewrite_spread_ms: Routers write their own records to a restored store within this time, at
            random; 385 routers and 600 servers then stay below its limit of 1,200 writes a second.
    """

    control_wait_ms: int = field(default=1_200, validator=ge(0))
    server_poll_ms: int = field(default=800, validator=gt(0))
    member_poll_ms: int = field(default=4_000, validator=gt(0))
    first_member_pauses_ms: tuple[float, ...] = (800.0, 2_000.0)
    announcement_ms: float = field(default=600.0, validator=ge(0))
    first_control_pause_ms: float = field(default=1_500.0, validator=ge(0))
    first_server_pause_ms: float = field(default=2_000.0, validator=ge(0))
    suspect_wait_ms: int = field(default=2_000, validator=ge(0))
    suspect_silence_ms: float = field(default=2_400.0, validator=gt(0))
    news_silence_ms: float = field(default=1_600.0, validator=gt(0))
    view_ms: int = field(default=50, validator=gt(0))
    idle_view_ms: int = field(default=500, validator=gt(0))
    peer_silence_ms: int = field(default=1_500, validator=gt(0))
    relay_silence_ms: int = field(default=1_000, validator=gt(0))
    announce_ms: int = field(default=60_000, validator=gt(0))
    member_life_ms: int = field(default=100_000, validator=gt(0))
    connect_ms: float = field(default=500.0, validator=gt(0))
    revoke_margin_ms: float = field(default=500.0, validator=ge(0))
    stop_accept_ms: float = field(default=2_600.0, validator=ge(0))
    stop_margin_ms: float = field(default=400.0, validator=ge(0))
    lapse_outage_ms: float = field(default=2_000.0, validator=ge(0))
    lapse_ms: float = field(default=2_000.0, validator=ge(0))
    epoch_settle_ms: float = field(default=3_000.0, validator=ge(0))
    operator_rewrite_ms: float = field(default=500.0, validator=ge(0))
    rewrite_spread_ms: float = field(default=1_000.0, validator=ge(0))


@frozen
class SlowReaderSettings:
    """Limits on callers that do not read.

    Args:
        stalled_ms: A caller that has read nothing for this time, while its answer waits, is
            disconnected: servers cut off answers that stay unread for some seconds, and the engine's
            slot stays taken until then.
    """

    stalled_ms: float = field(default=3_000.0, validator=gt(0))


@frozen
class EdgeSettings:
    """All settings of one router process.

    Args:
        regions_by_zone: Region of each availability zone.
        callers: Address for callers.
        probes: Address for the load balancer's readiness probes.
        peers: Address for other routers.
        metrics: Address at which metrics are served.
        store: Address of the store.
        descriptors: Limit on open file descriptors of the process.
    """

    router: str
    zone: str
    region: str
    regions_by_zone: dict[str, str]
    callers: Address
    probes: Address
    peers: Address
    metrics: Address
    store: Address
    descriptors: int = field(default=4_096, validator=gt(200))
    bounds: BoundSettings = field(factory=BoundSettings)
    timing: TimingSettings = field(factory=TimingSettings)
    placing: PlacingSettings = field(factory=PlacingSettings)
    waiting: WaitingSettings = field(factory=WaitingSettings)
    shedding: SheddingSettings = field(factory=SheddingSettings)
    rollouts: RolloutSettings = field(factory=RolloutSettings)
    ingress: IngressSettings = field(factory=IngressSettings)
    slow_readers: SlowReaderSettings = field(factory=SlowReaderSettings)

    @property
    def max_connections(self) -> int:
        """Limit on open connections of the process."""
        return self.descriptors - _RESERVED_DESCRIPTORS

    def region_of(self, zone: str) -> str:
        """Return the region of an availability zone, or an empty string."""
        return self.regions_by_zone.get(zone, "")

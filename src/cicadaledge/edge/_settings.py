"""Settings of a router process at the edge."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt

from cicadaledge.edge._shedding import SheddingSettings
from cicadaledge.placing import PlacingSettings
from cicadaledge.settings import Address

_FILES = 200  # descriptors that are left for files, listeners and pipes


@frozen
class BoundSettings:
    """Bounds that the operators set.

    Args:
        grace_ms: Time from a stop signal to the kill.
        revoke_ms: Time within which a revoked key stops working everywhere.
        strict_revoke: Whether that binds routers that cannot read the configuration, too.
        retry_ratio: Part of the requests that may be sent to a second server.
        retry_slack: Second sendings allowed beside that ratio, of all routers.
        retry_window_ms: Window of the retry budget.
        share_window_ms: Window within which accounts get their shares.
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
    """Periods and time-outs.

    Args:
        control_wait_ms: How long the store keeps a read of the control topic waiting; twice
            that fits into the time in which a configuration must apply.
        server_poll_ms: Between reads of the servers' heartbeats.
        member_poll_ms: Between reads of the list of routers.
        first_member_pauses_ms: Pauses after the first of these reads: routers that start
            together announce themselves within a second.
        first_control_pause_ms: Pause after the first read of the control topic: by then a router
            that has started is linked to a relay that reads for it.
        first_server_pause_ms: The same for the servers' heartbeats.
        suspect_wait_ms: How long the store keeps a read of the routers' evidence on crashes waiting;
            a connection that has gone silent is noticed within a second after that.
        suspect_silence_ms: Silence of the zone's relay after which a router reads that evidence
            itself; a little over the wait.
        news_silence_ms: Silence of the zone's relay after which a router reads the store
            itself; a little over the longest pause between two pages of the relay.
        view_ms: Between load views to peers; half of a request's way across regions.
        idle_view_ms: Between signs of life on links that carry no load.
        peer_silence_ms: Silence after which a link is set up again; three signs of life.
        relay_silence_ms: Silence after which a zone has another relay; two signs of life.
        announce_ms: Between entries of this process in the list of routers.
        member_life_ms: Age of an unchanged entry of a router that is not heard.
        connect_ms: Time for a connection to a server; a round trip across regions takes 60.
        revoke_margin_ms: Left of the time to revoke for requests on their way.
        stop_accept_ms: How long a leaving router takes new connections at most; the balancer
            needs two missed probes, a second apart.
        stop_margin_ms: Left of the grace at most when every request must be answered.
        lapse_outage_ms: Shortest time without the store in which an entry can lapse: two of the
            three heartbeats whose absence removes it.
        lapse_ms: How long removals wait after the store was away: entries of living servers
            are written again within 2 s.
    """

    control_wait_ms: int = field(default=1_200, validator=ge(0))
    server_poll_ms: int = field(default=800, validator=gt(0))
    member_poll_ms: int = field(default=4_000, validator=gt(0))
    first_member_pauses_ms: tuple[float, ...] = (800.0, 2_000.0)
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


@frozen
class EdgeSettings:
    """Everything that one router process is told.

    Args:
        regions_by_zone: Region of each availability zone.
        callers: Where callers connect.
        probes: Where the balancer asks whether to send callers here.
        peers: Where other routers connect.
        metrics: Where metrics are served.
        descriptors: File descriptors that the process may use.
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
    shedding: SheddingSettings = field(factory=SheddingSettings)

    @property
    def max_connections(self) -> int:
        """How many connections the process may have."""
        return self.descriptors - _FILES

    def region_of(self, zone: str) -> str:
        """Return the region of an availability zone, or an empty string."""
        return self.regions_by_zone.get(zone, "")

"""Typed messages between routers; the schema is `control.capnp`."""

from __future__ import annotations

import enum

from attrs import Factory, field, frozen

IS_INTERNED = "is_name"

IN_COLUMNS = "in_columns"

# This metadata marks a long list of records, each a name and integers, that is sent as a block of
# columns.
COLUMNS = {IN_COLUMNS: True}

# This metadata marks a string that is sent once on each link, and as an index from then on.
INTERNED = {IS_INTERNED: True}


class Outcome(enum.IntEnum):
    """How a granted request ended at its backend server."""

    FINISHED = 0
    CANCELLED = 1
    LOST = 2
    NOT_STARTED = 3
    REFUSED = 4
    DIED = 5


class ColdStartSignal(enum.IntEnum):
    """Observations that suggest that a backend server may be in cold start."""

    UNREACHABLE = 0
    RESET = 1
    NEW_BOOT = 2
    SLOW_FIRST_TOKEN = 3


@frozen
class Hello:
    """First frame on a link, from both sides."""

    router: str
    incarnation: int
    nonce: bytes


@frozen
class Proof:
    """Keyed digest over the other side's nonce, which proves knowledge of the fleet key."""

    digest: bytes


@frozen
class Heartbeat:
    """Liveness, offsets and freshness of a router.

    Args:
        echo_ms: Newest timestamp received from the receiver, on its clock; -1 if none.
        log_age_ms: Time since the start of the read of the control stream that last found the
            sender's state up to date; -1 if none has.
        disowned: Whether the sender has voted to remove the receiver from the fleet.
        near: Whether the sender currently works with the receiver and asks it for heartbeats at
            the short interval.
    """

    sent_ms: int
    echo_ms: int
    control_offset: int
    log_age_ms: int
    leaving: bool = False
    poison_count: int = 0
    disowned: bool = False
    interval_ms: int = 0
    near: bool = False


@frozen
class StateRequest:
    """Asks a peer for the state that it has folded (accumulated) from the records of a stream."""

    stream: str
    have_offset: int


@frozen
class StateReply:
    """Folded state of a stream at an offset, as JSON."""

    stream: str
    offset: int
    data: bytes


@frozen
class Descriptor:
    """A waiting request without its body, which stays at the entry router.

    Args:
        handle: Number of this attempt, assigned by the entry router.
        entry: The entry router, which accepted the request; empty if it is the sender.
        hops: How often it was forwarded between coordinators.
    """

    handle: int
    account: str = field(metadata=INTERNED)
    pool: str = field(metadata=INTERNED)
    hint_cost: int
    prefix_digest: int = 0
    suspect: bool = False
    excluded: list[str] = field(factory=list, metadata=INTERNED)
    entry: str = field(default="", metadata=INTERNED)
    hops: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Entry router and handle, unique in the fleet."""
        return self.entry, self.handle


@frozen
class Running:
    """A request that runs on a backend server."""

    handle: int
    account: str = field(metadata=INTERNED)
    server: str = field(metadata=INTERNED)
    hint_cost: int
    cost: int
    suspect: bool = False


@frozen
class Adopt:
    """All requests of one entry router that run under former grants for a pool and zone."""

    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    running: list[Running]


@frozen
class Enqueue:
    """Adds waiting requests to a coordinator's queue; idempotent by request id."""

    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    waiting: list[Descriptor]


@frozen
class Progress:
    """Cost so far of every request that an entry router runs for a pool and zone."""

    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    handles: list[int]
    costs: list[int]


@frozen
class Withdraw:
    """Removes waiting requests from a coordinator's queue."""

    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    handles: list[int]


@frozen
class Grant:
    """Permission to start one request on one server before `echo_ms + start_by_ms`."""

    handle: int
    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    server: str = field(metadata=INTERNED)
    boot_id: str = field(metadata=INTERNED)
    echo_ms: int


@frozen
class Done:
    """Reports the end of a granted request, with its `Outcome`."""

    handle: int
    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    cost: int
    outcome: int
    first_token_ms: int = -1


@frozen
class LeaseItem:
    """Slots of one server that a coordinator has granted."""

    server: str = field(metadata=INTERNED)
    busy: int
    completed: int = 0


@frozen
class LeaseRequest:
    """A coordinator asks a home router for the slots of its servers."""

    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    sent_ms: int
    items: list[LeaseItem]


@frozen
class LeaseGrant:
    """Lease of the open slots of one server."""

    server: str = field(metadata=INTERNED)
    open_slots: int
    boot_id: str = field(metadata=INTERNED)
    running: int
    report_age_ms: int
    inherited_busy: int = 0
    new_holder: bool = False


@frozen
class LeaseReply:
    """Answers a lease request; valid for `lease_ms` from its `sent_ms`."""

    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    sent_ms: int
    lease_ms: int
    grants: list[LeaseGrant]


@frozen
class LeaseRelease:
    """Returns leases before they expire."""

    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    items: list[LeaseItem]


@frozen
class ServerSign:
    """Reports a `ColdStartSignal` of a server to its home router."""

    server: str = field(metadata=INTERNED)
    boot_id: str = field(metadata=INTERNED)
    sign: int


@frozen
class TransferRequest:
    """A new home router asks the former one to hand over servers."""

    control_offset: int
    servers: list[str]


@frozen
class TransferItem:
    """State of one server that its home router keeps."""

    server: str = field(metadata=INTERNED)
    holder: str = field(metadata=INTERNED)
    holder_incarnation: int
    remaining_ms: int
    unsafe_ms: int
    boot_id: str = field(metadata=INTERNED)
    open_slots: int
    busy: int


@frozen
class TransferReply:
    """The former home router hands over the listed servers."""

    control_offset: int
    servers: list[str]
    items: list[TransferItem]


@frozen
class AccountCost:
    """Cost charged to an account by one coordinator."""

    account: str = field(metadata=INTERNED)
    cost: float
    waiting: int = 0


@frozen
class Counters:
    """A coordinator's counters for the other zones of its pool."""

    pool: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    sequence: int
    free_slots: int
    floor_cost: float
    accounts: list[AccountCost]


@frozen
class Crash:
    """A crash of a backend server.

    Args:
        crash: Server and incarnation.
        ran: Digests of the requests that were running.
        cleared: Those of them that cannot have caused it.
    """

    crash: str
    ran: list[str]
    cleared: list[str]


@frozen
class Crashes:
    """Evidence about crashes; receivers merge it by union."""

    crashes: list[Crash]


@frozen
class Witness:
    """Statement of a member that it no longer receives heartbeats of a router."""

    router: str
    incarnation: int


@frozen
class ServerUse:
    """Load that one router has placed on a backend server, and its recent results there.

    Args:
        running: Requests in progress.
        unread_tokens: Prompt tokens of requests without a first token, cached parts left out.
        context_tokens: Tokens that the running requests hold in the server's memory.
        sent_last_s: Requests sent within the last second.
        waited_ms: Sum of the times to first tokens that arrived within the last seconds.
        expected_ms: Sum of the times predicted for the same requests.
        ended: Requests that ended within the last seconds.
        failed: How many of them failed because of the server.
    """

    server: str
    running: int
    unread_tokens: int
    context_tokens: int
    sent_last_s: int
    waited_ms: int = 0
    expected_ms: int = 0
    ended: int = 0
    failed: int = 0


@frozen
class SpeedReport:
    """The newest speeds that a backend server has reported to one or several routers.

    Args:
        reports: Number of reports, at most one of each router.
        percent_sum: Sum of the reported times that work takes, in percent of the usual time.
    """

    server: str
    reports: int = 0
    percent_sum: int = 0


@frozen
class AccountUse:
    """Demand and admitted rate of one account at one router, in tokens per second."""

    account: str
    asked_per_s: float
    admitted_per_s: float


class ViewScope(enum.IntEnum):
    """The routers whose load a view sums up."""

    NOBODY = 0
    SENDER = 1
    ZONE = 2
    ALL_BUT_RECEIVER = 3


@frozen
class DepartingServer:
    """A backend server that has announced its shutdown.

    Args:
        born_ms: Start of its incarnation.
    """

    server: str = field(metadata=INTERNED)
    born_ms: int


@frozen
class LoadView:
    """Load of one or several routers of the fleet.

    Args:
        sent_ms: Time of sending on the sender's clock.
        scope: Whose load the view sums up, a `ViewScope`.
        routers: Number of these routers.
        accounts: Rates of all accounts with requests, if the view has rates.
        late_ms: Sum of the delays of the routers' event loops.
        shedding: How many of the routers shed load and therefore get no new callers.
        departing: Servers that have announced their shutdown to one of the routers.
        begun_per_s: Tokens per second of the routers' requests whose answers engines have begun.
        has_rates: Whether the view contains rates. Most views do not, as rates change more slowly
            than loads; the last rates received then stay valid.
        speeds: The newest speeds of the servers that report them.
    """

    sent_ms: int
    scope: int
    routers: int
    leaving: bool
    servers: list[ServerUse] = field(metadata=COLUMNS)
    accounts: list[AccountUse] = field(metadata=COLUMNS)
    late_ms: int = 0
    shedding: int = 0
    departing: list[DepartingServer] = field(factory=list)
    begun_per_s: int = 0
    has_rates: bool = field(default=Factory(lambda self: bool(self.accounts), takes_self=True))
    speeds: list[SpeedReport] = field(factory=list, metadata=COLUMNS)


@frozen
class StoreNews:
    """A page of a topic that the sender has read from the store and relays.

    Args:
        first_offset: Offset of the first record.
        next_offset: Offset after the last record.
        records: Records as the store sent them.
        echo_ms: Newest `sent_ms` of the receiver's views that the sender had received before the
            page was current in the store; -1 if none.
        after_outage: Whether the store had been unreachable for the sender before this page.
        epoch: Epoch of the store in which the offsets hold; -1 if it has none, or if the sender is
            of a former build.
    """

    topic: str
    first_offset: int
    next_offset: int
    records: bytes
    echo_ms: int
    after_outage: bool
    epoch: int = -1


@frozen
class RolloutCell:
    """Counts of one route's requests on one side of a rollout.

    Args:
        is_new: Whether they were sent to the new version, or to the former ones.
        sent: Requests placed on a server.
        answered: Answers, complete or failed.
        failed: Answers that were failures.
        judged: Answers whose duration could be compared.
        slow: How many of these were slow.
        timed: Answers whose durations are summed up.
        log_sum: Sum of the logarithms of these durations, in 64ths of a factor of two.
    """

    route: str = field(metadata=INTERNED)
    is_new: bool
    sent: int = 0
    answered: int = 0
    failed: int = 0
    judged: int = 0
    slow: int = 0
    timed: int = 0
    log_sum: int = 0


@frozen
class RolloutView:
    """Counts of a rollout since its order.

    Args:
        scope: Whose counts they are, a `ViewScope`; the fleet's sum includes the receiver's.
        to: Version that the order names, as text.
        zone: Zone of the sender.
        incarnation: Incarnation of the sender, whose counts start at zero.
        age_ms: Time since the order; -1 if the sender does not know it.
    """

    scope: int
    service: str = field(metadata=INTERNED)
    to: str = field(metadata=INTERNED)
    zone: str = field(metadata=INTERNED)
    incarnation: int
    age_ms: int
    cells: list[RolloutCell] = field(factory=list)

"""Typed messages between routers; the schema is `control.capnp`."""

from __future__ import annotations

import enum

from attrs import Factory, field, frozen

IS_NAME = "is_name"

IN_COLUMNS = "in_columns"

# Marks a long list of records of a name and whole numbers, sent as one block of numbers.
COLUMNS = {IN_COLUMNS: True}

# Marks fields whose text is sent once on each link, and then as an index.
NAME = {IS_NAME: True}


class Outcome(enum.IntEnum):
    """How a granted request ended at its backend server."""

    FINISHED = 0
    CANCELLED = 1
    LOST = 2
    NOT_STARTED = 3
    REFUSED = 4
    DIED = 5


class ColdStartSignal(enum.IntEnum):
    """A sign that a backend server may be in cold start."""

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
    """Shows knowledge of the fleet key for the other side's nonce."""

    digest: bytes


@frozen
class Heartbeat:
    """Liveness, offsets and freshness of a router."""

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
    """Asks a peer for its folded state of a stream."""

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
    """A waiting request; bodies stay at the entry router.

    Args:
        handle: Number that the entry router has given to this attempt.
        entry: The entry router; empty where that is the sender.
        hops: How often it was forwarded between coordinators.
    """

    handle: int
    account: str = field(metadata=NAME)
    pool: str = field(metadata=NAME)
    hint_cost: int
    prefix_digest: int = 0
    suspect: bool = False
    excluded: list[str] = field(factory=list, metadata=NAME)
    entry: str = field(default="", metadata=NAME)
    hops: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Entry router and handle, unique in the fleet."""
        return self.entry, self.handle


@frozen
class Running:
    """A request that runs on a backend server."""

    handle: int
    account: str = field(metadata=NAME)
    server: str = field(metadata=NAME)
    hint_cost: int
    cost: int
    suspect: bool = False


@frozen
class Adopt:
    """Every request of one entry router that runs under former grants of a place."""

    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    running: list[Running]


@frozen
class Enqueue:
    """Adds waiting requests to a coordinator's queue; idempotent by request id."""

    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    waiting: list[Descriptor]


@frozen
class Progress:
    """Cost so far of every request that an entry router runs under a place's grants."""

    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    handles: list[int]
    costs: list[int]


@frozen
class Withdraw:
    """Takes waiting requests out of a queue."""

    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    handles: list[int]


@frozen
class Grant:
    """Permission to start one request on one server before `echo_ms + start_by_ms`."""

    handle: int
    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    server: str = field(metadata=NAME)
    boot_id: str = field(metadata=NAME)
    echo_ms: int


@frozen
class Done:
    """End of a granted request."""

    handle: int
    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    cost: int
    outcome: int
    first_token_ms: int = -1


@frozen
class LeaseItem:
    """Slots of one server that a coordinator has granted."""

    server: str = field(metadata=NAME)
    busy: int
    completed: int = 0


@frozen
class LeaseRequest:
    """A coordinator asks a home router for the slots of its servers."""

    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    sent_ms: int
    items: list[LeaseItem]


@frozen
class LeaseGrant:
    """Lease of the open slots of one server."""

    server: str = field(metadata=NAME)
    open_slots: int
    boot_id: str = field(metadata=NAME)
    running: int
    report_age_ms: int
    inherited_busy: int = 0
    new_holder: bool = False


@frozen
class LeaseReply:
    """Answers a lease request; valid for `lease_ms` from its `sent_ms`."""

    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    sent_ms: int
    lease_ms: int
    grants: list[LeaseGrant]


@frozen
class LeaseRelease:
    """Gives leases back before they lapse."""

    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
    items: list[LeaseItem]


@frozen
class ServerSign:
    """Tells a home router of a sign of cold start."""

    server: str = field(metadata=NAME)
    boot_id: str = field(metadata=NAME)
    sign: int


@frozen
class TransferRequest:
    """A new home router asks the former one for its servers."""

    control_offset: int
    servers: list[str]


@frozen
class TransferItem:
    """Home state of one server."""

    server: str = field(metadata=NAME)
    holder: str = field(metadata=NAME)
    holder_incarnation: int
    remaining_ms: int
    unsafe_ms: int
    boot_id: str = field(metadata=NAME)
    open_slots: int
    busy: int


@frozen
class TransferReply:
    """The former home router gives up the listed servers."""

    control_offset: int
    servers: list[str]
    items: list[TransferItem]


@frozen
class AccountCost:
    """Cost charged to an account by one coordinator."""

    account: str = field(metadata=NAME)
    cost: float
    waiting: int = 0


@frozen
class Counters:
    """A coordinator's counters for the other zones of its pool."""

    pool: str = field(metadata=NAME)
    zone: str = field(metadata=NAME)
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
    """What was seen of crashes; merges by union."""

    crashes: list[Crash]


@frozen
class Witness:
    """Word of a member that it no longer hears a router."""

    router: str
    incarnation: int


@frozen
class ServerUse:
    """What one router has placed on a backend server and is not finished.

    Args:
        running: Requests sent that have not ended.
        unread_tokens: Prompt tokens of requests without a first token, cached parts left out.
        context_tokens: Tokens that the running requests keep in memory.
        sent_last_s: Requests sent within the last second.
        waited_ms: Times to the first tokens that came within the last seconds, summed.
        expected_ms: What was predicted for the same requests.
        ended: Requests that ended within the last seconds.
        failed: Those of them that the server failed.
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
class AccountUse:
    """Tokens per second of one account at one router, asked for and admitted."""

    account: str
    asked_per_s: float
    admitted_per_s: float


class ViewScope(enum.IntEnum):
    """Whose load a view sums."""

    NOBODY = 0
    SENDER = 1
    ZONE = 2
    ALL_BUT_RECEIVER = 3


@frozen
class DepartingServer:
    """A backend server that says that it leaves.

    Args:
        born_ms: Start of its incarnation.
    """

    server: str = field(metadata=NAME)
    born_ms: int


@frozen
class LoadView:
    """A part of the fleet's load.

    Args:
        sent_ms: Sender's clock.
        scope: Whose load it sums, a `ViewScope`.
        routers: How many routers it sums.
        accounts: Rates of all accounts with requests, if the view has rates.
        late_ms: How late the routers' event loops are, summed.
        shedding: How many of the routers keep new callers away.
        departing: Servers that told one of the routers that they leave.
        has_rates: Whether the view tells of accounts. Most do not: rates change more slowly than
            loads, and those told before hold on.
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
    has_rates: bool = field(default=Factory(lambda self: bool(self.accounts), takes_self=True))


@frozen
class StoreNews:
    """A page of a topic that the sender has read from the store.

    Args:
        first_offset: Offset of the first record.
        next_offset: Offset behind the last record.
        records: As the store sent them.
        echo_ms: Newest `sent_ms` of the receiver's views that was heard before the page was
            current in the store; -1 if none was.
        after_outage: Whether the sender could not read the store for a while before.
    """

    topic: str
    first_offset: int
    next_offset: int
    records: bytes
    echo_ms: int
    after_outage: bool

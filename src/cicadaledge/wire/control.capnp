@0xb3d7f2a1c4e59016;

# Messages between routers. Field names match wire/_messages.py in camel case.
# A Name is an index into the list of all names that the sender has sent on this link in the `names`
# of its frames. Times ending in Ms are milliseconds on the clock of the process named in the comment.

using Name = UInt16;

struct Hello {
  router @0 :Text;
  incarnation @1 :UInt64;
  nonce @2 :Data;
}

struct Proof {
  digest @0 :Data;
}

struct Heartbeat {
  sentMs @0 :Int64;          # sender's clock
  echoMs @1 :Int64;          # receiver's clock: newest sentMs received from it, -1 if none
  controlOffset @2 :Int64;
  logAgeMs @3 :Int64;        # age of the sender's newest own read of the log, -1 if none
  leaving @4 :Bool;
  poisonCount @5 :UInt32;
  intervalMs @7 :UInt32;     # longest time until the sender's next heartbeat
  near @8 :Bool;             # the sender requests heartbeats at the short interval
  disowned @6 :Bool;         # the sender has voted for the receiver's removal
}

struct StateRequest {
  stream @0 :Text;
  haveOffset @1 :Int64;
}

struct StateReply {
  stream @0 :Text;
  offset @1 :Int64;
  data @2 :Data;
}

struct Descriptor {
  handle @0 :UInt32;         # chosen by the entry router
  account @1 :Name;
  pool @2 :Name;
  hintCost @3 :UInt32;
  prefixDigest @4 :UInt64;
  suspect @5 :Bool;
  excluded @6 :List(Name);
  entry @7 :Name;
  hops @8 :UInt8;
}

struct Running {
  handle @0 :UInt32;
  account @1 :Name;
  server @2 :Name;
  hintCost @3 :UInt32;
  cost @4 :UInt32;
  suspect @5 :Bool;
}

struct Adopt {
  pool @0 :Name;
  zone @1 :Name;
  running @2 :List(Running);
}

struct Enqueue {
  pool @0 :Name;
  zone @1 :Name;
  waiting @2 :List(Descriptor);
}

struct Progress {
  pool @0 :Name;
  zone @1 :Name;
  handles @2 :List(UInt32);
  costs @3 :List(UInt32);
}

struct Withdraw {
  pool @0 :Name;
  zone @1 :Name;
  handles @2 :List(UInt32);
}

struct Grant {
  handle @0 :UInt32;
  pool @1 :Name;
  zone @2 :Name;
  server @3 :Name;
  bootId @4 :Name;
  echoMs @5 :Int64;          # entry router's clock: newest sentMs that the coordinator had received
}

struct Done {
  handle @0 :UInt32;
  pool @1 :Name;
  zone @2 :Name;
  cost @3 :UInt32;
  outcome @4 :UInt8;
  firstTokenMs @5 :Int32;
}

struct LeaseItem {
  server @0 :Name;
  busy @1 :UInt16;
  completed @2 :UInt16;      # on-target completions since the last request
}

struct LeaseRequest {
  pool @0 :Name;
  zone @1 :Name;
  sentMs @2 :Int64;          # coordinator's clock
  items @3 :List(LeaseItem);
}

struct LeaseGrant {
  server @0 :Name;
  openSlots @1 :UInt16;
  bootId @2 :Name;
  running @3 :Int32;         # in the load report, -1 if requests of former grants may still start
  reportAgeMs @4 :Int64;     # age of the load report, -1 if there is none
  inheritedBusy @5 :UInt16;  # slots that former grants may occupy; counts for a new holder only
  newHolder @6 :Bool;
}

struct LeaseReply {
  pool @0 :Name;
  zone @1 :Name;
  sentMs @2 :Int64;          # coordinator's clock: sentMs of the request
  leaseMs @3 :UInt32;
  grants @4 :List(LeaseGrant);
}

struct LeaseRelease {
  pool @0 :Name;
  zone @1 :Name;
  items @2 :List(LeaseItem);
}

struct ServerSign {
  server @0 :Name;
  bootId @1 :Name;
  sign @2 :UInt8;
}

struct TransferRequest {
  controlOffset @0 :Int64;
  servers @1 :List(Text);
}

struct TransferItem {
  server @0 :Name;
  holder @1 :Name;
  holderIncarnation @2 :UInt64;
  remainingMs @3 :Int64;     # remaining validity of the holder's lease
  unsafeMs @4 :Int64;        # requests of former grants may start until then
  bootId @5 :Name;
  openSlots @6 :UInt16;
  busy @7 :UInt16;
}

struct TransferReply {
  controlOffset @0 :Int64;
  servers @2 :List(Text);    # all servers named in the request
  items @1 :List(TransferItem);
}

struct AccountCost {
  account @0 :Name;
  cost @1 :Float64;
  waiting @2 :UInt32;
}

struct Counters {
  pool @0 :Name;
  zone @1 :Name;
  sequence @2 :UInt64;
  freeSlots @3 :UInt32;
  floorCost @4 :Float64;     # lowest weighted counter of an account with waiting requests, -1 if none
  accounts @5 :List(AccountCost);
}

struct Crash {
  crash @0 :Text;
  ran @1 :List(Text);
  cleared @2 :List(Text);
}

struct Crashes {
  crashes @0 :List(Crash);
}

struct Witness {
  router @0 :Text;
  incarnation @1 :UInt64;
}

struct ServerUse {
  server @0 :Name;
  running @1 :UInt32;
  unreadTokens @2 :UInt32;
  contextTokens @3 :UInt32;
  sentLastS @4 :UInt32;
  waitedMs @5 :UInt32;       # sum of the times to first tokens that arrived within the last seconds
  expectedMs @6 :UInt32;     # sum of the times predicted for the same first tokens
  ended @7 :UInt32;          # requests that ended within the last seconds
  failed @8 :UInt32;         # how many of them failed because of the server
}

struct AccountUse {
  account @0 :Name;
  askedPerS @1 :Float32;
  admittedPerS @2 :Float32;
}

struct LoadView {
  sentMs @0 :Int64;          # sender's clock
  scope @1 :UInt8;           # ViewScope
  routers @2 :UInt32;
  leaving @3 :Bool;
  formerServers @4 :List(ServerUse);  # obsolete, sent by earlier versions
  formerAccounts @5 :List(AccountUse);  # obsolete, sent by earlier versions
  lateMs @6 :UInt32;         # sum of the delays of the routers' event loops
  shedding @7 :UInt32;       # how many of the routers shed load and get no new callers
  departing @8 :List(DepartingServer);
  servers @9 :ServerUses;
  hasRates @10 :Bool;        # the view contains rates; accounts is then complete, even if empty
  accounts @11 :AccountUses;
  begunPerS @12 :UInt32;     # tokens per second of the answers that engines have begun
  speeds @13 :SpeedReports;  # empty from earlier versions
}

struct SpeedReports {
  servers @0 :List(Name);
  figures @1 :Data;          # columns of SpeedReport, encoded as in ServerUses
}

struct AccountUses {
  accounts @0 :List(Name);
  figures @1 :Data;          # columns of AccountUse, encoded as in ServerUses
}

struct ServerUses {
  servers @0 :List(Name);
  figures @1 :Data;          # UInt32, little-endian: one column for each number of ServerUse, in order
}

struct DepartingServer {
  server @0 :Name;
  bornMs @1 :Int64;          # start of its incarnation
}

struct RolloutCell {
  route @0 :Name;
  isNew @1 :Bool;            # counts of the new version, or of the former ones
  sent @2 :UInt32;
  answered @3 :UInt32;
  failed @4 :UInt32;
  judged @5 :UInt32;         # answers whose duration could be compared
  slow @6 :UInt32;
  timed @7 :UInt32;
  logSum @8 :UInt64;         # sum of the logarithms of durations, in 64ths of a factor of two
}

struct RolloutView {
  scope @0 :UInt8;           # ViewScope
  service @1 :Name;
  to @2 :Name;               # version that the order names
  zone @3 :Name;
  incarnation @4 :UInt64;
  ageMs @5 :Int64;           # time since the order, -1 if unknown
  cells @6 :List(RolloutCell);
}

struct StoreNews {
  topic @0 :Text;
  firstOffset @1 :Int64;
  nextOffset @2 :Int64;
  records @3 :Data;          # as the store sent them
  echoMs @4 :Int64;          # receiver's clock: newest sentMs received before the read, -1 if none
  afterOutage @5 :Bool;
  epoch @6 :Int64 = -1;      # epoch of the store, -1 if it has none or the sender does not know it
}

struct Frame {
  names @20 :List(Text);
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    heartbeat @2 :Heartbeat;
    stateRequest @3 :StateRequest;
    stateReply @4 :StateReply;
    enqueue @5 :Enqueue;
    progress @6 :Progress;
    withdraw @7 :Withdraw;
    grant @8 :Grant;
    done @9 :Done;
    leaseRequest @10 :LeaseRequest;
    leaseReply @11 :LeaseReply;
    leaseRelease @12 :LeaseRelease;
    serverSign @13 :ServerSign;
    transferRequest @14 :TransferRequest;
    transferReply @15 :TransferReply;
    counters @16 :Counters;
    crashes @17 :Crashes;
    witness @18 :Witness;
    adopt @19 :Adopt;
    loadView @21 :LoadView;
    storeNews @22 :StoreNews;
    rolloutView @23 :RolloutView;
  }
}

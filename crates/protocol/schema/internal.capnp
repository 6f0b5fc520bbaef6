# Messages between the cluster's own processes. The types that the programs work with, and what each field means, are in
# src/internal/; src/codec/ converts between the two.
#
# The generated src/internal_capnp.rs is committed, so that the build needs no generator. After a change here:
#
#     cargo install capnpc --version 0.27.0
#     capnp compile -o rust:src --src-prefix=schema schema/internal.capnp
#
# Fields may be added at the end of a structure; numbers are never used again.

@0xd4c1f0a87be35926;

struct Frame {
  union {
    hello @0 :Hello;
    welcome @1 :Welcome;
    call @2 :ClientCall;
    reply @3 :ClientReply;
    report @4 :AgentReport;
    orders @5 :AgentOrders;
    # A message of the replication protocol, encoded by that part of the program.
    replication @6 :Data;
    # Questions of the command line tool and their answers, as the JSON that the tool shows.
    inspect @7 :Text;
    inspected @8 :Text;
  }
}

enum ProcessKind {
  edge @0;
  agent @1;
  core @2;
}

struct Hello {
  nodeName @0 :Text;
  kind @1 :ProcessKind;
  zone @2 :Text;
  incarnation @3 :UInt64;
  # 4 bytes of IPv4 or 16 of IPv6. Empty: a build that does not send it.
  ip @4 :Data;
}

# 4 bytes of IPv4 or 16 of IPv6.
struct SocketAddress {
  ip @0 :Data;
  port @1 :UInt16;
}

struct MemberAddress {
  nodeName @0 :Text;
  internal @1 :SocketAddress;
  control @2 :SocketAddress;
}

struct IngressLimits {
  maxHeaderBytes @0 :UInt64;
  maxBodyBytes @1 :UInt64;
  headerTimeoutMs @2 :UInt64;
  idleTimeoutMs @3 :UInt64;
}

struct Welcome {
  view @0 :UInt64;
  # Missing: no head is known.
  head @1 :MemberAddress;
  members @2 :List(MemberAddress);
  acting @3 :Bool;
  configVersion @4 :UInt64;
  limits @5 :IngressLimits;
}

struct Resources {
  cpu @0 :UInt64;
  memMb @1 :UInt64;
  gpu @2 :UInt64;
}

struct Step {
  count @0 :UInt32;
  antiAffinity @1 :UInt32;
  cpu @2 :UInt64;
  memMb @3 :UInt64;
  gpu @4 :UInt64;
  estimateMs @5 :UInt64;
  dependsOn @6 :List(UInt32);
  requirements @7 :Text;
  affinity @8 :Text;
  checkpoints @9 :Bool;
  gang @10 :Bool;
  rackLocal @11 :Bool;
  speculative @12 :Bool;
  longRunning @13 :Bool;
}

struct JobSpec {
  spec @0 :Text;
  stages @1 :List(Step);
  repeatCount @2 :UInt32;
  startAtMs @3 :UInt64;
  intervalMs @4 :UInt64;
}

struct ClientCall {
  call @0 :UInt64;
  host @1 :Text;
  path @2 :Text;
  operation :union {
    submit @3 :JobSpec;
    get @4 :Void;
    cancel @5 :Void;
  }
}

enum JobState {
  queued @0;
  running @1;
  completed @2;
  failed @3;
  cancelled @4;
}

struct ClientReply {
  call @0 :UInt64;
  outcome :union {
    accepted @1 :Void;
    # The value of these two is when to come back, in milliseconds.
    tooMany @2 :UInt64;
    unavailable @3 :UInt64;
    unknownRoute @4 :Void;
    # Why.
    invalid @5 :Text;
    state @6 :JobState;
    noSuchJob @7 :Void;
    pending @8 :UInt64;
    cancelled @9 :Void;
  }
}

# One start of a task: ID.K.STEP.INDEX and the number of the run.
struct RunId {
  job @0 :UInt64;
  repeat @1 :UInt32;
  step @2 :UInt32;
  index @3 :UInt32;
  attempt @4 :UInt32;
}

struct AgentReport {
  sentMs @0 :UInt64;
  # Missing: no worker has registered.
  instance @1 :InstanceReport;
  endedInstances @2 :List(Text);
  notStarted @3 :List(RunId);
  # 0: the report carries no update, or its sender does not number them.
  newestUpdate @4 :UInt64;
}

enum WorkerState {
  ready @0;
  draining @1;
}

enum RunEnd {
  done @0;
  failed @1;
  stopped @2;
  expired @3;
  broken @4;
  alone @5;
  refused @6;
}

struct InstanceReport {
  id @0 :Text;
  backend @1 :Text;
  zone @2 :Text;
  state @3 :WorkerState;
  remaining :union {
    unknown @4 :Void;
    milliseconds @5 :UInt64;
  }
  warmupRemainingMs @6 :UInt64;
  capacity @7 :Resources;
  labels @8 :List(Text);
  sinceHeartbeatMs @9 :UInt64;
  # Missing: as in the last report on this connection.
  running @10 :List(RunningRun);
  finished @11 :List(FinishedRun);
  inFlight @12 :List(RunId);
}

struct RunningRun {
  run @0 :RunId;
  checkpoint @1 :Text;
  percent @2 :UInt32;
}

struct FinishedRun {
  number @0 :UInt64;
  run @1 :RunId;
  end @2 :RunEnd;
  checkpoint @3 :Text;
}

struct AgentOrders {
  epoch @0 :UInt64;
  echoSent :union {
    none @1 :Void;
    milliseconds @2 :UInt64;
  }
  instance @3 :Text;
  start @4 :List(StartOrder);
  stop @5 :List(RunId);
  acknowledgedEnd :union {
    none @6 :Void;
    number @7 :UInt64;
  }
  # None: the sender does not acknowledge updates.
  acknowledgedUpdate :union {
    none @8 :Void;
    number @9 :UInt64;
  }
}

struct StartOrder {
  run @0 :RunId;
  resources @1 :Resources;
  spec @2 :Text;
  checkpoint @3 :Text;
}

@0xe03caeca3145f224;
# Messages, log records and snapshots of the control group.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("teaseljunction::wire::control");

struct GroupMember {
  memberId @0 :UInt64;
  address @1 :Text;
  dataCentre @2 :Text;
  voter @3 :Bool;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Answer {
  status @0 :Int32;
  headers @1 :List(Header);
  body @2 :Data;
}

struct Command {
  union {
    empty @0 :Void;
    submitManifest @1 :SubmitManifest;
    claim @2 :Claim;
    complete @3 :Complete;
    release @4 :Release;
    quarantine @5 :Data;
    addLearner @6 :GroupMember;
    promote @7 :UInt64;
    removeMember @8 :UInt64;
  }

  struct SubmitManifest {
    version @0 :UInt64;
    digest @1 :Data;
    content @2 :Data;
    # True when `base` holds the version that this manifest is meant to replace.
    hasBase @3 :Bool;
    base @4 :UInt64;
  }

  struct Claim {
    clientAccount @0 :Data;
    identity @1 :Data;
    fingerprint @2 :Data;
    attemptId @3 :Data;
  }

  struct Complete {
    clientAccount @0 :Data;
    identity @1 :Data;
    attemptId @2 :Data;
    answer @3 :Answer;
  }

  struct Release {
    clientAccount @0 :Data;
    identity @1 :Data;
    attemptId @2 :Data;
  }
}

struct Record {
  index @0 :UInt64;
  term @1 :UInt64;
  timeNanos @2 :Int64;
  kind @3 :UInt8;
  data @4 :Data;
  configuration @5 :List(GroupMember);
}

struct HardState {
  memberId @0 :UInt64;
  groupId @1 :UInt64;
  term @2 :UInt64;
  vote @3 :UInt64;
  initialVoters @4 :List(GroupMember);
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  timeNanos @2 :Int64;
  configuration @3 :List(GroupMember);
  data @4 :Data;
}

# The changes that the journal makes durable with one sync.
struct JournalFrame {
  hardState @0 :HardState;
  # True when the frame resets the log to start after record `baseIndex` of term `baseTerm`.
  base @1 :Bool;
  baseIndex @2 :UInt64;
  baseTerm @3 :UInt64;
  records @4 :List(Record);
  # Length of the segment, in bytes, that was durable before this frame was written, and the member
  # that wrote it. The member is 0 in frames of earlier releases, which do not name the length.
  durableBytes @5 :UInt64;
  writerId @6 :UInt64;
}

struct RaftMessage {
  kind @0 :UInt8;
  groupId @1 :UInt64;
  from @2 :UInt64;
  to @3 :UInt64;
  term @4 :UInt64;
  logIndex @5 :UInt64;
  logTerm @6 :UInt64;
  commitIndex @7 :UInt64;
  accepted @8 :Bool;
  hint @9 :UInt64;
  sentNanos @10 :Int64;
  records @11 :List(Record);
  snapshot @12 :Snapshot;
  # Address that responses are sent to.
  fromAddress @13 :Text;
}

# Exchanged during the bootstrap of a group.
struct Hello {
  address @0 :Text;
  dataCentre @1 :Text;
  memberId @2 :UInt64;
  groupId @3 :UInt64;
  initialVoters @4 :List(GroupMember);
  # True when the sender expects a hello in return.
  request @5 :Bool;
}

struct Message {
  union {
    raft @0 :RaftMessage;
    hello @1 :Hello;
  }
}

struct ReplicatedState {
  manifest @0 :Command.SubmitManifest;
  claims @1 :List(ClaimEntry);
  answers @2 :List(AnswerEntry);
  quarantined @3 :List(Data);
  answerBytes @4 :UInt64;
  # Digests of the most recently accepted manifests, oldest first.
  acceptedDigests @5 :List(Data);

  struct ClaimEntry {
    identityHigh @0 :UInt64;
    identityLow @1 :UInt64;
    fingerprintHigh @2 :UInt64;
    fingerprintLow @3 :UInt64;
    attemptHigh @4 :UInt64;
    attemptLow @5 :UInt64;
    grantedNanos @6 :Int64;
    completed @7 :Bool;
  }

  # In the order in which the responses were recorded.
  struct AnswerEntry {
    # Index of the claim in `claims`.
    claim @0 :UInt32;
    answer @1 :Answer;
  }
}

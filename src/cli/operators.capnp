@0xe7b15d0c94a2f683;

# JSON documents of the operators' port and of the command-line tool. Cap'n Proto writes 64-bit
# integers as JSON strings and reads them from strings and numbers.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("teaseljunction::schema");

struct Problem {
  type @0 :Text;
  title @1 :Text;
  status @2 :UInt32;
  detail @3 :Text;
}

struct SubmitAnswer {
  version @0 :UInt64;
  digest @1 :Text;
  alreadyAccepted @2 :Bool;
}

struct MemberChange {
  action @0 :Text;
  memberId @1 :UInt64;
  address @2 :Text;
  dataCentre @3 :Text;
}

struct StatusTarget {
  service @0 :Text;
  slots @1 :UInt32;
  draining @2 :Bool;
  incarnation @3 :UInt64;
}

struct StatusDaemon {
  daemonId @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  service @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  manifestVersion @6 :UInt64;
}

struct StatusMember {
  memberId @0 :UInt64;
  address @1 :Text;
  dataCentre @2 :Text;
  voter @3 :Bool;
}

struct StatusControl {
  role @0 :Text;
  term @1 :UInt64;
  commitIndex @2 :UInt64;
  leaderAddress @3 :Text;
  members @4 :List(StatusMember);
}

struct Status {
  daemonId @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  manifestVersion @3 :UInt64;
  manifestDigest @4 :Text;
  fresh @5 :Bool;
  callsRunning @6 :UInt64;
  callsQueued @7 :UInt64;
  concurrencyLimit @8 :UInt64;
  draining @9 :Bool;
  target @10 :StatusTarget;
  directory @11 :List(StatusDaemon);
  control @12 :StatusControl;
}

struct MemberList {
  leaderAddress @0 :Text;
  members @1 :List(StatusMember);
}

struct CheckResult {
  valid @0 :Bool;
  detail @1 :Text;
  version @2 :Float64;
  digest @3 :Text;
  clientAccounts @4 :UInt32;
  services @5 :UInt32;
  routes @6 :UInt32;
}

struct NewKey {
  key @0 :Text;
  digest @1 :Text;
}

struct Change {
  kind @0 :Text;
  object @1 :Text;
  name @2 :Text;
  field @3 :Text;
  # Values encoded as JSON.
  before @4 :Text;
  after @5 :Text;
}

struct ChangeList {
  changes @0 :List(Change);
}

struct CallResult {
  status @0 :UInt32;
  requestId @1 :Text;
  outcome @2 :Text;
  body @3 :Text;
}

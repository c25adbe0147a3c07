# RPC protocol between daemons. After a change, regenerate the code in src/rpc/ with
#   capnp compile -oc++:generated --src-prefix=. -I/usr/include node.capnp
# New fields are only added at the end of a struct, so that daemons of different versions stay
# compatible.
@0xbb2fadd4fc9db8b9;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("teaseljunction::wire");

# Durations are in nanoseconds unless the name gives a unit. Enums of the native types are sent as
# their numbers.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Error {
  kind @0 :UInt8;
  detail @1 :Text;
}

struct Call {
  requestId @0 :Text;
  service @1 :Text;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  clientAccount @6 :Text;
  priority @7 :UInt8;
  cohort @8 :UInt8;
  depth @9 :UInt32;
  attemptBudget @10 :UInt32;
  timeLeft @11 :Int64;
  idempotent @12 :Bool;
  identity @13 :Text;
  fingerprint @14 :Text;
  route @15 :Text;
  # The largest value means no limit.
  maxWait @16 :Int64 = 9223372036854775807;
}

struct Answer {
  status @0 :Int32;
  headers @1 :List(Header);
  body @2 :Data;
}

struct ExecuteResult {
  union {
    answer @0 :Answer;
    failure @1 :Error;
  }
  levelPriority @2 :UInt8;
  levelCohort @3 :UInt8;
  unusedAttempts @4 :UInt32;
  serviceTime @5 :Int64;
  targetFailed @6 :Bool;
  # Cost of a request of the route at each service; empty when not reported.
  costs @7 :List(ServiceCost);
  # Running and waiting calls at the target relative to the number that it can run at once.
  load @8 :Float32;
}

struct ServiceCost {
  service @0 :Text;
  calls @1 :Float32;
  pressure @2 :Float32;
  # Time in nanoseconds from the measurement of the pressure to this message.
  pressureAge @3 :Int64;
}

struct Target {
  service @0 :Text;
  incarnation @1 :UInt64;
  slots @2 :UInt32;
  draining @3 :Bool;
  load @4 :Float64;
  address @5 :Text;
  targetId @6 :Text;
  # Negative when the target does not report it.
  warmUpMs @7 :Int64 = -1;
}

struct Daemon {
  daemonId @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  dataCentre @3 :Text;
  target @4 :Target;
  draining @5 :Bool;
  manifestVersion @6 :UInt64;
  controlMemberId @7 :UInt64;
}

struct TokenDemand {
  clientAccount @0 :Text;
  tokens @1 :UInt32;
  waiting @2 :UInt32;
  missed @3 :UInt32;
}

struct CrashReport {
  fingerprint @0 :Text;
  target @1 :Text;
  completed @2 :Bool;
  age @3 :Int64;
}

struct SyncRequest {
  daemon @0 :Daemon;
  manifestVersion @1 :UInt64;
  manifestDigest @2 :Text;
  directoryEpoch @3 :UInt64;
  directoryVersion @4 :UInt64;
  quarantineSize @5 :UInt64;
  demands @6 :List(TokenDemand);
  crashes @7 :List(CrashReport);
  # True if the daemon reads compressed manifests.
  acceptsCompressed @8 :Bool;
}

struct Manifest {
  version @0 :UInt64;
  digest @1 :Text;
  content @2 :Text;
  # Set when a submission gives the version that it replaces, in `base`.
  hasBase @3 :Bool;
  base @4 :UInt64;
  # The content in the zlib format, in place of `content`, for daemons that accept it.
  compressedContent @5 :Data;
}

struct DirectoryEntry {
  daemon @0 :Daemon;
  present @1 :Bool;
}

struct Directory {
  epoch @0 :UInt64;
  version @1 :UInt64;
  whole @2 :Bool;
  entries @3 :List(DirectoryEntry);
  settled @4 :Bool;
}

struct TokenGrant {
  clientAccount @0 :Text;
  tokens @1 :UInt32;
  lifetime @2 :Int64;
  retryAfter @3 :Int64;
  scarce @4 :Bool;
}

struct SyncResponse {
  fromLeader @0 :Bool;
  leaderAddress @1 :Text;
  manifest @2 :Manifest;
  directory @3 :Directory;
  grants @4 :List(TokenGrant);
  quarantined @5 :List(Text);
  suspects @6 :List(Text);
  # Addresses of all control members.
  controlAddresses @7 :List(Text);
  # Set when a later incarnation of the daemon is known: the incarnation that it has to exceed.
  outdatedBy @8 :UInt64;
}

struct Claim {
  clientAccount @0 :Text;
  identity @1 :Text;
  fingerprint @2 :Text;
  attemptId @3 :Text;
}

struct Complete {
  clientAccount @0 :Text;
  identity @1 :Text;
  attemptId @2 :Text;
  answer @3 :Answer;
}

struct Release {
  clientAccount @0 :Text;
  identity @1 :Text;
  attemptId @2 :Text;
}

struct AddLearner {
  memberId @0 :UInt64;
  address @1 :Text;
  dataCentre @2 :Text;
}

struct Command {
  union {
    empty @0 :Void;
    submitManifest @1 :Manifest;
    claim @2 :Claim;
    complete @3 :Complete;
    release @4 :Release;
    quarantine @5 :Text;
    addLearner @6 :AddLearner;
    promote @7 :UInt64;
    removeMember @8 :UInt64;
  }
}

struct CommandResult {
  applied @0 :Bool;
  failure @1 :Error;
  alreadyAccepted @2 :Bool;
  claim @3 :UInt8;
  answer @4 :Answer;
}

struct ProposeResponse {
  fromLeader @0 :Bool;
  leaderAddress @1 :Text;
  result @2 :CommandResult;
}

struct Member {
  memberId @0 :UInt64;
  address @1 :Text;
  dataCentre @2 :Text;
  voter @3 :Bool;
}

struct Status {
  daemon @0 :Daemon;
  manifestVersion @1 :UInt64;
  manifestDigest @2 :Text;
  fresh @3 :Bool;
  callsRunning @4 :UInt64;
  callsQueued @5 :UInt64;
  concurrencyLimit @6 :UInt64;
  directory @7 :List(Daemon);
  control @8 :Bool;
  role @9 :UInt8;
  term @10 :UInt64;
  commitIndex @11 :UInt64;
  leaderAddress @12 :Text;
  members @13 :List(Member);
}

interface Node {
  execute @0 Call -> ExecuteResult;
  sync @1 SyncRequest -> SyncResponse;
  propose @2 Command -> ProposeResponse;
  raft @3 (message :Data) -> ();
  manifest @4 () -> Manifest;
  status @5 () -> Status;
  # Asks the daemon to synchronise soon, because there is a new manifest.
  refresh @6 () -> ();
}

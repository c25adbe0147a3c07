@0xd5c0a3f1e8b94c27;

# JSON documents of the stand-in target. Numbers are Float64 where they can exceed 32 bits, because
# Cap'n Proto writes 64-bit integers as JSON strings.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("teaseljunction::schema");

struct TargetAnnouncement {
  service @0 :Text;
  incarnation @1 :Float64;
  slots @2 :UInt32;
  draining @3 :Bool;
  load @4 :Float64;
  address @5 :Text;
}

struct ChildResult {
  call @0 :Text;
  # 0 when no response was received.
  status @1 :UInt32;
}

struct StandinAnswer {
  requestId @0 :Text;
  service @1 :Text;
  method @2 :Text;
  path @3 :Text;
  bodyDigest @4 :Text;
  idempotencyKey @5 :Text;
  result @6 :Text;
  children @7 :List(ChildResult);
}

struct Count {
  value @0 :Text;
  count @1 :UInt32;
}

struct StandinStats {
  service @0 :Text;
  incarnation @1 :Float64;
  running @2 :UInt32;
  queued @3 :UInt32;
  started @4 :Float64;
  completed @5 :Float64;
  failed @6 :Float64;
  shed @7 :Float64;
  cancelled @8 :Float64;
  expired @9 :Float64;
  idempotencyKeys @10 :List(Count);
  requestIds @11 :List(Count);
  keyLikeHeaders @12 :List(Count);
  # Identifiers that were not counted because the tables were full.
  uncounted @13 :Float64;
}

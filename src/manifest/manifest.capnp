@0xa61f7a1b0c5d3e92;

# Schema of the JSON format of a manifest. Field names are the JSON names. The defaults must equal
# those in manifest/types.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("teaseljunction::schema");

enum Priority {
  critical @0;
  high @1;
  normal @2;
  low @3;
}

struct ClientAccount {
  name @0 :Text;
  rate @1 :Float64;
  burst @2 :Float64;
  keyDigests @3 :List(Text);
}

struct Service {
  name @0 :Text;
  maxConcurrency @1 :UInt32;
  retryRatio @2 :Float64 = 0.1;
}

struct Route {
  name @0 :Text;
  method @1 :Text;
  path @2 :Text;
  service @3 :Text;
  priority @4 :Priority = normal;
  idempotent @5 :Bool;
  open @6 :Bool;
  timeoutMs @7 :UInt32 = 5000;
  maxAttempts @8 :UInt32 = 64;
}

struct Manifest {
  version @0 :UInt64;
  clientAccounts @1 :List(ClientAccount);
  services @2 :List(Service);
  routes @3 :List(Route);
  # "reactive" or "planned". A text, because the JSON codec leaves out texts that are not set: the
  # canonical form, and thereby the digest, of manifests without this field stays as it was.
  overloadControl @4 :Text;
}

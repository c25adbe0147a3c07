#include <utility>

#include "common/compression.h"
#include "common/log.h"
#include "membership/announcement_check.h"
#include "rpc/internal/convert.h"

namespace teaseljunction {
namespace {

/// Largest content of a compressed manifest. RPC messages have the same limit.
constexpr size_t kMaxManifestContentBytes = size_t{16} << 20;

void Encode(const target_announcement& value, wire::Target::Builder out) {
  out.setService(ToText(value.service));
  out.setIncarnation(value.incarnation);
  out.setSlots(value.slots);
  out.setDraining(value.draining);
  out.setLoad(value.load);
  out.setAddress(ToText(value.address));
  out.setTargetId(ToText(value.target_id));
  if (value.warm_up_remaining) out.setWarmUpMs(absl::ToInt64Milliseconds(*value.warm_up_remaining));
}

target_announcement Decode(wire::Target::Reader in) {
  target_announcement value;
  value.service = FromText(in.getService());
  value.incarnation = in.getIncarnation();
  value.slots = in.getSlots();
  value.draining = in.getDraining();
  value.load = in.getLoad();
  value.address = FromText(in.getAddress());
  value.target_id = FromText(in.getTargetId());
  if (in.getWarmUpMs() >= 0) value.warm_up_remaining = absl::Milliseconds(in.getWarmUpMs());
  return value;
}

void EncodeDemands(const std::vector<token_demand>& demands,
                   capnp::List<wire::TokenDemand>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setClientAccount(ToText(demands[i].client_account));
    out[i].setTokens(demands[i].tokens);
    out[i].setWaiting(demands[i].waiting_calls);
    out[i].setMissed(demands[i].consecutive_denials);
  }
}

void EncodeCrashes(const std::vector<crash_report>& crashes,
                   capnp::List<wire::CrashReport>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setFingerprint(ToText(crashes[i].fingerprint));
    out[i].setTarget(ToText(crashes[i].target));
    out[i].setCompleted(crashes[i].completed);
    out[i].setAge(ToWire(crashes[i].age));
  }
}

void EncodeDirectory(const directory_update& directory, wire::Directory::Builder out) {
  out.setEpoch(directory.epoch);
  out.setVersion(directory.version);
  out.setWhole(directory.full);
  out.setSettled(directory.settled);
  auto entries = out.initEntries(directory.entries.size());
  for (unsigned i = 0; i < entries.size(); ++i) {
    teaseljunction::Encode(directory.entries[i].daemon, entries[i].initDaemon());
    entries[i].setPresent(directory.entries[i].present);
  }
}

directory_update DecodeDirectory(wire::Directory::Reader in) {
  directory_update directory;
  directory.epoch = in.getEpoch();
  directory.version = in.getVersion();
  directory.full = in.getWhole();
  directory.settled = in.getSettled();
  for (const auto entry : in.getEntries()) {
    daemon_announcement daemon = teaseljunction::Decode(entry.getDaemon());
    if (FindDaemonError(daemon)) continue;
    directory.entries.push_back({std::move(daemon), entry.getPresent()});
  }
  return directory;
}

void EncodeGrants(const std::vector<token_grant>& grants,
                  capnp::List<wire::TokenGrant>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setClientAccount(ToText(grants[i].client_account));
    out[i].setTokens(grants[i].tokens);
    out[i].setLifetime(ToWire(grants[i].lifetime));
    out[i].setRetryAfter(ToWire(grants[i].retry_after));
    out[i].setScarce(grants[i].scarce);
  }
}

void EncodeManifest(const sync_response& value, wire::Manifest::Builder out) {
  if (value.compressed_manifest == nullptr) return teaseljunction::Encode(value.manifest, out);
  out.setVersion(value.manifest.version);
  out.setDigest(ToText(value.manifest.digest));
  const std::string& content = *value.compressed_manifest;
  out.setCompressedContent(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(content.data()), content.size()));
}

manifest_record DecodeManifest(wire::Manifest::Reader in) {
  manifest_record value = teaseljunction::Decode(in);
  if (!in.hasCompressedContent()) return value;
  const auto bytes = in.getCompressedContent().asChars();
  auto content = Capture<std::string>([&] {
    return Decompress({bytes.begin(), bytes.size()}, kMaxManifestContentBytes);
  });
  if (const auto* failure = std::get_if<error>(&content)) {
    LOG(ERROR) << "sync: manifest version " << value.version << " is unusable: " << failure->detail;
    return value;
  }
  value.content = std::get<std::string>(std::move(content));
  return value;
}

}  // namespace

void Encode(const daemon_announcement& value, wire::Daemon::Builder out) {
  out.setDaemonId(ToText(value.daemon_id));
  out.setIncarnation(value.incarnation);
  out.setAddress(ToText(value.address));
  out.setDataCentre(ToText(value.data_centre));
  if (value.target) Encode(*value.target, out.initTarget());
  out.setDraining(value.draining);
  out.setManifestVersion(value.manifest_version);
  out.setControlMemberId(value.control_member_id);
}

daemon_announcement Decode(wire::Daemon::Reader in) {
  daemon_announcement value;
  value.daemon_id = FromText(in.getDaemonId());
  value.incarnation = in.getIncarnation();
  value.address = FromText(in.getAddress());
  value.data_centre = FromText(in.getDataCentre());
  if (in.hasTarget()) {
    target_announcement target = Decode(in.getTarget());
    if (!FindAnnouncementError(target)) value.target = std::move(target);
  }
  value.draining = in.getDraining();
  value.manifest_version = in.getManifestVersion();
  value.control_member_id = in.getControlMemberId();
  return value;
}

void Encode(const sync_request& value, wire::SyncRequest::Builder out) {
  Encode(value.daemon, out.initDaemon());
  out.setManifestVersion(value.manifest_version);
  out.setManifestDigest(ToText(value.manifest_digest));
  out.setDirectoryEpoch(value.directory_epoch);
  out.setDirectoryVersion(value.directory_version);
  out.setQuarantineSize(value.quarantine_size);
  EncodeDemands(value.demands, out.initDemands(value.demands.size()));
  EncodeCrashes(value.crashes, out.initCrashes(value.crashes.size()));
  out.setAcceptsCompressed(value.accepts_compressed);
}

sync_request Decode(wire::SyncRequest::Reader in) {
  sync_request value;
  value.daemon = Decode(in.getDaemon());
  value.manifest_version = in.getManifestVersion();
  value.manifest_digest = FromText(in.getManifestDigest());
  value.directory_epoch = in.getDirectoryEpoch();
  value.directory_version = in.getDirectoryVersion();
  value.quarantine_size = in.getQuarantineSize();
  for (const auto demand : in.getDemands()) {
    value.demands.push_back({FromText(demand.getClientAccount()), demand.getTokens(),
                             demand.getWaiting(), demand.getMissed()});
  }
  for (const auto crash : in.getCrashes()) {
    value.crashes.push_back({FromText(crash.getFingerprint()), FromText(crash.getTarget()),
                             crash.getCompleted(), DurationFromWire(crash.getAge())});
  }
  value.accepts_compressed = in.getAcceptsCompressed();
  return value;
}

void Encode(const sync_response& value, wire::SyncResponse::Builder out) {
  out.setFromLeader(value.from_leader);
  out.setLeaderAddress(ToText(value.leader_address));
  EncodeManifest(value, out.initManifest());
  EncodeDirectory(value.directory, out.initDirectory());
  EncodeGrants(value.grants, out.initGrants(value.grants.size()));
  auto quarantined = out.initQuarantined(value.quarantined_fingerprints.size());
  for (unsigned i = 0; i < quarantined.size(); ++i) {
    quarantined.set(i, ToText(value.quarantined_fingerprints[i]));
  }
  auto suspects = out.initSuspects(value.suspect_fingerprints.size());
  for (unsigned i = 0; i < suspects.size(); ++i)
    suspects.set(i, ToText(value.suspect_fingerprints[i]));
  out.setOutdatedBy(value.newer_incarnation);
  auto addresses = out.initControlAddresses(value.control_addresses.size());
  for (unsigned i = 0; i < addresses.size(); ++i) {
    addresses.set(i, ToText(value.control_addresses[i]));
  }
}

sync_response Decode(wire::SyncResponse::Reader in) {
  sync_response value;
  value.from_leader = in.getFromLeader();
  value.leader_address = FromText(in.getLeaderAddress());
  value.manifest = DecodeManifest(in.getManifest());
  value.directory = DecodeDirectory(in.getDirectory());
  for (const auto grant : in.getGrants()) {
    value.grants.push_back({FromText(grant.getClientAccount()), grant.getTokens(),
                            DurationFromWire(grant.getLifetime()),
                            DurationFromWire(grant.getRetryAfter()), grant.getScarce()});
  }
  for (const auto fingerprint : in.getQuarantined()) {
    value.quarantined_fingerprints.push_back(FromText(fingerprint));
  }
  for (const auto fingerprint : in.getSuspects()) {
    value.suspect_fingerprints.push_back(FromText(fingerprint));
  }
  value.newer_incarnation = in.getOutdatedBy();
  for (const auto address : in.getControlAddresses()) {
    value.control_addresses.push_back(FromText(address));
  }
  return value;
}

}  // namespace teaseljunction

#include "daemon/leader_service.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "common/compression.h"
#include "common/log.h"
#include "daemon/account_rates.h"
#include "membership/announcement_check.h"

namespace teaseljunction {
namespace {

std::string Describe(const command& change) {
  if (const auto* added = std::get_if<add_learner>(&change)) {
    return absl::StrCat("member ", added->member_id, " at ", added->address, " becomes a learner");
  }
  if (const auto* promoted = std::get_if<promote_learner>(&change)) {
    return absl::StrCat("learner ", promoted->member_id, " becomes a voter");
  }
  const auto* removed = std::get_if<remove_member>(&change);
  return absl::StrCat("member ", removed == nullptr ? 0 : removed->member_id, " is removed");
}

}  // namespace

leader_service::leader_service(const clock_source& clock, control_member& member,
                               peer_client& peers, const manifest_decoder& decode,
                               const membership_planner_settings& planner,
                               const rate_tolerance& tolerance)
    : clock_(clock),
      member_(member),
      peers_(peers),
      decode_(decode),
      tolerance_(tolerance),
      planner_(planner) {}

void leader_service::RequestSyncs() {
  if (!member_.IsLeader()) return;
  std::vector<daemon_announcement> daemons;
  {
    absl::MutexLock lock(&directory_mutex_);
    daemons = directory_.Daemons();
  }
  for (const daemon_announcement& daemon : daemons) peers_.RequestSync(daemon.address);
}

// Returns false when the lease is not held at `now`.
bool leader_service::StartTermIfNew(absl::Time now) {
  absl::MutexLock lock(&term_mutex_);
  // Checks the lease at the time that is used for all decisions of this sync. A process that is
  // suspended after the check then still decides as of a time at which it was the leader.
  if (!member_.HoldsLease(now)) return false;
  const uint64_t term = member_.Status().term;
  if (term == term_) return true;
  term_ = term;
  LOG(INFO) << "control: this daemon is the leader in term " << term << ".";
  {
    absl::MutexLock directory_lock(&directory_mutex_);
    directory_.StartTerm(term, now);
  }
  {
    absl::MutexLock tokens_lock(&tokens_mutex_);
    tokens_.StartTerm(now);
    accounts_version_ = 0;
  }
  {
    absl::MutexLock planner_lock(&planner_mutex_);
    planner_.StartTerm(now);
  }
  absl::MutexLock crash_lock(&crash_mutex_);
  crashes_ = crash_tracker();
  return true;
}

sync_response leader_service::Sync(const sync_request& request) {
  sync_response response;
  const absl::Time now = clock_.Now();
  if (!StartTermIfNew(now)) {
    response.leader_address = member_.LeaderAddress();
    return response;
  }
  const auto manifest = member_.CurrentManifest();
  if (manifest->version != request.manifest_version ||
      manifest->digest != request.manifest_digest) {
    response.manifest = *manifest;
    if (request.accepts_compressed) response.compressed_manifest = CompressedContent(*manifest);
  }
  response.directory = UpdateDirectory(request, now, response.newer_incarnation);
  response.grants = Grant(request, now);
  response.suspect_fingerprints = ProcessCrashReports(request, now);
  response.quarantined_fingerprints = member_.QuarantinedFrom(request.quarantine_size);
  response.control_addresses = RecordMember(request.daemon, now);
  response.from_leader = true;
  return response;
}

std::shared_ptr<const std::string> leader_service::CompressedContent(
    const manifest_record& manifest) {
  absl::MutexLock lock(&compression_mutex_);
  if (compressed_content_ == nullptr || compressed_digest_ != manifest.digest) {
    compressed_content_ = std::make_shared<const std::string>(Compress(manifest.content));
    compressed_digest_ = manifest.digest;
  }
  return compressed_content_;
}

directory_update leader_service::UpdateDirectory(const sync_request& request, absl::Time now,
                                                 uint64_t& newer_incarnation) {
  absl::MutexLock lock(&directory_mutex_);
  if (const auto problem = FindDaemonError(request.daemon)) {
    LOG(WARNING) << "membership: heartbeat ignored: " << *problem;
  } else if (!directory_.Heartbeat(request.daemon, now)) {
    newer_incarnation = directory_.KnownIncarnation(request.daemon.daemon_id);
  }
  const size_t removed = directory_.Expire(now);
  if (removed > 0) {
    LOG(INFO) << "membership: " << removed << " daemons removed because they sent no heartbeat.";
  }
  return directory_.ChangesSince(request.directory_epoch, request.directory_version);
}

std::vector<std::string> leader_service::RecordMember(const daemon_announcement& daemon,
                                                      absl::Time now) {
  const control_status status = member_.Status();
  if (daemon.control_member_id != 0 && !FindDaemonError(daemon)) {
    absl::MutexLock lock(&planner_mutex_);
    planner_.RecordContact(
        {daemon.control_member_id, daemon.address, daemon.data_centre, daemon.draining}, now);
  }
  if (!status.members_committed) return {};
  PlanNextChange(status, daemon.address, now);
  std::vector<std::string> addresses;
  for (const control_member_info& member : status.members) addresses.push_back(member.address);
  return addresses;
}

void leader_service::PlanMembers() {
  const absl::Time now = clock_.Now();
  if (!StartTermIfNew(now)) return;
  const control_status status = member_.Status();
  if (!status.members_committed) return;
  PlanNextChange(status, status.leader_address, now);
}

void leader_service::PlanNextChange(const control_status& status, std::string reporter,
                                    absl::Time now) {
  absl::optional<command> change;
  {
    absl::MutexLock lock(&planner_mutex_);
    planner_.RecordProgress(status.progress);
    change = planner_.NextChange(status.members, status.member_id, now);
  }
  if (change) ProposeChange(*std::move(change), std::move(reporter));
}

void leader_service::ProposeChange(command change, std::string reporter) {
  std::string description = Describe(change);
  member_.Propose(std::move(change),
                  [this, reporter = std::move(reporter),
                   description = std::move(description)](const propose_response& response) {
                    if (!response.result.applied) {
                      LOG(WARNING) << "control: not changed: " << description << ": "
                                   << response.result.failure.detail;
                      return;
                    }
                    LOG(INFO) << "control: " << description << ".";
                    {
                      absl::MutexLock lock(&planner_mutex_);
                      planner_.AllowNextChange();
                    }
                    // A replacement consists of several changes. Each of them is planned on a sync.
                    peers_.RequestSync(reporter);
                  });
}

void leader_service::UpdateAccounts(absl::Time now) {
  const auto record = member_.CurrentManifest();
  if (record->version == accounts_version_) return;
  const auto decoded = Capture<manifest>([&] { return decode_(record->content); });
  if (decoded.index() != 0) return;
  tokens_.SetAccounts(AccountRates(std::get<manifest>(decoded), tolerance_), now);
  accounts_version_ = record->version;
}

std::vector<token_grant> leader_service::Grant(const sync_request& request, absl::Time now) {
  std::vector<token_grant> grants;
  absl::MutexLock lock(&tokens_mutex_);
  // Also without demands, so that the buckets of a new manifest start to fill.
  UpdateAccounts(now);
  for (const token_demand& demand : request.demands) grants.push_back(tokens_.Grant(demand, now));
  return grants;
}

std::vector<std::string> leader_service::ProcessCrashReports(const sync_request& request,
                                                             absl::Time now) {
  std::vector<std::string> to_quarantine;
  std::vector<std::string> suspects;
  {
    absl::MutexLock lock(&crash_mutex_);
    for (const crash_report& report : request.crashes) {
      if (auto fingerprint = crashes_.Report(report, now)) {
        to_quarantine.push_back(*std::move(fingerprint));
      }
    }
    suspects = crashes_.Suspects(now);
  }
  for (std::string& fingerprint : to_quarantine) {
    LOG(WARNING) << "quarantine: requests with fingerprint " << fingerprint
                 << " crashed several targets; quarantining them.";
    member_.Propose(quarantine_fingerprint{std::move(fingerprint)}, [](const propose_response&) {});
  }
  return suspects;
}

}  // namespace teaseljunction

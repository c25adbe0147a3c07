#include "daemon/sync_loop.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "daemon/account_rates.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kRegularSyncInterval = absl::Seconds(1);
// Average interval of early syncs. Ten per second stay within 6 KB/s per daemon.
constexpr absl::Duration kMeanEarlySyncInterval = absl::Milliseconds(100);
// Interval of syncs within a burst, and the largest number of syncs in a burst.
constexpr absl::Duration kBurstSyncInterval = absl::Milliseconds(5);
constexpr int kMaxSyncBurst = 10;
// Another control member is asked after this time without a response. It is many times the usual
// response time between data centres of a region.
constexpr absl::Duration kSyncTimeout = absl::Milliseconds(400);
// Requests may be waiting for tokens. After this time without a response they can use fallback
// tokens.
constexpr absl::Duration kFallbackDelay = absl::Milliseconds(60);
constexpr absl::Duration kRetryInterval = absl::Milliseconds(100);

std::vector<balancer_target> TargetsOf(const std::vector<daemon_announcement>& daemons) {
  std::vector<balancer_target> targets;
  for (const daemon_announcement& daemon : daemons) {
    if (!daemon.target) continue;
    const target_announcement& target = *daemon.target;
    targets.push_back({.daemon_id = daemon.daemon_id,
                       .service = target.service,
                       .address = daemon.address,
                       .data_centre = daemon.data_centre,
                       .incarnation = target.incarnation,
                       .slots = target.slots,
                       .announced_load = target.load,
                       .draining = daemon.draining || target.draining,
                       .warm_up_remaining = target.warm_up_remaining});
  }
  return targets;
}

}  // namespace

sync_loop::sync_loop(const sync_dependencies& dependencies, const daemon_settings& settings,
                     uint64_t incarnation)
    : deps_(dependencies), settings_(settings), incarnation_(incarnation) {}

void sync_loop::SetManifestCallback(absl::AnyInvocable<void(const manifest_index&)> callback) {
  on_manifest_ = std::move(callback);
}

void sync_loop::Start() { Send(); }

void sync_loop::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
}

void sync_loop::RequestSync() {
  absl::MutexLock lock(&mutex_);
  if (in_flight_) {
    sync_requested_ = true;
    return;
  }
  ScheduleAt(EarliestSync(deps_.clock.Now()));
}

absl::Time sync_loop::EarliestSync(absl::Time now) const {
  const absl::Time rate_limited_until =
      burst_replenished_at_ - (kMaxSyncBurst - 1) * kMeanEarlySyncInterval;
  return std::max({now, last_sent_ + kBurstSyncInterval, rate_limited_until});
}

void sync_loop::BeginDrain() {
  {
    absl::MutexLock lock(&mutex_);
    draining_ = true;
  }
  RequestSync();
}

void sync_loop::SetControlMember(uint64_t member_id) {
  absl::MutexLock lock(&mutex_);
  control_member_id_ = member_id;
}

void sync_loop::ScheduleAt(absl::Time when) {
  if (stopped_ || when >= scheduled_for_) return;
  if (timer_id_ != 0) deps_.timers.Cancel(timer_id_);
  scheduled_for_ = when;
  timer_id_ = deps_.timers.RunAt(when, [this] { Send(); });
}

daemon_announcement sync_loop::Announcement() {
  const auto manifest = deps_.config.Latest();
  daemon_announcement announcement;
  announcement.daemon_id = settings_.daemon_id;
  announcement.address = settings_.rpc_listen;
  announcement.data_centre = settings_.data_centre;
  announcement.target = deps_.executor.CurrentTarget();
  announcement.manifest_version = manifest == nullptr ? 0 : manifest->Manifest().version;
  absl::MutexLock lock(&mutex_);
  announcement.incarnation = incarnation_;
  announcement.draining = draining_;
  announcement.control_member_id = control_member_id_;
  return announcement;
}

sync_request sync_loop::BuildRequest() {
  sync_request request;
  request.daemon = Announcement();
  if (const auto manifest = deps_.config.Latest()) {
    request.manifest_version = manifest->Manifest().version;
    request.manifest_digest = manifest->Digest();
  }
  request.accepts_compressed = true;
  request.quarantine_size = deps_.quarantine.Size();
  request.demands = deps_.accounts.CollectDemands();
  std::vector<crash_report> reports = deps_.executor.TakeCrashReports();
  absl::MutexLock lock(&mutex_);
  request.directory_epoch = directory_.Epoch();
  request.directory_version = directory_.Version();
  const absl::Time now = deps_.clock.Now();
  for (crash_report& report : reports) unsent_reports_.emplace_back(std::move(report), now);
  for (const auto& [report, collected_at] : unsent_reports_) {
    request.crashes.push_back(report);
    request.crashes.back().age += now - collected_at;
  }
  sent_quarantine_size_ = request.quarantine_size;
  return request;
}

void sync_loop::CheckResponse(uint64_t number) {
  {
    absl::MutexLock lock(&mutex_);
    if (!in_flight_ || sync_number_ != number || stopped_) return;
  }
  deps_.accounts.SetAllocatorLost(true);
}

void sync_loop::Send() {
  uint64_t number = 0;
  {
    absl::MutexLock lock(&mutex_);
    if (in_flight_ || stopped_) return;
    in_flight_ = true;
    number = ++sync_number_;
    sync_requested_ = false;
    scheduled_for_ = absl::InfiniteFuture();
    timer_id_ = 0;
    last_sent_ = deps_.clock.Now();
    burst_replenished_at_ = std::max(burst_replenished_at_, last_sent_) + kMeanEarlySyncInterval;
  }
  // Read before the request is built, because it limits how long the response's confirmations and
  // grants are valid.
  const absl::Time sent_at = deps_.clock.Now();
  deps_.timers.RunAt(sent_at + kFallbackDelay, [this, number] { CheckResponse(number); });
  const std::string address = deps_.locator.Address();
  deps_.peers.Sync(address, BuildRequest(), kSyncTimeout,
                   [this, address, sent_at](outcome<sync_response> response) {
                     OnResponse(address, sent_at, std::move(response));
                   });
}

void sync_loop::OnResponse(const std::string& address, absl::Time sent_at,
                           outcome<sync_response> response) {
  const auto* answer = std::get_if<sync_response>(&response);
  const bool succeeded = answer != nullptr && answer->from_leader;
  if (succeeded) {
    uint64_t known_quarantine_size = 0;
    {
      absl::MutexLock lock(&mutex_);
      known_quarantine_size = sent_quarantine_size_;
    }
    Apply(*answer, known_quarantine_size, sent_at);
    deps_.accounts.SetAllocatorLost(false);
  } else {
    deps_.accounts.SetAllocatorLost(true);
    deps_.locator.NotLeader(address, answer == nullptr ? "" : answer->leader_address);
  }
  absl::MutexLock lock(&mutex_);
  in_flight_ = false;
  if (succeeded) unsent_reports_.clear();
  if (!succeeded) return ScheduleAt(sent_at + kRetryInterval);
  if (sync_requested_) return ScheduleAt(EarliestSync(deps_.clock.Now()));
  ScheduleAt(sent_at + kRegularSyncInterval);
}

void sync_loop::Apply(const sync_response& response, uint64_t known_quarantine_size,
                      absl::Time sent_at) {
  if (response.newer_incarnation != 0) {
    // The wall clock, from which incarnations are derived, was set back since an earlier start.
    absl::MutexLock lock(&mutex_);
    incarnation_ = std::max(incarnation_, response.newer_incarnation + 1);
  }
  deps_.quarantine.Append(known_quarantine_size, response.quarantined_fingerprints);
  deps_.executor.SetSuspects(response.suspect_fingerprints);
  ApplyDirectory(response.directory);
  // A manifest that cannot be put in force must not be treated as confirmed.
  if (response.manifest.version != 0 && !ApplyManifest(response.manifest)) return;
  deps_.accounts.ApplyGrants(response.grants, sent_at);
  deps_.config.ConfirmUntil(sent_at + settings_.freshness_lease);
  if (!response.control_addresses.empty()) deps_.locator.SetMembers(response.control_addresses);
}

bool sync_loop::ApplyManifest(const manifest_record& record) {
  if (const auto known = deps_.config.Latest()) {
    if (known->Manifest().version >= record.version) return known->Digest() == record.digest;
  }
  auto decoded = Capture<manifest>([&] { return deps_.decode(record.content); });
  if (const auto* failure = std::get_if<error>(&decoded)) {
    LOG(ERROR) << "sync: manifest version " << record.version
               << " cannot be decoded: " << failure->detail;
    return false;
  }
  const auto index = std::make_shared<const manifest_index>(std::get<manifest>(std::move(decoded)),
                                                            record.digest, record.content);
  deps_.accounts.SetAccounts(AccountRates(index->Manifest(), settings_.tolerance));
  for (const service& entry : index->Manifest().services) {
    const double ratio = settings_.retry_ratio < 0 ? entry.retry_ratio : settings_.retry_ratio;
    deps_.targets.SetRetryBudget(entry.name, ratio, settings_.retry_reserve);
  }
  if (deps_.config.Install(index)) {
    LOG(INFO) << "sync: manifest version " << record.version << " with digest " << record.digest
              << " is in force.";
  }
  if (on_manifest_) on_manifest_(*index);
  return true;
}

void sync_loop::ApplyDirectory(const directory_update& update) {
  std::vector<daemon_announcement> entries;
  {
    absl::MutexLock lock(&mutex_);
    if (!directory_.Apply(update)) return;
    entries = directory_.Entries();
  }
  LOG(INFO) << "membership: the directory has " << entries.size() << " daemons at version "
            << update.version << ".";
  deps_.targets.SetTargets(TargetsOf(entries), deps_.clock.Now());
}

std::vector<daemon_announcement> sync_loop::Directory() {
  absl::MutexLock lock(&mutex_);
  return directory_.Entries();
}

}  // namespace teaseljunction

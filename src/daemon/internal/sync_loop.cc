#include "daemon/sync_loop.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "daemon/account_rates.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kSyncInterval = absl::Seconds(1);
// Average interval of early syncs; ten a second stay within 6 KB/s per node.
constexpr absl::Duration kMinSyncInterval = absl::Milliseconds(100);
// Interval of syncs while the allowance lasts, and the allowance in syncs.
constexpr absl::Duration kQuickSyncInterval = absl::Milliseconds(5);
constexpr int kQuickSyncs = 10;
// Another member is asked when there is no answer for this long, which is many times the usual
// answer time between data centres of a region.
constexpr absl::Duration kSyncTimeout = absl::Milliseconds(400);
// Requests wait for tokens meanwhile, so the accounts go on without the leader after this time.
constexpr absl::Duration kSilence = absl::Milliseconds(60);
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
                       .warm_up = target.warm_up});
  }
  return targets;
}

}  // namespace

sync_loop::sync_loop(const sync_ports& ports, const daemon_settings& settings, uint64_t incarnation)
    : ports_(ports), settings_(settings), incarnation_(incarnation) {}

void sync_loop::OnManifest(absl::AnyInvocable<void(const manifest_index&)> callback) {
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
    requested_ = true;
    return;
  }
  ScheduleAt(EarliestSync(ports_.clock.Now()));
}

absl::Time sync_loop::EarliestSync(absl::Time now) const {
  const absl::Time allowed = allowance_full_at_ - (kQuickSyncs - 1) * kMinSyncInterval;
  return std::max({now, last_sent_ + kQuickSyncInterval, allowed});
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
  if (timer_id_ != 0) ports_.timers.Cancel(timer_id_);
  scheduled_for_ = when;
  timer_id_ = ports_.timers.RunAt(when, [this] { Send(); });
}

daemon_announcement sync_loop::Announcement() {
  const auto manifest = ports_.config.Latest();
  daemon_announcement announced;
  announced.daemon_id = settings_.daemon_id;
  announced.address = settings_.rpc_listen;
  announced.data_centre = settings_.data_centre;
  announced.target = ports_.executor.Target();
  announced.manifest_version = manifest == nullptr ? 0 : manifest->Manifest().version;
  absl::MutexLock lock(&mutex_);
  announced.incarnation = incarnation_;
  announced.draining = draining_;
  announced.control_member_id = control_member_id_;
  return announced;
}

sync_request sync_loop::BuildRequest() {
  sync_request request;
  request.daemon = Announcement();
  if (const auto manifest = ports_.config.Latest()) {
    request.manifest_version = manifest->Manifest().version;
    request.manifest_digest = manifest->Digest();
  }
  request.quarantine_size = ports_.quarantine.Size();
  request.demands = ports_.accounts.CollectDemands();
  std::vector<crash_report> reports = ports_.executor.TakeCrashReports();
  absl::MutexLock lock(&mutex_);
  request.directory_epoch = directory_.Epoch();
  request.directory_version = directory_.Version();
  const absl::Time now = ports_.clock.Now();
  for (crash_report& report : reports) unsent_reports_.emplace_back(std::move(report), now);
  for (const auto& [report, collected_at] : unsent_reports_) {
    request.crashes.push_back(report);
    request.crashes.back().age += now - collected_at;
  }
  sent_quarantine_size_ = request.quarantine_size;
  return request;
}

void sync_loop::CheckAnswer(uint64_t number) {
  {
    absl::MutexLock lock(&mutex_);
    if (!in_flight_ || sync_number_ != number || stopped_) return;
  }
  ports_.accounts.SetOwnerLost(true);
}

void sync_loop::Send() {
  uint64_t number = 0;
  {
    absl::MutexLock lock(&mutex_);
    if (in_flight_ || stopped_) return;
    in_flight_ = true;
    number = ++sync_number_;
    requested_ = false;
    scheduled_for_ = absl::InfiniteFuture();
    timer_id_ = 0;
    last_sent_ = ports_.clock.Now();
    allowance_full_at_ = std::max(allowance_full_at_, last_sent_) + kMinSyncInterval;
  }
  // Read before the request is built: what the leader confirms is as old as this.
  const absl::Time sent_at = ports_.clock.Now();
  ports_.timers.RunAt(sent_at + kSilence, [this, number] { CheckAnswer(number); });
  const std::string address = ports_.locator.Address();
  ports_.peers.Sync(address, BuildRequest(), kSyncTimeout,
                    [this, address, sent_at](outcome<sync_response> response) {
                      OnResponse(address, sent_at, std::move(response));
                    });
}

void sync_loop::OnResponse(const std::string& address, absl::Time sent_at,
                           outcome<sync_response> response) {
  const auto* answered = std::get_if<sync_response>(&response);
  const bool succeeded = answered != nullptr && answered->from_leader;
  if (succeeded) {
    uint64_t known_quarantine = 0;
    {
      absl::MutexLock lock(&mutex_);
      known_quarantine = sent_quarantine_size_;
    }
    Apply(*answered, known_quarantine, sent_at);
    ports_.accounts.SetOwnerLost(false);
  } else {
    ports_.accounts.SetOwnerLost(true);
    ports_.locator.NotLeader(address, answered == nullptr ? "" : answered->leader_address);
  }
  absl::MutexLock lock(&mutex_);
  in_flight_ = false;
  if (succeeded) unsent_reports_.clear();
  if (!succeeded) return ScheduleAt(sent_at + kRetryInterval);
  if (requested_) return ScheduleAt(EarliestSync(ports_.clock.Now()));
  ScheduleAt(sent_at + kSyncInterval);
}

void sync_loop::Apply(const sync_response& response, uint64_t known_quarantine,
                      absl::Time sent_at) {
  if (response.outdated_by != 0) {
    // The clock that incarnations come from was set back since the earlier start.
    absl::MutexLock lock(&mutex_);
    incarnation_ = std::max(incarnation_, response.outdated_by + 1);
  }
  ports_.quarantine.Append(known_quarantine, response.quarantined);
  ports_.executor.SetSuspects(response.suspects);
  ApplyDirectory(response.directory);
  // A manifest that cannot be used must not count as confirmed.
  if (response.manifest.version != 0 && !ApplyManifest(response.manifest)) return;
  ports_.accounts.ApplyGrants(response.grants, sent_at);
  ports_.config.ConfirmUntil(sent_at + settings_.freshness_lease);
  if (!response.control_addresses.empty()) ports_.locator.SetMembers(response.control_addresses);
}

bool sync_loop::ApplyManifest(const manifest_record& record) {
  if (const auto known = ports_.config.Latest()) {
    if (known->Manifest().version >= record.version) return known->Digest() == record.digest;
  }
  auto decoded = Capture<manifest>([&] { return ports_.decode(record.content); });
  if (const auto* failure = std::get_if<error>(&decoded)) {
    LOG(ERROR) << "sync: manifest version " << record.version
               << " cannot be decoded: " << failure->detail;
    return false;
  }
  const auto index = std::make_shared<const manifest_index>(std::get<manifest>(std::move(decoded)),
                                                            record.digest, record.content);
  ports_.accounts.SetAccounts(AccountRates(index->Manifest(), settings_.tolerance));
  for (const service& listed : index->Manifest().services) {
    const double ratio = settings_.retry_ratio < 0 ? listed.retry_ratio : settings_.retry_ratio;
    ports_.targets.SetRetryBudget(listed.name, ratio, settings_.retry_reserve);
  }
  if (ports_.config.Install(index)) {
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
  ports_.targets.SetTargets(TargetsOf(entries), ports_.clock.Now());
}

std::vector<daemon_announcement> sync_loop::Directory() {
  absl::MutexLock lock(&mutex_);
  return directory_.Entries();
}

}  // namespace teaseljunction

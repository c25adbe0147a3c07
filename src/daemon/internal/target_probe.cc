#include "daemon/target_probe.h"

#include <algorithm>
#include <utility>

#include "gateway/load_header.h"
#include "membership/announcement_check.h"

namespace teaseljunction {
namespace {

constexpr int kHealthyStatus = 200;
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(500);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(250);
constexpr absl::Duration kMaxProbeInterval = absl::Seconds(1);
// Targets announce themselves within this time, so that no probe is needed after it.
constexpr absl::Duration kProbePeriod = absl::Seconds(3);

}  // namespace

target_probe::target_probe(const probe_dependencies& dependencies,
                           const local_target_settings& target, absl::AnyInvocable<void()> on_found)
    : deps_(dependencies), target_(target), on_found_(std::move(on_found)) {}

void target_probe::Start(absl::string_view health_path) {
  if (target_.address.empty()) return;
  if (health_path.empty()) {
    if (deps_.executor.WaiveConfirmation()) on_found_();
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    if (!path_.empty()) return;
    path_ = std::string(health_path);
    probe_deadline_ = deps_.clock.Now() + kProbePeriod;
  }
  Resume();
}

void target_probe::Resume() {
  {
    absl::MutexLock lock(&mutex_);
    if (path_.empty() || probing_) return;
    probing_ = true;
    interval_ = kProbeInterval;
  }
  SendProbe();
}

void target_probe::SendProbe() {
  http_request request;
  request.method = "GET";
  // The response names no request, so it must not share a connection with calls.
  request.own_connection = true;
  const uint64_t revocations = deps_.executor.Revocations();
  {
    // An announcement that begins to wait after this check finds `probing_` cleared in `Resume`.
    absl::MutexLock lock(&mutex_);
    const bool due = deps_.executor.AwaitsConfirmation() || deps_.clock.Now() < probe_deadline_;
    probing_ = due && !deps_.executor.CurrentTarget();
    if (!probing_) return;
    request.path = path_;
  }
  deps_.client.Send(target_.address, std::move(request), false, kProbeTimeout,
                    [this, revocations](const outcome<http_response>& response) {
                      OnResponse(response, revocations);
                    });
}

void target_probe::OnResponse(const outcome<http_response>& response, uint64_t revocations) {
  const bool found = HandleTarget(response, revocations);
  absl::Duration interval;
  {
    absl::MutexLock lock(&mutex_);
    probing_ = !found;
    interval = NextInterval();
  }
  if (found) return on_found_();
  deps_.timers.RunAt(deps_.clock.Now() + interval, [this] { SendProbe(); });
}

absl::Duration target_probe::NextInterval() {
  // A target that is leaving answers probes for seconds.
  const bool prompt = deps_.clock.Now() < probe_deadline_;
  return std::exchange(interval_, prompt ? interval_ : std::min(2 * interval_, kMaxProbeInterval));
}

bool target_probe::HandleTarget(const outcome<http_response>& response, uint64_t revocations) {
  const auto* http = std::get_if<http_response>(&response);
  if (http == nullptr || http->status != kHealthyStatus) return false;
  const auto id = FindHeader(http->headers, deps_.headers.reported_target_id);
  if (!id || id->empty()) return false;
  if (deps_.executor.ConfirmTarget(*id, revocations)) return true;
  const auto load = FindHeader(http->headers, deps_.headers.reported_load);
  target_announcement found;
  found.slots = ParseLoadHeader(load.value_or("")).slots.value_or(0);
  // Without the number of slots, the target cannot be protected from overload.
  if (found.slots == 0) return false;
  found.target_id = std::string(*id);
  found.service = target_.service;
  found.address = target_.address;
  found.warm_up_remaining = absl::ZeroDuration();
  return !FindAnnouncementError(found) && deps_.executor.AcceptProbedTarget(found);
}

}  // namespace teaseljunction

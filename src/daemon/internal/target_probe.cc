#include "daemon/target_probe.h"

#include <utility>

#include "gateway/load_header.h"
#include "membership/announcement_check.h"

namespace teaseljunction {
namespace {

constexpr int kHealthyStatus = 200;
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(500);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(250);
// Targets announce themselves within this time, so that no probe is needed after it.
constexpr absl::Duration kProbePeriod = absl::Seconds(3);

}  // namespace

target_probe::target_probe(const probe_dependencies& dependencies,
                           const local_target_settings& target, absl::AnyInvocable<void()> on_found)
    : deps_(dependencies), target_(target), on_found_(std::move(on_found)) {}

void target_probe::Start(absl::string_view health_path) {
  if (health_path.empty() || target_.address.empty()) return;
  {
    absl::MutexLock lock(&mutex_);
    if (!path_.empty()) return;
    path_ = std::string(health_path);
    probe_deadline_ = deps_.clock.Now() + kProbePeriod;
  }
  SendProbe();
}

void target_probe::SendProbe() {
  http_request request;
  request.method = "GET";
  // The response names no request, so it must not share a connection with calls.
  request.own_connection = true;
  {
    absl::MutexLock lock(&mutex_);
    if (deps_.executor.CurrentTarget() || deps_.clock.Now() >= probe_deadline_) return;
    request.path = path_;
  }
  deps_.client.Send(target_.address, std::move(request), false, kProbeTimeout,
                    [this](const outcome<http_response>& response) { OnResponse(response); });
}

void target_probe::OnResponse(const outcome<http_response>& response) {
  const auto found = ParseTarget(response);
  if (found) {
    if (deps_.executor.AcceptProbedTarget(*found)) on_found_();
    return;
  }
  deps_.timers.RunAt(deps_.clock.Now() + kProbeInterval, [this] { SendProbe(); });
}

absl::optional<target_announcement> target_probe::ParseTarget(
    const outcome<http_response>& response) const {
  const auto* http = std::get_if<http_response>(&response);
  if (http == nullptr || http->status != kHealthyStatus) return absl::nullopt;
  const auto id = FindHeader(http->headers, deps_.headers.reported_target_id);
  target_announcement found;
  const auto load = FindHeader(http->headers, deps_.headers.reported_load);
  found.slots = ParseLoadHeader(load.value_or("")).slots.value_or(0);
  // Without the number of slots, the target cannot be protected from overload.
  if (!id || id->empty() || found.slots == 0) return absl::nullopt;
  found.target_id = std::string(*id);
  found.service = target_.service;
  found.address = target_.address;
  found.warm_up_remaining = absl::ZeroDuration();
  if (FindAnnouncementError(found)) return absl::nullopt;
  return found;
}

}  // namespace teaseljunction

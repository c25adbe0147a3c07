#include "daemon/target_probe.h"

#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace teaseljunction {
namespace {

constexpr int kHealthy = 200;
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(500);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(250);
// Targets announce themselves within this time.
constexpr absl::Duration kProbeTime = absl::Seconds(3);
// Place of the slots in the load that a target tells.
constexpr size_t kSlotsField = 2;

uint32_t SlotsOf(absl::string_view load) {
  const std::vector<absl::string_view> fields = absl::StrSplit(load, ',');
  uint32_t slots = 0;
  if (fields.size() <= kSlotsField || !absl::SimpleAtoi(fields[kSlotsField], &slots)) return 0;
  return slots;
}

}  // namespace

target_probe::target_probe(const probe_ports& ports, const local_target_settings& target,
                           absl::AnyInvocable<void()> on_found)
    : ports_(ports), target_(target), on_found_(std::move(on_found)) {}

void target_probe::Start(absl::string_view health_path) {
  if (health_path.empty() || target_.address.empty()) return;
  {
    absl::MutexLock lock(&mutex_);
    if (!path_.empty()) return;
    path_ = std::string(health_path);
    give_up_at_ = ports_.clock.Now() + kProbeTime;
  }
  Ask();
}

void target_probe::Ask() {
  http_request request;
  request.method = "GET";
  {
    absl::MutexLock lock(&mutex_);
    if (ports_.executor.Target() || ports_.clock.Now() >= give_up_at_) return;
    request.path = path_;
  }
  ports_.client.Send(target_.address, std::move(request), false, kProbeTimeout,
                     [this](const outcome<http_response>& answer) { OnAnswer(answer); });
}

void target_probe::OnAnswer(const outcome<http_response>& answer) {
  const auto found = TargetOf(answer);
  if (found) {
    if (ports_.executor.Adopt(*found)) on_found_();
    return;
  }
  ports_.timers.RunAt(ports_.clock.Now() + kProbeInterval, [this] { Ask(); });
}

absl::optional<target_announcement> target_probe::TargetOf(
    const outcome<http_response>& answer) const {
  const auto* response = std::get_if<http_response>(&answer);
  if (response == nullptr || response->status != kHealthy) return absl::nullopt;
  const auto id = FindHeader(response->headers, ports_.headers.told_target_id);
  target_announcement found;
  found.slots = SlotsOf(FindHeader(response->headers, ports_.headers.told_load).value_or(""));
  // Without its slots the target cannot be protected from too many calls.
  if (!id || id->empty() || found.slots == 0) return absl::nullopt;
  found.target_id = std::string(*id);
  found.service = target_.service;
  found.address = target_.address;
  found.warm_up = absl::ZeroDuration();
  return found;
}

}  // namespace teaseljunction

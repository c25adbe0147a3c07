#include "membership/announcement_check.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/string_view.h"
#include "common/sockets.h"

namespace teaseljunction {
namespace {

constexpr size_t kMaxNameBytes = 256;

// Names are written to logs.
bool IsName(absl::string_view text) {
  return text.size() <= kMaxNameBytes && std::none_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_iscntrl(static_cast<unsigned char>(c));
         });
}

// The id is sent in a header of each request to the target.
bool IsTargetId(absl::string_view id) {
  return id.size() <= kMaxNameBytes && std::all_of(id.begin(), id.end(), [](char c) {
           return absl::ascii_isgraph(static_cast<unsigned char>(c));
         });
}

struct announcement_rule {
  bool (*is_met)(const target_announcement& announced);
  absl::string_view problem;
};

constexpr announcement_rule kRules[] = {
    {[](const target_announcement& announced) {
       return !announced.service.empty() && IsName(announced.service);
     },
     "The service is empty, too long or has control characters."},
    {[](const target_announcement& announced) { return announced.incarnation <= kMaxIncarnation; },
     "The incarnation is out of range."},
    {[](const target_announcement& announced) { return announced.slots <= kMaxTargetSlots; },
     "The number of slots is out of range."},
    // Also false for NaN.
    {[](const target_announcement& announced) {
       return announced.load >= 0 && announced.load <= 1;
     },
     "The load is not between 0 and 1."},
    {[](const target_announcement& announced) { return IsRemoteAddress(announced.address); },
     "The address is not \"IP:port\" with a port from 1 to 65535."},
    {[](const target_announcement& announced) { return IsTargetId(announced.target_id); },
     "The id is too long or has characters that are not printable."},
};

}  // namespace

absl::optional<std::string> FindDaemonError(const daemon_announcement& daemon) {
  if (daemon.daemon_id.empty() || !IsName(daemon.daemon_id)) {
    return "The id of the daemon is empty, too long or has control characters.";
  }
  if (!IsName(daemon.data_centre)) {
    return "The data centre is too long or has control characters.";
  }
  if (!IsRemoteAddress(daemon.address)) {
    return "The address of the daemon is not \"IP:port\" with a port from 1 to 65535.";
  }
  return absl::nullopt;
}

absl::optional<std::string> FindAnnouncementError(const target_announcement& announced) {
  for (const announcement_rule& rule : kRules) {
    if (!rule.is_met(announced)) return std::string(rule.problem);
  }
  return absl::nullopt;
}

}  // namespace teaseljunction

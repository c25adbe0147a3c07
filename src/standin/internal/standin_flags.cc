#include "standin/standin_flags.h"

#include <algorithm>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace teaseljunction {
namespace {

constexpr uint32_t kMaxSlots = 100'000;

boost::leaf::error_id InvalidFlag(absl::string_view flag, absl::string_view reason) {
  return Fail(error_kind::kSettingInvalid, absl::StrCat("--", flag, " ", reason));
}

bool IsMethod(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(),
                                      [](unsigned char byte) { return absl::ascii_isupper(byte); });
}

bool IsRatio(double value) { return value >= 0 && value <= 1; }

}  // namespace

result<std::vector<child_call>> ParseChain(absl::string_view text) {
  std::vector<child_call> chain;
  for (const absl::string_view part : absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    const std::vector<absl::string_view> words =
        absl::StrSplit(part, absl::ByAnyChar(" "), absl::SkipEmpty());
    if (words.size() != 2 || !IsMethod(words[0]) || !absl::StartsWith(words[1], "/")) {
      return InvalidFlag(
          "chain", absl::StrCat("has an invalid call, \"", part, "\"; expected \"METHOD /path\""));
    }
    const std::string method(words[0]);
    const std::string path(words[1]);
    chain.push_back({method, path});
  }
  return chain;
}

result<void> CheckSettings(const standin_settings& settings) {
  if (settings.service.empty()) return InvalidFlag("service", "is missing");
  if (settings.slots < 1 || settings.slots > kMaxSlots) {
    return InvalidFlag("slots", absl::StrCat("must be in 1 to ", kMaxSlots));
  }
  if (settings.service_time < absl::ZeroDuration() || settings.service_time > absl::Hours(1)) {
    return InvalidFlag("service_time", "must be in 0 to 1h");
  }
  if (settings.slow_start < absl::ZeroDuration() || settings.slow_start > absl::Hours(1)) {
    return InvalidFlag("slow_start", "must be in 0 to 1h");
  }
  if (!IsRatio(settings.fail_ratio)) return InvalidFlag("fail_ratio", "must be in 0 to 1");
  if (settings.load_override.has_value() && !IsRatio(*settings.load_override)) {
    return InvalidFlag("load_lie", "must be in 0 to 1");
  }
  if (!settings.chain.empty() && settings.daemon_address.empty()) {
    return InvalidFlag("chain", "needs --daemon, because child calls go through the daemon");
  }
  return {};
}

}  // namespace teaseljunction

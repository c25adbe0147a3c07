#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "common/result.h"
#include "standin/types.h"

namespace teaseljunction {

/// Parses a comma-separated list of "METHOD /path" child calls. Errors: kSettingInvalid.
result<std::vector<child_call>> ParseChain(absl::string_view text);

/// Checks ranges and combinations of settings. Errors: kSettingInvalid; the detail names the
/// invalid flag and the reason.
result<void> CheckSettings(const standin_settings& settings);

}  // namespace teaseljunction

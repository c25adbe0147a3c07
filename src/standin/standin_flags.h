#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "common/result.h"
#include "standin/types.h"

namespace teaseljunction {

/// Decodes a comma separated list of "METHOD /path" child calls. Errors: kSettingInvalid.
result<std::vector<child_call>> ParseChain(absl::string_view text);

/// Checks settings for ranges and combinations. Errors: kSettingInvalid, with a sentence that says
/// which setting is invalid and why.
result<void> CheckSettings(const standin_settings& settings);

}  // namespace teaseljunction

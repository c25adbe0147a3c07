#pragma once

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Returns true for headers that concern a single connection or the framing of a single message.
/// The HTTP client and server set these themselves and never forward them.
bool IsTransferHeader(absl::string_view name);

/// Returns true if `text` has no control characters other than tabs, so that it cannot inject lines
/// into a message.
bool IsHeaderText(absl::string_view text);

}  // namespace teaseljunction

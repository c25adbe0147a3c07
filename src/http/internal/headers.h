#pragma once

#include "absl/strings/string_view.h"

namespace teaseljunction {

/// True for headers that describe one connection or the transfer of one message. Both adapters set
/// them on their own and never pass them on.
bool IsTransferHeader(absl::string_view name);

/// True when `text` has no control character, so that it cannot add lines to a message.
bool IsHeaderText(absl::string_view text);

}  // namespace teaseljunction

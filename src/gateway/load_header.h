#pragma once

#include <cstdint>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Figures of the header by which a target reports its load. A missing or malformed figure is
/// unset.
struct load_header {
  absl::optional<uint32_t> running;
  absl::optional<uint32_t> waiting;
  absl::optional<uint32_t> slots;
  /// Time that work takes at the moment, in relation to the usual time; 0.1 to 20.
  absl::optional<double> pace;
};

/// Parses "running,waiting,slots" or "running,waiting,slots,pace", with the pace in percent.
/// Figures beyond these are ignored.
load_header ParseLoadHeader(absl::string_view value);

}  // namespace teaseljunction

#pragma once

#include <string>

#include "absl/types/optional.h"
#include "membership/types.h"

namespace teaseljunction {

/// Largest number of requests at once that a target may announce.
constexpr uint32_t kMaxTargetSlots = 1'000'000;

/// Largest incarnation, 2^53 - 1: JSON parsers may round larger integers.
constexpr uint64_t kMaxIncarnation = (uint64_t{1} << 53) - 1;

/// Returns why `announced` names no usable target, or nullopt when it does. Every announcement that
/// comes from outside the process must pass this check before it is used.
absl::optional<std::string> FindAnnouncementError(const target_announcement& announced);

/// Returns why `daemon` names no daemon that can be called, or nullopt when it does. The target of
/// the daemon is not checked.
absl::optional<std::string> FindDaemonError(const daemon_announcement& daemon);

}  // namespace teaseljunction

#pragma once

#include <cstdint>
#include <string>

#include "common/result.h"
#include "standin/service_runner.h"
#include "standin/types.h"

namespace teaseljunction {

/// Parses the query of `POST /standin/set`, for example "slow=10&fail=0.5".
/// Errors: kMalformedRequest.
result<standin_settings_change> ParseSettingsChange(absl::string_view query);

/// Handles requests to the paths below "/standin/", which tests and the demo use to read the
/// counters and to change settings.
standin_reply AnswerStandinEndpoint(const standin_request& request, const std::string& service,
                                    uint64_t incarnation, service_runner& runner);

}  // namespace teaseljunction

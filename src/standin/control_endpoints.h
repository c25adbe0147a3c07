#pragma once

#include <cstdint>
#include <string>

#include "common/result.h"
#include "standin/service_runner.h"
#include "standin/types.h"

namespace teaseljunction {

/// Decodes the query of `POST /standin/set`, for example "slow=10&fail=0.5".
/// Errors: kMalformedRequest.
result<standin_change> ParseChange(absl::string_view query);

/// Answers the requests below "/standin/" of tests and the demo.
standin_reply AnswerControl(const standin_request& request, const std::string& service,
                            uint64_t incarnation, service_runner& runner);

}  // namespace teaseljunction

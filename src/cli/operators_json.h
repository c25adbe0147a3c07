#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "common/result.h"
#include "manifest/manifest_diff.h"
#include "manifest/types.h"
#include "rpc/types.h"

namespace teaseljunction {

/// Problem document of an error response. Missing fields are empty.
struct problem_document {
  std::string type;
  std::string title;
  std::string detail;
};

/// Response to a manifest submission.
struct submit_answer {
  uint64_t version = 0;
  std::string digest;
  bool already_accepted = false;
};

/// Change of the control group's membership. `action` is "add", "promote" or "remove".
struct member_change {
  std::string action;
  uint64_t member_id = 0;
  std::string address;
  std::string data_centre;
};

/// Result of a call through an HTTP entry point.
struct call_result {
  int status = 0;
  std::string request_id;
  std::string outcome;
  std::string body;
};

/// Decodes a problem document. Returns an empty one when `json` is not a problem document.
problem_document DecodeProblem(absl::string_view json);

/// Decode responses of the operators' port. Unknown fields are ignored. Errors: kMalformedRequest.
result<submit_answer> DecodeSubmitAnswer(absl::string_view json);
result<status_report> DecodeStatus(absl::string_view json);

std::string EncodeMemberChange(const member_change& change);

/// Encode the documents that the tool prints with --json.
std::string EncodeCheckResult(const manifest& checked);
std::string EncodeCheckError(absl::string_view detail);
std::string EncodeNewKey(absl::string_view key, absl::string_view digest);
std::string EncodeChanges(absl::Span<const manifest_change> changes);
std::string EncodeMembers(const status_report& status);
std::string EncodeCallResult(const call_result& call);

}  // namespace teaseljunction

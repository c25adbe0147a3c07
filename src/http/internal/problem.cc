#include "http/problem.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);

void AppendJsonString(absl::string_view text, std::string* out) {
  out->push_back('"');
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (byte < 0x20 || byte >= 0x7f) {
      // Bytes from 0x7f on may not be valid UTF-8 and are therefore escaped as Latin-1 code points.
      absl::StrAppendFormat(out, "\\u%04x", byte);
    } else {
      out->push_back(c);
    }
  }
  out->push_back('"');
}

std::string RetryAfterText(absl::Duration wait, bool fractional) {
  if (fractional) return absl::StrFormat("%.3f", absl::ToDoubleSeconds(wait));
  const int64_t seconds = absl::ToInt64Seconds(absl::Ceil(wait, absl::Seconds(1)));
  return absl::StrCat(std::max<int64_t>(seconds, 1));
}

void AppendMember(absl::string_view name, absl::string_view value, std::string* out) {
  absl::StrAppend(out, ",\"", name, "\":");
  AppendJsonString(value, out);
}

}  // namespace

http_response ProblemResponse(const error& failure, absl::string_view request_id,
                              absl::optional<absl::Duration> retry_after, bool fractional) {
  const error_answer& answer = AnswerFor(failure.kind);
  http_response response;
  response.status = answer.status;
  response.headers.push_back({"Content-Type", "application/problem+json"});
  response.headers.push_back(
      {"Teaseljunction-Outcome", answer.run == run_state::kNotRun ? "not-run" : "may-have-run"});
  if (answer.retry_after) {
    response.headers.push_back(
        {"Retry-After", RetryAfterText(retry_after.value_or(kDefaultRetryAfter), fractional)});
  }
  std::string& body = response.body;
  absl::StrAppend(&body, "{\"type\":\"urn:teaseljunction:error:", answer.name, "\"");
  AppendMember("title", answer.title, &body);
  absl::StrAppend(&body, ",\"status\":", answer.status);
  if (!failure.detail.empty()) AppendMember("detail", failure.detail, &body);
  if (!request_id.empty()) AppendMember("requestId", request_id, &body);
  body.push_back('}');
  return response;
}

}  // namespace teaseljunction

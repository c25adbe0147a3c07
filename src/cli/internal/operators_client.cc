#include "cli/operators_client.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "cli/operators_json.h"

namespace teaseljunction {
namespace {

// Rounds over all servers for idempotent requests. Together with the pauses between them they last
// longer than a leader election.
constexpr int kIdempotentRounds = 4;
constexpr int kMisdirectedRequest = 421;
constexpr int kServiceUnavailable = 503;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// A response without the outcome header does not come from a daemon; a 5xx status then leaves the
// outcome unknown.
bool MayHaveRun(const http_response& response) {
  const auto outcome = FindHeader(response.headers, "Teaseljunction-Outcome");
  if (outcome.has_value()) return *outcome != "not-run";
  return response.status >= 500;
}

// After an attempt with an unknown outcome, a "manifest-outdated" refusal does not rule out that
// the attempt was accepted and has since been superseded by a higher version.
bool LeavesEarlierOutcomeUnknown(const http_response& response) {
  return absl::StrContains(DecodeProblem(response.body).type, "manifest-outdated");
}

}  // namespace

operators_client::operators_client(http_transport& transport, std::vector<std::string> servers,
                                   absl::Duration timeout, absl::Duration round_pause)
    : transport_(transport),
      servers_(std::move(servers)),
      timeout_(timeout),
      round_pause_(round_pause) {}

operators_result operators_client::Send(const std::string& method, const std::string& path,
                                        const std::string& body, retry_safety safety) {
  const http_request request{method, path, {{"Content-Type", "application/json"}}, body};
  attempt_summary summary;
  operators_result final_result;
  const int rounds = safety == retry_safety::kIdempotent ? kIdempotentRounds : 1;
  for (int round = 0; round < rounds; ++round) {
    if (round > 0) absl::SleepFor(round_pause_);
    for (const std::string& server : servers_) {
      if (TryServer(server, request, safety, summary, final_result)) return final_result;
    }
    // No request was sent, so the user can safely run the command again; further rounds are not
    // needed.
    if (!summary.may_have_run && !summary.refused) break;
  }
  final_result.message = summary.message;
  final_result.code = exit_code::kUnreachable;
  if (summary.refused) final_result.code = exit_code::kRefused;
  if (summary.may_have_run) final_result.code = exit_code::kOutcomeUnknown;
  return final_result;
}

bool operators_client::TryServer(const std::string& server, const http_request& request,
                                 retry_safety safety, attempt_summary& summary,
                                 operators_result& final_result) {
  const transport_result sent = transport_.Send(server, request, timeout_);
  if (sent.delivery == delivery_status::kAnswered) {
    return EvaluateResponse(sent.response, server, safety, summary, final_result);
  }
  absl::StrAppend(&summary.message, summary.message.empty() ? "" : "\n", server, ": ",
                  sent.error_message);
  if (sent.delivery == delivery_status::kNotSent || safety == retry_safety::kReadOnly) return false;
  summary.may_have_run = true;
  if (safety == retry_safety::kIdempotent) return false;
  final_result = {exit_code::kOutcomeUnknown, "", summary.message};
  return true;
}

bool operators_client::EvaluateResponse(const http_response& response, const std::string& server,
                                        retry_safety safety, attempt_summary& summary,
                                        operators_result& final_result) {
  if (IsSuccess(response.status)) {
    final_result = {exit_code::kOk, response.body, ""};
    return true;
  }
  absl::StrAppend(&summary.message, summary.message.empty() ? "" : "\n", server, ": ",
                  DescribeProblem(response));
  const bool may_have_run = MayHaveRun(response) && safety != retry_safety::kReadOnly;
  const bool try_next_server = may_have_run || response.status == kMisdirectedRequest ||
                               response.status == kServiceUnavailable;
  if (try_next_server && !(may_have_run && safety == retry_safety::kNonIdempotent)) {
    summary.may_have_run |= may_have_run;
    summary.refused = true;
    return false;
  }
  const bool outcome_unknown =
      may_have_run || (summary.may_have_run && LeavesEarlierOutcomeUnknown(response));
  final_result = {outcome_unknown ? exit_code::kOutcomeUnknown : exit_code::kRefused, "",
                  summary.message};
  return true;
}

std::string DescribeProblem(const http_response& response) {
  const problem_document problem = DecodeProblem(response.body);
  if (problem.title.empty()) return absl::StrCat("status ", response.status);
  return absl::StrCat(problem.title, problem.detail.empty() ? "" : " ", problem.detail);
}

}  // namespace teaseljunction

#include "cli/operators_client.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "cli/operators_json.h"

namespace teaseljunction {
namespace {

// Rounds over all servers for requests that are safe to repeat. With the pause, they outlast a
// change of the leader.
constexpr int kSafeRounds = 4;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// A response without the outcome header comes from something else than a daemon.
bool MayHaveRun(const http_response& response) {
  const auto outcome = FindHeader(response.headers, "Teaseljunction-Outcome");
  if (outcome.has_value()) return *outcome != "not-run";
  return response.status >= 500;
}

// After an attempt with an unknown outcome, this refusal does not exclude that the attempt was
// accepted and replaced by a higher version since.
bool LeavesEarlierAttemptsOpen(const http_response& response) {
  return absl::StrContains(DecodeProblem(response.body).type, "manifest-outdated");
}

}  // namespace

operators_client::operators_client(http_transport& transport, std::vector<std::string> servers,
                                   absl::Duration timeout, absl::Duration pause)
    : transport_(transport), servers_(std::move(servers)), timeout_(timeout), pause_(pause) {}

operators_answer operators_client::Send(const std::string& method, const std::string& path,
                                        const std::string& body, repetition allowed) {
  const http_request request{method, path, {{"Content-Type", "application/json"}}, body};
  progress so_far;
  operators_answer answer;
  const int rounds = allowed == repetition::kSafe ? kSafeRounds : 1;
  for (int round = 0; round < rounds; ++round) {
    if (round > 0) absl::SleepFor(pause_);
    for (const std::string& server : servers_) {
      if (TryServer(server, request, allowed, so_far, answer)) return answer;
    }
    // Nothing was sent, so that another round is as good as another start of the tool.
    if (!so_far.may_have_run && !so_far.refused) break;
  }
  answer.message = so_far.message;
  answer.code = exit_code::kUnreachable;
  if (so_far.refused) answer.code = exit_code::kRefused;
  if (so_far.may_have_run) answer.code = exit_code::kOutcomeUnknown;
  return answer;
}

bool operators_client::TryServer(const std::string& server, const http_request& request,
                                 repetition allowed, progress& so_far, operators_answer& answer) {
  const transport_answer sent = transport_.Send(server, request, timeout_);
  if (sent.state == delivery::kAnswered) {
    return JudgeResponse(sent.response, server, allowed, so_far, answer);
  }
  absl::StrAppend(&so_far.message, so_far.message.empty() ? "" : "\n", server, ": ", sent.fault);
  if (sent.state == delivery::kNotSent || allowed == repetition::kRead) return false;
  so_far.may_have_run = true;
  if (allowed == repetition::kSafe) return false;
  answer = {exit_code::kOutcomeUnknown, "", so_far.message};
  return true;
}

bool operators_client::JudgeResponse(const http_response& response, const std::string& server,
                                     repetition allowed, progress& so_far,
                                     operators_answer& answer) {
  if (IsSuccess(response.status)) {
    answer = {exit_code::kOk, response.body, ""};
    return true;
  }
  absl::StrAppend(&so_far.message, so_far.message.empty() ? "" : "\n", server, ": ",
                  DescribeProblem(response));
  const bool may_have_run = MayHaveRun(response) && allowed != repetition::kRead;
  const bool other_server_helps =
      may_have_run || response.status == kMisdirected || response.status == kUnavailable;
  if (other_server_helps && !(may_have_run && allowed == repetition::kUnsafe)) {
    so_far.may_have_run |= may_have_run;
    so_far.refused = true;
    return false;
  }
  const bool open = may_have_run || (so_far.may_have_run && LeavesEarlierAttemptsOpen(response));
  answer = {open ? exit_code::kOutcomeUnknown : exit_code::kRefused, "", so_far.message};
  return true;
}

std::string DescribeProblem(const http_response& response) {
  const problem_document problem = DecodeProblem(response.body);
  if (problem.title.empty()) return absl::StrCat("status ", response.status);
  return absl::StrCat(problem.title, problem.detail.empty() ? "" : " ", problem.detail);
}

}  // namespace teaseljunction

#include "gateway/entry_request_handler.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "balancer/retry_policy.h"
#include "common/event_log.h"
#include "http/problem.h"

namespace teaseljunction {
namespace {

constexpr int kRequestIdBytes = 8;
constexpr absl::string_view kLoopbackPrefix = "127.";
// Estimated time until a caller can be served by another daemon.
constexpr absl::Duration kDrainingRetryAfter = absl::Milliseconds(50);

}  // namespace

entry_request_handler::entry_request_handler(const entry_call_dependencies& dependencies,
                                             const active_manifest& config,
                                             call_context_table& contexts,
                                             target_announcement_handler& target,
                                             std::string host_ip)
    : deps_(dependencies),
      config_(config),
      contexts_(contexts),
      target_(target),
      host_ip_(std::move(host_ip)) {}

void entry_request_handler::Handle(http_request request, std::shared_ptr<http_exchange> exchange) {
  if (request.path == kTargetAnnouncementPath) {
    // An announcement from another host could redirect calls to a foreign process.
    if (request.remote_ip != host_ip_ && !absl::StartsWith(request.remote_ip, kLoopbackPrefix)) {
      exchange->Respond(ProblemResponse({error_kind::kNotFound, ""}, ""));
      return;
    }
    exchange->Respond(target_.Handle(request));
    return;
  }
  HandleCall(std::move(request), std::move(exchange));
}

bool entry_request_handler::MayOverlap(const http_request& request) const {
  const auto manifest = config_.Latest();
  if (manifest == nullptr) return true;
  const route* matched = FindRequestedRoute(*manifest, request).matched;
  return matched == nullptr || matched->idempotent;
}

result<resolved_call> entry_request_handler::Resolve(http_request request,
                                                     const std::string& request_id) {
  const absl::Time now = deps_.clock.Now();
  const auto manifest = config_.Confirmed(now);
  if (manifest == nullptr) return Fail(error_kind::kConfigurationStale);
  BOOST_LEAF_AUTO(resolved, ResolveCall(*manifest, contexts_, deps_.settings, std::move(request),
                                        request_id, now));
  BOOST_LEAF_CHECK(ApplyDrain(resolved, now));
  if (resolved.parent == nullptr) {
    InheritRank(resolved.request);
    return resolved;
  }
  const auto attempts = resolved.parent->TakeForChild();
  if (!attempts) return Fail(error_kind::kAttemptsExhausted);
  resolved.request.attempt_budget = attempts->attempts;
  resolved.parent_allocation_id = attempts->allocation_id;
  return resolved;
}

void entry_request_handler::InheritRank(call& request) const {
  if (request.depth == 0) return;
  const absl::optional<call_rank> rank = deps_.graph.RankOfChild(request.request_id);
  if (!rank) return;
  request.priority = rank->priority;
  request.cohort = rank->cohort;
  request.depth = rank->depth;
}

void entry_request_handler::BeginDrain(absl::Time callers_leave_at, absl::Time stop_end) {
  absl::MutexLock lock(&mutex_);
  drain_ = drain_state{callers_leave_at, stop_end, absl::nullopt};
}

void entry_request_handler::StopAcceptingCallers(absl::Time child_call_deadline) {
  absl::MutexLock lock(&mutex_);
  if (!drain_) drain_ = drain_state{deps_.clock.Now(), child_call_deadline, absl::nullopt};
  drain_->child_call_deadline = child_call_deadline;
}

void entry_request_handler::StopAccepting() { StopAcceptingCallers(absl::InfinitePast()); }

result<void> entry_request_handler::ApplyDrain(resolved_call& resolved, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  if (!drain_) return {};
  const call& request = resolved.request;
  const auto outlasts = [&](absl::Time end) {
    return resolved.deadline > end && now + deps_.graph.ExpectedDuration(request.route, now) > end;
  };
  if (!drain_->child_call_deadline) {
    if (request.depth == 0 && outlasts(drain_->stop_end)) return Fail(error_kind::kDraining);
    return {};
  }
  const absl::Time deadline = *drain_->child_call_deadline;
  if (request.depth == 0) return Fail(error_kind::kDraining);
  // Without a parent this can be a request of a caller, which another daemon can still run.
  const bool may_be_cut = request.idempotent ? outlasts(deadline) : resolved.deadline > deadline;
  if (may_be_cut && resolved.parent == nullptr) return Fail(error_kind::kDraining);
  resolved.deadline = std::min(resolved.deadline, deadline);
  if (resolved.deadline <= now) return Fail(error_kind::kDraining);
  return {};
}

absl::Duration entry_request_handler::DrainingRetryAfter(absl::Time now) {
  absl::MutexLock lock(&mutex_);
  if (!drain_) return kDrainingRetryAfter;
  return std::max(kDrainingRetryAfter, drain_->callers_leave_at - now);
}

std::string entry_request_handler::RequestIdFor(const http_request& request) {
  const call_header_names& headers = deps_.settings.headers;
  if (headers.caller_request_id) {
    const auto given = FindHeader(request.headers, headers.request_id);
    if (given && !given->empty()) return std::string(*given);
  }
  return RandomHex(deps_.random, kRequestIdBytes);
}

uint64_t entry_request_handler::ManifestVersion() const {
  const auto manifest = config_.Latest();
  return manifest == nullptr ? 0 : manifest->Manifest().version;
}

void entry_request_handler::HandleCall(http_request request,
                                       std::shared_ptr<http_exchange> exchange) {
  const std::string request_id = RequestIdFor(request);
  const std::string path = request.path;
  outcome<resolved_call> resolved =
      Capture<resolved_call>([&] { return Resolve(std::move(request), request_id); });
  if (const auto* failure = std::get_if<error>(&resolved)) {
    LogCall(call_event::kRefused, request_id,
            {{"reason", AnswerFor(failure->kind).name},
             {"path", path},
             {"config_version", ManifestVersion()}});
    deps_.metrics.RecordError(failure->kind);
    absl::optional<absl::Duration> retry_after;
    if (failure->kind == error_kind::kDraining) {
      retry_after = RetryAfterDelay(DrainingRetryAfter(deps_.clock.Now()), deps_.random);
    }
    http_response response = ProblemResponse(*failure, request_id, retry_after,
                                             deps_.settings.headers.fractional_retry_after);
    response.headers.push_back({deps_.settings.headers.request_id, request_id});
    exchange->Respond(std::move(response));
    return;
  }
  const call& accepted = std::get<resolved_call>(resolved).request;
  if (accepted.depth > 0) {
    deps_.graph.RecordChildCall(accepted.request_id, accepted.route, deps_.clock.Now());
  }
  std::make_shared<entry_call>(deps_, std::get<resolved_call>(std::move(resolved)),
                               std::move(exchange))
      ->Start();
}

}  // namespace teaseljunction

#include "standin/service_runner.h"

#include <algorithm>
#include <cstdlib>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "common/log.h"
#include "standin/standin_json.h"

namespace teaseljunction {
namespace {

// Interval between checks for disconnected callers.
constexpr absl::Duration kDisconnectCheckInterval = absl::Milliseconds(50);
constexpr absl::Duration kDefaultChildTimeout = absl::Seconds(10);

absl::Duration ChildTimeout(const standin_request& request) {
  int64_t remaining_ms = 0;
  const auto header = FindHeader(request.headers, "Teaseljunction-Deadline-Ms");
  if (!header.has_value() || !absl::SimpleAtoi(*header, &remaining_ms)) return kDefaultChildTimeout;
  return absl::Milliseconds(std::max<int64_t>(remaining_ms, 1));
}

// Headers that a child call inherits from its parent request.
std::vector<http_header> ChildHeaders(const standin_request& request) {
  std::vector<http_header> headers;
  for (const char* name : {"Teaseljunction-Context", "traceparent"}) {
    const auto value = FindHeader(request.headers, name);
    if (!value.has_value()) continue;
    const std::string text(*value);
    headers.push_back({name, text});
  }
  return headers;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

service_runner::service_runner(standin_settings settings, const clock_source& clock,
                               random_source& random)
    : settings_(settings), clock_(clock), model_(std::move(settings), clock.Now(), random) {
  thread_ = std::thread([this] { Run(); });
}

service_runner::~service_runner() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    state_changed_.Signal();
  }
  thread_.join();
  AbortAll();
}

void service_runner::Submit(standin_request request, reply_callback reply,
                            disconnect_check disconnected) {
  pending_replies replies;
  {
    absl::MutexLock lock(&mutex_);
    const uint64_t id = next_id_++;
    active_request& added = requests_[id];
    added.request = std::move(request);
    added.reply = std::move(reply);
    added.disconnected = std::move(disconnected);
    const model_effects effects = model_.Submit(id, added.request, clock_.Now());
    if (effects.shed) {
      standin_reply refused = BuildReply(added, 503, "shed");
      refused.headers.push_back({"Teaseljunction-Shed", "true"});
      Reply(id, std::move(refused), replies);
    }
    ApplyEffects(effects, replies);
    state_changed_.Signal();
  }
  SendReplies(replies);
}

void service_runner::UpdateSettings(const standin_settings_change& change) {
  absl::MutexLock lock(&mutex_);
  model_.UpdateSettings(change);
}

double service_runner::Load() {
  absl::MutexLock lock(&mutex_);
  return model_.Load();
}

standin_counters service_runner::Counters() {
  absl::MutexLock lock(&mutex_);
  return model_.Counters();
}

size_t service_runner::UnansweredRequests() {
  absl::MutexLock lock(&mutex_);
  return requests_.size();
}

void service_runner::AbortAll() {
  pending_replies replies;
  {
    absl::MutexLock lock(&mutex_);
    for (auto& [id, active] : requests_) {
      for (const uint64_t child : active.child_ids) client_.Cancel(child);
      replies.emplace_back(std::move(active.reply), BuildReply(active, 503, "aborted"));
    }
    requests_.clear();
  }
  SendReplies(replies);
}

void service_runner::Run() {
  while (true) {
    pending_replies replies;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) return;
      ProcessDueRequests(replies);
      if (replies.empty()) {
        absl::Time wake = timers_.empty() ? absl::InfiniteFuture() : timers_.top().first;
        if (!requests_.empty()) wake = std::min(wake, next_disconnect_check_);
        state_changed_.WaitWithTimeout(&mutex_, wake - clock_.Now());
      }
      if (clock_.Now() >= next_disconnect_check_) CancelDisconnected(replies);
    }
    SendReplies(replies);
  }
}

void service_runner::ApplyEffects(const model_effects& effects, pending_replies& replies) {
  for (const uint64_t id : effects.expired) {
    const auto found = requests_.find(id);
    if (found != requests_.end()) Reply(id, BuildReply(found->second, 504, "expired"), replies);
  }
  for (const started_request& started : effects.started) {
    if (started.crashes) {
      LOG(ERROR) << "standin: request body contains the --crash_on text, aborting";
      std::abort();
    }
    requests_[started.id].fails = started.fails;
    timers_.emplace(clock_.Now() + started.service_time, started.id);
  }
}

void service_runner::ProcessDueRequests(pending_replies& replies) {
  while (!timers_.empty() && timers_.top().first <= clock_.Now()) {
    const uint64_t id = timers_.top().second;
    timers_.pop();
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    if (found->second.fails || settings_.chain.empty()) {
      Finish(id, replies);
    } else {
      SendChildCalls(id, found->second);
    }
  }
}

void service_runner::SendChildCalls(uint64_t id, active_request& active) {
  active.remaining_children = settings_.chain.size();
  active.child_statuses.assign(settings_.chain.size(), 0);
  for (size_t i = 0; i < settings_.chain.size(); ++i) {
    standin_request child;
    child.method = settings_.chain[i].method;
    child.path = settings_.chain[i].path;
    child.headers = ChildHeaders(active.request);
    if (child.method != "GET" && child.method != "HEAD") {
      child.headers.push_back({"Content-Type", "application/json"});
      child.body = absl::StrCat("{\"child\":", i, "}");
    }
    active.child_ids.push_back(
        client_.Send(settings_.daemon_address, child, ChildTimeout(active.request),
                     [this, id, i](int status) { OnChildCompleted(id, i, status); }));
  }
}

void service_runner::OnChildCompleted(uint64_t id, size_t index, int status) {
  pending_replies replies;
  {
    absl::MutexLock lock(&mutex_);
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    found->second.child_statuses[index] = status;
    if (--found->second.remaining_children == 0) Finish(id, replies);
  }
  SendReplies(replies);
}

void service_runner::Finish(uint64_t id, pending_replies& replies) {
  const active_request& active = requests_[id];
  const bool children_failed =
      !std::all_of(active.child_statuses.begin(), active.child_statuses.end(), IsSuccess);
  const bool failed = active.fails || children_failed;
  standin_reply reply = BuildReply(active, 200, "completed");
  if (children_failed) reply = BuildReply(active, 502, "child-failed");
  if (active.fails) reply = BuildReply(active, 500, "failed");
  Reply(id, std::move(reply), replies);
  ApplyEffects(model_.Finish(id, failed, clock_.Now()), replies);
}

void service_runner::Reply(uint64_t id, standin_reply reply, pending_replies& replies) {
  const auto found = requests_.find(id);
  replies.emplace_back(std::move(found->second.reply), std::move(reply));
  requests_.erase(found);
}

void service_runner::CancelDisconnected(pending_replies& replies) {
  next_disconnect_check_ = clock_.Now() + kDisconnectCheckInterval;
  std::vector<uint64_t> disconnected_ids;
  for (const auto& [id, active] : requests_) {
    if (active.disconnected()) disconnected_ids.push_back(id);
  }
  for (const uint64_t id : disconnected_ids) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    for (const uint64_t child : found->second.child_ids) client_.Cancel(child);
    Reply(id, BuildReply(found->second, 499, "cancelled"), replies);
    ApplyEffects(model_.Cancel(id, clock_.Now()), replies);
  }
}

standin_reply service_runner::BuildReply(const active_request& active, int status,
                                         const std::string& result) const {
  standin_reply reply;
  reply.status = status;
  reply.headers.push_back({"Content-Type", "application/json"});
  std::vector<child_result> children;
  for (size_t i = 0; i < active.child_statuses.size(); ++i) {
    const child_call& called = settings_.chain[i];
    children.push_back({absl::StrCat(called.method, " ", called.path), active.child_statuses[i]});
  }
  reply.body = EncodeAnswer(settings_.service, active.request, result, children);
  return reply;
}

void service_runner::SendReplies(pending_replies& replies) {
  for (auto& [reply, answer] : replies) reply(std::move(answer));
}

}  // namespace teaseljunction

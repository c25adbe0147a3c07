#include "standin/service_runner.h"

#include <algorithm>
#include <cstdlib>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "common/log.h"
#include "standin/standin_json.h"

namespace teaseljunction {
namespace {

// Interval at which disconnected callers are looked for.
constexpr absl::Duration kDisconnectCheckInterval = absl::Milliseconds(50);
constexpr absl::Duration kDefaultChildTimeout = absl::Seconds(10);

absl::Duration ChildTimeout(const standin_request& request) {
  int64_t left_ms = 0;
  const auto header = FindHeader(request.headers, "Teaseljunction-Deadline-Ms");
  if (!header.has_value() || !absl::SimpleAtoi(*header, &left_ms)) return kDefaultChildTimeout;
  return absl::Milliseconds(std::max<int64_t>(left_ms, 1));
}

// Headers that a child call takes over from its parent.
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
    changed_.Signal();
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
    entry& added = entries_[id];
    added.request = std::move(request);
    added.reply = std::move(reply);
    added.disconnected = std::move(disconnected);
    const model_step step = model_.Arrive(id, added.request, clock_.Now());
    if (step.shed) {
      standin_reply refused = Answer(added, 503, "shed");
      refused.headers.push_back({"Teaseljunction-Shed", "true"});
      Reply(id, std::move(refused), replies);
    }
    Apply(step, replies);
    changed_.Signal();
  }
  Send(replies);
}

void service_runner::Change(const standin_change& change) {
  absl::MutexLock lock(&mutex_);
  model_.Change(change);
}

double service_runner::Load() {
  absl::MutexLock lock(&mutex_);
  return model_.Load();
}

standin_counters service_runner::Counters() {
  absl::MutexLock lock(&mutex_);
  return model_.Counters();
}

size_t service_runner::Unanswered() {
  absl::MutexLock lock(&mutex_);
  return entries_.size();
}

void service_runner::AbortAll() {
  pending_replies replies;
  {
    absl::MutexLock lock(&mutex_);
    for (auto& [id, served] : entries_) {
      for (const uint64_t child : served.child_ids) client_.Cancel(child);
      replies.emplace_back(std::move(served.reply), Answer(served, 503, "aborted"));
    }
    entries_.clear();
  }
  Send(replies);
}

void service_runner::Run() {
  while (true) {
    pending_replies replies;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) return;
      ServeDue(replies);
      if (replies.empty()) {
        absl::Time wake = due_.empty() ? absl::InfiniteFuture() : due_.top().first;
        if (!entries_.empty()) wake = std::min(wake, next_check_);
        changed_.WaitWithTimeout(&mutex_, wake - clock_.Now());
      }
      if (clock_.Now() >= next_check_) CancelDisconnected(replies);
    }
    Send(replies);
  }
}

void service_runner::Apply(const model_step& step, pending_replies& replies) {
  for (const uint64_t id : step.expired) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) Reply(id, Answer(found->second, 504, "expired"), replies);
  }
  for (const started_request& started : step.started) {
    if (started.crashes) {
      LOG(ERROR) << "standin: a request with the crash text arrived, aborting";
      std::abort();
    }
    entries_[started.id].fails = started.fails;
    due_.emplace(clock_.Now() + started.service_time, started.id);
  }
}

void service_runner::ServeDue(pending_replies& replies) {
  while (!due_.empty() && due_.top().first <= clock_.Now()) {
    const uint64_t id = due_.top().second;
    due_.pop();
    const auto found = entries_.find(id);
    if (found == entries_.end()) continue;
    if (found->second.fails || settings_.chain.empty()) {
      Finish(id, replies);
    } else {
      SendChildren(id, found->second);
    }
  }
}

void service_runner::SendChildren(uint64_t id, entry& served) {
  served.children_left = settings_.chain.size();
  served.child_statuses.assign(settings_.chain.size(), 0);
  for (size_t i = 0; i < settings_.chain.size(); ++i) {
    standin_request child;
    child.method = settings_.chain[i].method;
    child.path = settings_.chain[i].path;
    child.headers = ChildHeaders(served.request);
    if (child.method != "GET" && child.method != "HEAD") {
      child.headers.push_back({"Content-Type", "application/json"});
      child.body = absl::StrCat("{\"child\":", i, "}");
    }
    served.child_ids.push_back(
        client_.Send(settings_.daemon_address, child, ChildTimeout(served.request),
                     [this, id, i](int status) { FinishChild(id, i, status); }));
  }
}

void service_runner::FinishChild(uint64_t id, size_t index, int status) {
  pending_replies replies;
  {
    absl::MutexLock lock(&mutex_);
    const auto found = entries_.find(id);
    if (found == entries_.end()) return;
    found->second.child_statuses[index] = status;
    if (--found->second.children_left == 0) Finish(id, replies);
  }
  Send(replies);
}

void service_runner::Finish(uint64_t id, pending_replies& replies) {
  const entry& served = entries_[id];
  const bool children_failed =
      !std::all_of(served.child_statuses.begin(), served.child_statuses.end(), IsSuccess);
  const bool failed = served.fails || children_failed;
  standin_reply reply = Answer(served, 200, "completed");
  if (children_failed) reply = Answer(served, 502, "child-failed");
  if (served.fails) reply = Answer(served, 500, "failed");
  Reply(id, std::move(reply), replies);
  Apply(model_.Finish(id, failed, clock_.Now()), replies);
}

void service_runner::Reply(uint64_t id, standin_reply reply, pending_replies& replies) {
  const auto found = entries_.find(id);
  replies.emplace_back(std::move(found->second.reply), std::move(reply));
  entries_.erase(found);
}

void service_runner::CancelDisconnected(pending_replies& replies) {
  next_check_ = clock_.Now() + kDisconnectCheckInterval;
  std::vector<uint64_t> gone;
  for (const auto& [id, served] : entries_) {
    if (served.disconnected()) gone.push_back(id);
  }
  for (const uint64_t id : gone) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) continue;
    for (const uint64_t child : found->second.child_ids) client_.Cancel(child);
    Reply(id, Answer(found->second, 499, "cancelled"), replies);
    Apply(model_.Cancel(id, clock_.Now()), replies);
  }
}

standin_reply service_runner::Answer(const entry& served, int status,
                                     const std::string& result) const {
  standin_reply reply;
  reply.status = status;
  reply.headers.push_back({"Content-Type", "application/json"});
  std::vector<child_result> children;
  for (size_t i = 0; i < served.child_statuses.size(); ++i) {
    const child_call& called = settings_.chain[i];
    children.push_back({absl::StrCat(called.method, " ", called.path), served.child_statuses[i]});
  }
  reply.body = EncodeAnswer(settings_.service, served.request, result, children);
  return reply;
}

void service_runner::Send(pending_replies& replies) {
  for (auto& [reply, answer] : replies) reply(std::move(answer));
}

}  // namespace teaseljunction

#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "common/clock_source.h"
#include "common/random_source.h"
#include "standin/daemon_client.h"
#include "standin/service_model.h"
#include "standin/types.h"

namespace teaseljunction {

/// Serves the requests of a stand-in target: one thread with a timer queue, and child calls through
/// `daemon_client`. Thread-safe.
class service_runner {
 public:
  using reply_callback = absl::AnyInvocable<void(standin_reply)>;
  /// Returns true when the caller has disconnected.
  using disconnect_check = std::function<bool()>;

  /// `clock` and `random` must outlive the runner.
  service_runner(standin_settings settings, const clock_source& clock, random_source& random);
  /// Ends all requests with 503.
  ~service_runner();
  service_runner(const service_runner&) = delete;
  service_runner& operator=(const service_runner&) = delete;

  /// Serves a request. `reply` runs exactly once; `disconnected` is called only before that.
  void Submit(standin_request request, reply_callback reply, disconnect_check disconnected);

  void Change(const standin_change& change);
  double Load();
  standin_counters Counters();

  /// Number of requests without a reply.
  size_t Unanswered();

  /// Ends all requests with 503, for a shutdown that may not wait any longer.
  void AbortAll();

 private:
  struct entry {
    standin_request request;
    reply_callback reply;
    disconnect_check disconnected;
    bool fails = false;
    size_t children_left = 0;
    std::vector<int> child_statuses;
    std::vector<uint64_t> child_ids;
  };
  using due_request = std::pair<absl::Time, uint64_t>;
  using pending_replies = std::vector<std::pair<reply_callback, standin_reply>>;

  void Run();
  void Apply(const model_step& step, pending_replies& replies)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ServeDue(pending_replies& replies) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendChildren(uint64_t id, entry& served) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void FinishChild(uint64_t id, size_t index, int status);
  void Finish(uint64_t id, pending_replies& replies) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Reply(uint64_t id, standin_reply reply, pending_replies& replies)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CancelDisconnected(pending_replies& replies) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  standin_reply Answer(const entry& served, int status, const std::string& result) const;
  static void Send(pending_replies& replies);

  const standin_settings settings_;
  const clock_source& clock_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  service_model model_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::Time next_check_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::flat_hash_map<uint64_t, entry> entries_ ABSL_GUARDED_BY(mutex_);
  std::priority_queue<due_request, std::vector<due_request>, std::greater<>> due_
      ABSL_GUARDED_BY(mutex_);
  daemon_client client_;
  std::thread thread_;
};

}  // namespace teaseljunction

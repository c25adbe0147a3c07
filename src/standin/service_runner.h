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

/// Executes the requests of a stand-in target with one thread and a timer queue, and sends child
/// calls through `daemon_client`. Thread-safe.
class service_runner {
 public:
  using reply_callback = absl::AnyInvocable<void(standin_reply)>;
  /// Returns true when the caller has disconnected. Runs with the lock of the runner held.
  using disconnect_check = std::function<bool()>;

  /// `clock` and `random` must outlive the runner.
  service_runner(standin_settings settings, const clock_source& clock, random_source& random);
  /// Aborts all requests with status 503.
  ~service_runner();
  service_runner(const service_runner&) = delete;
  service_runner& operator=(const service_runner&) = delete;

  /// Executes a request. `reply` runs exactly once, on any thread and possibly before Submit()
  /// returns; `disconnected` is called only before that.
  void Submit(standin_request request, reply_callback reply, disconnect_check disconnected);

  void UpdateSettings(const standin_settings_change& change);
  double Load();
  standin_counters Counters();

  /// Returns the number of requests without a reply.
  size_t UnansweredRequests();

  /// Aborts all requests with status 503 when the drain timeout of a shutdown has expired.
  void AbortAll();

 private:
  struct active_request {
    standin_request request;
    reply_callback reply;
    disconnect_check disconnected;
    bool fails = false;
    size_t remaining_children = 0;
    std::vector<int> child_statuses;
    std::vector<uint64_t> child_ids;
  };
  using timer_entry = std::pair<absl::Time, uint64_t>;
  using pending_replies = std::vector<std::pair<reply_callback, standin_reply>>;

  void Run();
  void ApplyEffects(const model_effects& effects, pending_replies& replies)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ProcessDueRequests(pending_replies& replies) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendChildCalls(uint64_t id, active_request& active) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnChildCompleted(uint64_t id, size_t index, int status);
  void Finish(uint64_t id, pending_replies& replies) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Reply(uint64_t id, standin_reply reply, pending_replies& replies)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CancelDisconnected(pending_replies& replies) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  standin_reply BuildReply(const active_request& active, int status,
                           const std::string& result) const;
  static void SendReplies(pending_replies& replies);

  const standin_settings settings_;
  const clock_source& clock_;
  absl::Mutex mutex_;
  absl::CondVar state_changed_;
  service_model model_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::Time next_disconnect_check_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::flat_hash_map<uint64_t, active_request> requests_ ABSL_GUARDED_BY(mutex_);
  std::priority_queue<timer_entry, std::vector<timer_entry>, std::greater<>> timers_
      ABSL_GUARDED_BY(mutex_);
  daemon_client client_;
  std::thread thread_;
};

}  // namespace teaseljunction

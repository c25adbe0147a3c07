#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "common/clock_source.h"
#include "common/log_limiter.h"
#include "common/scheduler.h"
#include "event_loop/loop_queue.h"

namespace teaseljunction {

/// Watches a descriptor for input. Dropping it, on the loop's thread, ends the watch.
class input_watch {
 public:
  virtual ~input_watch() noexcept(false) = default;
};

/// One thread that waits for all sockets and timers of a daemon, so that a call is served from its
/// arrival to its answer without a change of thread. Servers and clients attach to it; what they do
/// for one turn of the loop they can put off to its end and do together.
class event_loop : public scheduler {
 public:
  explicit event_loop(const clock_source& clock);

  /// Stops like `Stop`.
  ~event_loop() override;

  /// Ends the thread. Tasks that have not started are dropped. All that is attached to the loop
  /// must have been destroyed.
  void Stop();

  bool OnLoopThread() const;

  /// Runs `task` on the loop's thread, later. Thread-safe.
  void Post(absl::AnyInvocable<void()> task);

  /// Runs `task` on the loop's thread: at once when called there, otherwise later. Thread-safe.
  void Run(absl::AnyInvocable<void()> task);

  /// Runs `task` on the loop's thread and returns when it has ended. Thread-safe.
  void RunAndWait(absl::AnyInvocable<void()> task);

  uint64_t RunAt(absl::Time when, absl::AnyInvocable<void()> task) override;
  void Cancel(uint64_t id) override;

  /// Runs `task` when no other event is due, before the loop waits again. On the loop's thread.
  void AtTurnEnd(absl::AnyInvocable<void()> task);

  /// Calls `on_input` each time new input has arrived at `fd`, which must outlive the watch. The
  /// callback has to read all input, because it is not called again for the rest. On the loop's
  /// thread.
  std::unique_ptr<input_watch> Watch(int fd, absl::AnyInvocable<void()> on_input);

  /// The loop's sockets and timers. On the loop's thread.
  kj::AsyncIoContext& Io() { return *io_; }

 private:
  using timer_key = std::pair<absl::Time, uint64_t>;
  class thread_state;
  class descriptor_watch;

  void Serve();
  void RunTurnEnd();
  void RunDueTimers();
  // Arranges for the earliest timer to run.
  void ArmTimer();

  const clock_source& clock_;
  log_limiter limiter_;
  loop_queue<absl::AnyInvocable<void()>> posted_;
  absl::Mutex mutex_;
  std::map<timer_key, absl::AnyInvocable<void()>> timers_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<uint64_t, absl::Time> times_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  // Used on the loop's thread only.
  kj::AsyncIoContext* io_ = nullptr;
  thread_state* state_ = nullptr;
  std::thread thread_;
};

}  // namespace teaseljunction

#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "common/busy_source.h"
#include "common/clock_source.h"
#include "common/log_limiter.h"
#include "common/scheduler.h"
#include "event_loop/busy_meter.h"
#include "event_loop/loop_queue.h"

namespace teaseljunction {

/// Registration of a file descriptor for input notifications. Destroying it ends the registration;
/// this must be done on the loop's thread.
class input_watch {
 public:
  virtual ~input_watch() noexcept(false) = default;
};

/// Registration of a file descriptor for notifications of input and output.
class descriptor_watch : public input_watch {
 public:
  /// Calls the output callback once when the descriptor can be written to. Meant to be used after a
  /// write found no space. Must be called on the loop's thread.
  virtual void AwaitOutput() = 0;
};

/// Event loop on a thread of its own that handles all sockets and timers of a daemon, so that a
/// call is served from request to response without switching threads. Servers and clients attach to
/// it. They can defer work to the end of a turn of the loop and process it as a batch.
///
/// Tasks must not block. An exception that leaves a task or a callback is logged, and the loop goes
/// on with the next one.
class event_loop : public scheduler, public busy_source {
 public:
  /// Starts the thread and returns once it is ready. `clock` must outlive the loop.
  explicit event_loop(const clock_source& clock);

  /// Calls `Stop`.
  ~event_loop() override;

  /// Ends the thread and waits for it. Tasks that have not started are discarded. Everything that
  /// is attached to the loop must have been destroyed before. Must not be called on the loop's
  /// thread.
  void Stop();

  /// Returns whether the caller runs on the loop's thread. Thread-safe.
  bool IsLoopThread() const;

  /// Queues `task` to run on the loop's thread. Thread-safe. After `Stop` the task is discarded.
  void Post(absl::AnyInvocable<void()> task);

  /// Runs `task` immediately when called on the loop's thread, otherwise queues it like `Post`.
  /// Thread-safe.
  void Run(absl::AnyInvocable<void()> task);

  /// Runs `task` on the loop's thread and returns when it has finished. An exception that leaves it
  /// is thrown to the caller. Thread-safe. Must not be called after `Stop`, because the task would
  /// never run.
  void RunAndWait(absl::AnyInvocable<void()> task);

  // See `scheduler`. Tasks run on the loop's thread; after `Stop` they are discarded and the id is
  // 0.
  uint64_t RunAt(absl::Time when, absl::AnyInvocable<void()> task) override;
  void Cancel(uint64_t id) override;

  /// Runs `task` once all pending events have been handled, before the loop waits again. Must be
  /// called on the loop's thread.
  void RunAtTurnEnd(absl::AnyInvocable<void()> task);

  /// Calls `on_input` on the loop's thread each time new input has arrived at `fd`, which must
  /// outlive the returned watch. Notification is edge-triggered: the callback has to read all
  /// available input, because it is not called again for the remainder. Must be called on the
  /// loop's thread.
  std::unique_ptr<input_watch> WatchInput(int fd, absl::AnyInvocable<void()> on_input);

  /// Like `WatchInput`. `on_output` is called once after each call of `AwaitOutput`.
  std::unique_ptr<descriptor_watch> WatchDescriptor(int fd, absl::AnyInvocable<void()> on_input,
                                                    absl::AnyInvocable<void()> on_output);

  /// Records that an event is being handled, to measure how busy the loop is. Only needed for
  /// events that reach the loop through KJ instead of a method of this class. Must be called on the
  /// loop's thread.
  void RecordActivity();

  // See `busy_source`.
  double BusyLoad(absl::Time now) const override;

  /// Returns how busy the loop was since the previous call. Thread-safe.
  busy_period_report TakeBusyPeriod();

  /// Returns the load of the loop and the time in which it was busy, in the Prometheus text format.
  /// Thread-safe.
  std::string FormatPrometheus() const;

  /// Returns KJ's I/O context of the loop. Must be called and used on the loop's thread.
  kj::AsyncIoContext& IoContext() { return *io_; }

 private:
  using timer_key = std::pair<absl::Time, uint64_t>;
  class loop_state;
  class observed_descriptor;

  void RunLoop();
  void RunTurnEndTasks();
  void RunDueTimers();
  // Schedules a wake-up of the loop for the earliest timer.
  void ArmTimer();

  const clock_source& clock_;
  log_limiter limiter_;
  loop_queue<absl::AnyInvocable<void()>> posted_tasks_;
  mutable absl::Mutex mutex_;
  std::map<timer_key, absl::AnyInvocable<void()>> timers_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<uint64_t, absl::Time> timer_times_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  busy_meter meter_ ABSL_GUARDED_BY(mutex_);
  // Only used on the loop's thread.
  kj::AsyncIoContext* io_ = nullptr;
  loop_state* state_ = nullptr;
  std::thread thread_;
};

}  // namespace teaseljunction

#pragma once

#include <map>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "common/clock_source.h"
#include "gateway/scheduler.h"

namespace teaseljunction {

/// Runs delayed tasks on one thread, in the order of their times.
class timer_thread : public scheduler {
 public:
  explicit timer_thread(const clock_source& clock);

  /// Stops the thread. Tasks that have not started are dropped.
  ~timer_thread() override;

  uint64_t RunAt(absl::Time when, absl::AnyInvocable<void()> task) override;
  void Cancel(uint64_t id) override;

  /// Stops the thread early, so that no task runs while its owner is being destroyed.
  void Stop();

 private:
  using timer_key = std::pair<absl::Time, uint64_t>;

  void Run();

  const clock_source& clock_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  std::map<timer_key, absl::AnyInvocable<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<uint64_t, absl::Time> times_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace teaseljunction

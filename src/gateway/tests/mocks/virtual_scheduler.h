#pragma once

#include <map>
#include <utility>

#include "common/clock_source.h"
#include "common/scheduler.h"

namespace teaseljunction {

/// Clock and scheduler whose time advances only in `AdvanceBy`. For use by a single thread.
class virtual_scheduler : public clock_source, public scheduler {
 public:
  absl::Time Now() const override { return now_; }

  uint64_t RunAt(absl::Time when, absl::AnyInvocable<void()> task) override {
    tasks_.emplace(std::make_pair(when, ++last_id_), std::move(task));
    return last_id_;
  }

  void Cancel(uint64_t id) override {
    for (auto entry = tasks_.begin(); entry != tasks_.end(); ++entry) {
      if (entry->first.second != id) continue;
      tasks_.erase(entry);
      return;
    }
  }

  /// Advances the time and runs the tasks that become due, in order.
  void AdvanceBy(absl::Duration step) {
    const absl::Time end = now_ + step;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto due_task = tasks_.extract(tasks_.begin());
      now_ = std::max(now_, due_task.key().first);
      due_task.mapped()();
    }
    now_ = end;
  }

 private:
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  uint64_t last_id_ = 0;
  std::map<std::pair<absl::Time, uint64_t>, absl::AnyInvocable<void()>> tasks_;
};

}  // namespace teaseljunction

#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "balancer/attempt_budget.h"
#include "common/random_source.h"
#include "common/types.h"

namespace teaseljunction {

/// Attempts allocated to one child call from the budget of the running call. `allocation_id` is
/// passed to `running_call::ReturnUnusedAttempts`.
struct child_attempt_budget {
  uint32_t allocation_id = 0;
  uint32_t attempts = 0;
};

/// A call that is running at the target beside this daemon. Child calls made by the target inherit
/// its attributes. Thread-safe.
class running_call {
 public:
  running_call(const call& request, absl::Time deadline);

  const std::string& RequestId() const { return request_id_; }
  const std::string& ClientAccount() const { return client_account_; }
  request_priority Priority() const { return priority_; }
  uint8_t Cohort() const { return cohort_; }
  uint32_t Depth() const { return depth_; }
  absl::Time Deadline() const { return deadline_; }
  bool Idempotent() const { return idempotent_; }
  const std::string& Identity() const { return identity_; }

  /// Allocates attempts for one child call. Returns nothing when none are left or the call has
  /// ended.
  absl::optional<child_attempt_budget> TakeForChild() ABSL_LOCKS_EXCLUDED(mutex_);

  /// Returns the unused attempts of a finished child call to the budget. `allocation_id` is that of
  /// its `child_attempt_budget`. Has no effect once this call has ended.
  void ReturnUnusedAttempts(uint32_t allocation_id, uint32_t unused) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Returns the ordinal of the next child call, starting at 1. Each call of this function counts
  /// as one child call.
  uint32_t NextChildOrdinal() ABSL_LOCKS_EXCLUDED(mutex_);

  /// True once at least one child call has been made.
  bool HasMadeChildCalls() ABSL_LOCKS_EXCLUDED(mutex_);

  /// Registers a callback that cancels a child call. It runs when this call ends, or immediately
  /// when the call has ended already.
  void AddChildCancellation(absl::AnyInvocable<void()> cancel) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Ends the call: cancels its child calls and returns the number of unused attempts; 0 when it
  /// had ended already. Attempts that child calls return later are lost.
  uint32_t End() ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  const std::string request_id_;
  const std::string client_account_;
  const request_priority priority_;
  const uint8_t cohort_;
  const uint32_t depth_;
  const absl::Time deadline_;
  const bool idempotent_;
  const std::string identity_;
  absl::Mutex mutex_;
  attempt_budget budget_ ABSL_GUARDED_BY(mutex_);
  uint32_t child_ordinal_ ABSL_GUARDED_BY(mutex_) = 0;
  bool made_child_calls_ ABSL_GUARDED_BY(mutex_) = false;
  bool ended_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<absl::AnyInvocable<void()>> child_cancellations_ ABSL_GUARDED_BY(mutex_);
};

/// Maps the tokens sent in the context header to running calls. A token consists of 128 random bits
/// and is valid only in this process and while its call runs, so a target cannot forge one.
/// Thread-safe.
class call_context_table {
 public:
  explicit call_context_table(random_source& random) : random_(random) {}

  /// Registers a call and returns its token.
  std::string Add(std::shared_ptr<running_call> running);

  /// Returns the call registered under a token, or null.
  std::shared_ptr<running_call> Find(absl::string_view token) const;

  /// Removes a call, which invalidates its token.
  void Remove(absl::string_view token);

 private:
  static constexpr size_t kShardCount = 16;

  struct shard {
    mutable absl::Mutex mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<running_call>> calls ABSL_GUARDED_BY(mutex);
  };

  const shard& ShardOf(absl::string_view token) const;

  random_source& random_;
  std::array<shard, kShardCount> shards_;
};

}  // namespace teaseljunction

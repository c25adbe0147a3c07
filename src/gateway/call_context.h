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

/// The part of a running call's attempt budget that one of its child calls may use.
struct child_attempts {
  uint32_t part = 0;
  uint32_t attempts = 0;
};

/// A call that runs at the target beside this daemon. Child calls of the target inherit from it.
/// Thread-safe.
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

  /// Takes the attempts for one child call. Returns nothing when none are left or the call ended.
  absl::optional<child_attempts> TakeForChild() ABSL_LOCKS_EXCLUDED(mutex_);

  /// Gives back the unused attempts of a finished child call. `part` is that of its
  /// `child_attempts`. Has no effect once this call has ended.
  void ReturnFromChild(uint32_t part, uint32_t unused) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Returns the number of this child call, counted from 1.
  uint32_t NextChildOrdinal() ABSL_LOCKS_EXCLUDED(mutex_);

  /// True once a child call was made.
  bool MadeChildCalls() ABSL_LOCKS_EXCLUDED(mutex_);

  /// Runs `cancel` when the call ends while the child call still runs; at once when it has ended.
  void AddChildCancel(absl::AnyInvocable<void()> cancel) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Ends the call: cancels its child calls and returns the attempts that were not used. Attempts
  /// that child calls return later are lost.
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
  std::vector<absl::AnyInvocable<void()>> child_cancels_ ABSL_GUARDED_BY(mutex_);
};

/// Finds running calls by the token in the context header. Tokens are 128 random bits that are
/// valid only in this process and only while their call runs, so a target cannot forge one.
/// Thread-safe.
class call_context_table {
 public:
  explicit call_context_table(random_source& random) : random_(random) {}

  /// Registers a call and returns its token.
  std::string Add(std::shared_ptr<running_call> running);

  /// Returns the call of a token, or null.
  std::shared_ptr<running_call> Find(absl::string_view token) const;

  /// Makes a token invalid.
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

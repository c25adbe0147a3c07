#pragma once

#include <array>
#include <deque>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "common/clock_source.h"
#include "common/scheduler.h"
#include "shares/token_cache.h"

namespace teaseljunction {

/// Outcome of a request for one token of a client account.
struct token_result {
  bool granted = false;
  /// Time after which a retry can succeed; meaningful only when `granted` is false.
  absl::Duration retry_after;
};

/// Limits the request rate of client accounts with tokens granted by the leader. A request that
/// finds no token waits for the next grant, for at most `max_wait`. Thread-safe; accounts are
/// distributed over shards.
class account_rate_limiter {
 public:
  using completion = absl::AnyInvocable<void(token_result)>;

  /// `request_sync` is called when a sync should be sent before the next regular one. It may be
  /// called from several threads at once and never with a lock held.
  account_rate_limiter(const clock_source& clock, scheduler& timers, absl::Duration max_wait,
                       absl::AnyInvocable<void()> request_sync);

  /// Replaces the rates of all accounts.
  void SetAccounts(absl::Span<const account_rate> accounts);

  /// Takes one token and runs `done` exactly once: immediately, when a grant arrives, or with
  /// `granted` false after `max_wait`.
  void AcquireToken(absl::string_view client_account, completion done);

  /// Returns the token demands to be sent with the next sync.
  std::vector<token_demand> CollectDemands();

  /// Sets whether the leader, which owns the rates, is unreachable. While it is, tokens are issued
  /// as described at `token_cache::OnAllocatorLost`.
  void SetAllocatorLost(bool lost);

  /// Adds the tokens granted in a sync response. `request_sent_at` is the time at which the sync
  /// request was sent.
  void ApplyGrants(absl::Span<const token_grant> grants, absl::Time request_sent_at);

 private:
  static constexpr size_t kShardCount = 8;

  struct waiter {
    uint64_t id = 0;
    completion done;
  };
  struct shard {
    absl::Mutex mutex;
    token_cache cache ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::string, std::deque<waiter>> wait_queues ABSL_GUARDED_BY(mutex);
    uint64_t next_waiter_id ABSL_GUARDED_BY(mutex) = 0;
  };
  struct finished_wait {
    completion done;
    token_result outcome;
  };

  static size_t ShardIndex(absl::string_view client_account);
  shard& ShardOf(absl::string_view client_account);
  void ExpireWait(shard& account_shard, const std::string& client_account, uint64_t waiter_id);
  using take_function = bool (token_cache::*)(absl::string_view, absl::Time);

  // Completes waiting requests in order of arrival for as long as `try_take` yields tokens.
  static void GrantWaiting(shard& account_shard, absl::string_view account, take_function try_take,
                           absl::Time now, std::vector<finished_wait>& finished)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(account_shard.mutex);

  const clock_source& clock_;
  scheduler& timers_;
  const absl::Duration max_wait_;
  absl::AnyInvocable<void()> request_sync_;
  std::array<shard, kShardCount> shards_;
};

}  // namespace teaseljunction

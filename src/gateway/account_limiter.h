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
#include "shares/share_holder.h"

namespace teaseljunction {

/// Result of asking for a token of a client account.
struct token_result {
  bool granted = false;
  /// When the request is refused: time after which a retry can succeed.
  absl::Duration retry_after;
};

/// Limits the rate of client accounts with the tokens that the leader granted. A request that finds
/// no token waits for the next grant, up to `max_wait`. Thread-safe; accounts are spread over
/// shards.
class account_limiter {
 public:
  using completion = absl::AnyInvocable<void(token_result)>;

  /// `request_sync` is called, without locks held, when a sync should be sent early.
  account_limiter(const clock_source& clock, scheduler& timers, absl::Duration max_wait,
                  absl::AnyInvocable<void()> request_sync);

  /// Replaces the rates of all accounts.
  void SetAccounts(absl::Span<const account_rate> accounts);

  /// Takes one token and runs `done` exactly once, at once or when a grant arrives.
  void Acquire(absl::string_view client_account, completion done);

  /// Returns the demands for the next sync.
  std::vector<token_demand> CollectDemands();

  /// Tells whether the owner of the rates, the leader, answers. See `share_holder::OwnerLost`.
  void SetOwnerLost(bool lost);

  /// Adds granted tokens. `request_sent_at` is the time at which the sync was sent.
  void ApplyGrants(absl::Span<const token_grant> grants, absl::Time request_sent_at);

 private:
  static constexpr size_t kShardCount = 8;

  struct waiter {
    uint64_t id = 0;
    completion done;
  };
  struct shard {
    absl::Mutex mutex;
    share_holder holder ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::string, std::deque<waiter>> waiting ABSL_GUARDED_BY(mutex);
    uint64_t next_waiter_id ABSL_GUARDED_BY(mutex) = 0;
  };
  struct finished_wait {
    completion done;
    token_result outcome;
  };

  static size_t ShardIndex(absl::string_view client_account);
  shard& ShardOf(absl::string_view client_account);
  void Expire(shard& owner, const std::string& client_account, uint64_t waiter_id);
  using take_function = bool (share_holder::*)(absl::string_view, absl::Time);

  // Ends the waits for which `take` yields a token, in order.
  static void TakeReady(shard& owner, absl::string_view account, take_function take, absl::Time now,
                        std::vector<finished_wait>& finished)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(owner.mutex);

  const clock_source& clock_;
  scheduler& timers_;
  const absl::Duration max_wait_;
  absl::AnyInvocable<void()> request_sync_;
  std::array<shard, kShardCount> shards_;
};

}  // namespace teaseljunction

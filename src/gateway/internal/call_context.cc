#include "gateway/call_context.h"

#include <utility>

#include "absl/hash/hash.h"

namespace teaseljunction {
namespace {

constexpr int kTokenBytes = 16;

}  // namespace

running_call::running_call(const call& request, absl::Time deadline)
    : request_id_(request.request_id),
      client_account_(request.client_account),
      priority_(request.priority),
      cohort_(request.cohort),
      depth_(request.depth),
      deadline_(deadline),
      idempotent_(request.idempotent),
      identity_(request.identity),
      budget_(request.attempt_budget) {}

absl::optional<child_attempt_budget> running_call::TakeForChild() {
  absl::MutexLock lock(&mutex_);
  if (ended_) return absl::nullopt;
  made_child_calls_ = true;
  const auto attempts = budget_.TakeForChild();
  if (!attempts) return absl::nullopt;
  return child_attempt_budget{budget_.LastAllocationId(), *attempts};
}

void running_call::ReturnUnusedAttempts(uint32_t allocation_id, uint32_t unused) {
  absl::MutexLock lock(&mutex_);
  if (!ended_) budget_.ReturnAllocation(allocation_id, unused);
}

uint32_t running_call::NextChildOrdinal() {
  absl::MutexLock lock(&mutex_);
  return ++child_ordinal_;
}

bool running_call::HasMadeChildCalls() {
  absl::MutexLock lock(&mutex_);
  return made_child_calls_;
}

void running_call::AddChildCancellation(absl::AnyInvocable<void()> cancel) {
  {
    absl::MutexLock lock(&mutex_);
    if (!ended_) {
      child_cancellations_.push_back(std::move(cancel));
      return;
    }
  }
  cancel();
}

uint32_t running_call::End() {
  std::vector<absl::AnyInvocable<void()>> cancellations;
  uint32_t left = 0;
  {
    absl::MutexLock lock(&mutex_);
    if (ended_) return 0;
    ended_ = true;
    left = budget_.Close();
    cancellations.swap(child_cancellations_);
  }
  for (auto& cancel : cancellations) cancel();
  return left;
}

const call_context_table::shard& call_context_table::ShardOf(absl::string_view token) const {
  return shards_[absl::HashOf(token) % kShardCount];
}

std::string call_context_table::Add(std::shared_ptr<running_call> running) {
  std::string token = RandomHex(random_, kTokenBytes);
  auto& shard_of_token = const_cast<shard&>(ShardOf(token));
  absl::MutexLock lock(&shard_of_token.mutex);
  shard_of_token.calls[token] = std::move(running);
  return token;
}

std::shared_ptr<running_call> call_context_table::Find(absl::string_view token) const {
  const shard& shard_of_token = ShardOf(token);
  absl::MutexLock lock(&shard_of_token.mutex);
  const auto found = shard_of_token.calls.find(token);
  return found == shard_of_token.calls.end() ? nullptr : found->second;
}

void call_context_table::Remove(absl::string_view token) {
  auto& shard_of_token = const_cast<shard&>(ShardOf(token));
  absl::MutexLock lock(&shard_of_token.mutex);
  shard_of_token.calls.erase(token);
}

}  // namespace teaseljunction

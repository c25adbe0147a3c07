#include "admission/internal/call_queue.h"

#include <algorithm>

namespace teaseljunction {
namespace {

// Accounts tracked per priority before those without a recent backlog are forgotten.
constexpr size_t kMaxTrackedAccounts = 256;

}  // namespace

bool call_queue::Push(const admission_request& request, absl::Time now,
                      std::vector<uint64_t>& evicted) {
  if (request.size_bytes > max_bytes_) return false;
  while (IsFullFor(request.size_bytes)) {
    const absl::optional<uint64_t> victim = FindVictim(request);
    if (!victim) return false;
    evicted.push_back(Extract(*victim).request.call_id);
  }
  const uint64_t sequence = next_sequence_++;
  priority_lane& lane = LaneFor(request.priority);
  lane.by_depth[request.depth][request.client_account].insert(sequence);
  lane.by_age.insert(sequence);
  if (!request.carried) lane.not_carried.insert(sequence);
  lane.by_deadline.emplace(request.deadline, sequence);
  bytes_ += request.size_bytes;
  sequence_by_call_id_[request.call_id] = sequence;
  calls_[sequence] = queued_call{request, now};
  return true;
}

absl::optional<uint64_t> call_queue::FindVictim(const admission_request& request) const {
  const auto victim_lane = std::find_if(lanes_.rbegin(), lanes_.rend(),
                                        [](const priority_lane& l) { return !l.by_age.empty(); });
  if (victim_lane == lanes_.rend()) return absl::nullopt;
  const auto priority = static_cast<request_priority>(lanes_.rend() - victim_lane - 1);
  if (priority < request.priority) return absl::nullopt;
  const auto& [depth, accounts] = *victim_lane->by_depth.rbegin();
  const auto longest = std::max_element(
      accounts.begin(), accounts.end(),
      [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
  if (priority == request.priority) {
    if (depth > request.depth) return absl::nullopt;
    const auto own = accounts.find(request.client_account);
    const size_t own_size = own == accounts.end() ? 0 : own->second.size();
    // A call may evict only a call of an account with more queued calls than its own account.
    if (depth == request.depth && own_size + 1 >= longest->second.size()) return absl::nullopt;
  }
  return *longest->second.rbegin();
}

absl::optional<queued_call> call_queue::Remove(uint64_t call_id) {
  const auto entry = sequence_by_call_id_.find(call_id);
  if (entry == sequence_by_call_id_.end()) return absl::nullopt;
  return Extract(entry->second);
}

queued_call call_queue::Extract(uint64_t sequence) {
  const auto entry = calls_.find(sequence);
  queued_call call = std::move(entry->second);
  calls_.erase(entry);
  sequence_by_call_id_.erase(call.request.call_id);
  bytes_ -= call.request.size_bytes;
  priority_lane& lane = LaneFor(call.request.priority);
  lane.by_age.erase(sequence);
  lane.not_carried.erase(sequence);
  lane.by_deadline.erase({call.request.deadline, sequence});
  const auto accounts = lane.by_depth.find(call.request.depth);
  const auto account = accounts->second.find(call.request.client_account);
  account->second.erase(sequence);
  if (account->second.empty()) accounts->second.erase(account);
  if (accounts->second.empty()) lane.by_depth.erase(accounts);
  return call;
}

queued_call call_queue::PopNext(const std::array<bool, kPriorityCount>& newest_first) {
  const auto lane = std::find_if(lanes_.begin(), lanes_.end(),
                                 [](const priority_lane& l) { return !l.by_age.empty(); });
  const auto start_tag = [&lane](const std::string& account) {
    const auto finish_tag = lane->finish_tags.find(account);
    return finish_tag == lane->finish_tags.end() ? lane->virtual_time
                                                 : std::max(finish_tag->second, lane->virtual_time);
  };
  const account_queues& accounts = lane->by_depth.begin()->second;
  const auto next_account = std::min_element(
      accounts.begin(), accounts.end(), [&start_tag](const auto& a, const auto& b) {
        return std::make_pair(start_tag(a.first), *a.second.begin()) <
               std::make_pair(start_tag(b.first), *b.second.begin());
      });
  const auto priority = static_cast<request_priority>(lane - lanes_.begin());
  const uint64_t oldest = *next_account->second.begin();
  const bool newest =
      newest_first[static_cast<size_t>(priority)] && !calls_.at(oldest).request.carried;
  const uint64_t sequence = newest ? *next_account->second.rbegin() : oldest;
  RecordServed(priority, next_account->first);
  return Extract(sequence);
}

void call_queue::RecordServed(request_priority priority, absl::string_view client_account) {
  priority_lane& lane = LaneFor(priority);
  if (lane.finish_tags.size() > kMaxTrackedAccounts) {
    absl::erase_if(lane.finish_tags,
                   [&lane](const auto& account) { return account.second <= lane.virtual_time; });
  }
  double& finish_tag = lane.finish_tags.try_emplace(client_account, 0).first->second;
  lane.virtual_time = std::max(lane.virtual_time, finish_tag);
  finish_tag = lane.virtual_time + 1;
}

const queued_call* call_queue::Oldest(request_priority priority) const {
  const priority_lane& lane = LaneFor(priority);
  return lane.by_age.empty() ? nullptr : &calls_.at(*lane.by_age.begin());
}

const queued_call* call_queue::OldestNotCarried(request_priority priority) const {
  const priority_lane& lane = LaneFor(priority);
  return lane.not_carried.empty() ? nullptr : &calls_.at(*lane.not_carried.begin());
}

const queued_call* call_queue::NextDeadline(request_priority priority) const {
  const priority_lane& lane = LaneFor(priority);
  return lane.by_deadline.empty() ? nullptr : &calls_.at(lane.by_deadline.begin()->second);
}

std::vector<uint64_t> call_queue::CallIds() const {
  std::vector<uint64_t> ids;
  ids.reserve(sequence_by_call_id_.size());
  for (const auto& [id, sequence] : sequence_by_call_id_) ids.push_back(id);
  return ids;
}

}  // namespace teaseljunction

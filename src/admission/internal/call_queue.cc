#include "admission/internal/call_queue.h"

#include <algorithm>

namespace teaseljunction {
namespace {

// Accounts that are remembered per priority before those without a backlog are dropped.
constexpr size_t kMaxAccounts = 256;

}  // namespace

bool call_queue::Push(const admission_request& request, absl::Time now,
                      std::vector<uint64_t>& evicted) {
  if (request.bytes > max_bytes_) return false;
  while (Full(request.bytes)) {
    const absl::optional<uint64_t> victim = FindVictim(request);
    if (!victim) return false;
    evicted.push_back(Take(*victim).request.call_id);
  }
  const uint64_t sequence = next_sequence_++;
  lane& target = LaneOf(request.priority);
  target.by_depth[request.depth][request.client_account].insert(sequence);
  target.by_age.insert(sequence);
  target.by_deadline.emplace(request.deadline, sequence);
  bytes_ += request.bytes;
  sequences_[request.call_id] = sequence;
  calls_[sequence] = queued_call{request, now};
  return true;
}

absl::optional<uint64_t> call_queue::FindVictim(const admission_request& request) const {
  const auto lane_of_victim =
      std::find_if(lanes_.rbegin(), lanes_.rend(), [](const lane& l) { return !l.by_age.empty(); });
  if (lane_of_victim == lanes_.rend()) return absl::nullopt;
  const auto priority = static_cast<request_priority>(lanes_.rend() - lane_of_victim - 1);
  if (priority < request.priority) return absl::nullopt;
  const auto& [depth, lines] = *lane_of_victim->by_depth.rbegin();
  const auto longest = std::max_element(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
  if (priority == request.priority) {
    if (depth > request.depth) return absl::nullopt;
    const auto own = lines.find(request.client_account);
    const size_t own_size = own == lines.end() ? 0 : own->second.size();
    // An account with fewer waiting calls displaces one with more, never the reverse.
    if (depth == request.depth && own_size + 1 >= longest->second.size()) return absl::nullopt;
  }
  return *longest->second.rbegin();
}

absl::optional<queued_call> call_queue::Remove(uint64_t call_id) {
  const auto entry = sequences_.find(call_id);
  if (entry == sequences_.end()) return absl::nullopt;
  return Take(entry->second);
}

queued_call call_queue::Take(uint64_t sequence) {
  const auto entry = calls_.find(sequence);
  queued_call taken = std::move(entry->second);
  calls_.erase(entry);
  sequences_.erase(taken.request.call_id);
  bytes_ -= taken.request.bytes;
  lane& from = LaneOf(taken.request.priority);
  from.by_age.erase(sequence);
  from.by_deadline.erase({taken.request.deadline, sequence});
  const auto lines = from.by_depth.find(taken.request.depth);
  const auto line = lines->second.find(taken.request.client_account);
  line->second.erase(sequence);
  if (line->second.empty()) lines->second.erase(line);
  if (lines->second.empty()) from.by_depth.erase(lines);
  return taken;
}

queued_call call_queue::PopNext(const std::array<bool, kPriorityCount>& newest_first) {
  const auto from =
      std::find_if(lanes_.begin(), lanes_.end(), [](const lane& l) { return !l.by_age.empty(); });
  const auto service_time = [&from](const std::string& account) {
    const auto next = from->next_service.find(account);
    return next == from->next_service.end() ? from->virtual_time
                                            : std::max(next->second, from->virtual_time);
  };
  const depth_lines& lines = from->by_depth.begin()->second;
  const auto line =
      std::min_element(lines.begin(), lines.end(), [&service_time](const auto& a, const auto& b) {
        return std::make_pair(service_time(a.first), *a.second.begin()) <
               std::make_pair(service_time(b.first), *b.second.begin());
      });
  const auto priority = static_cast<request_priority>(from - lanes_.begin());
  const bool newest = newest_first[static_cast<size_t>(priority)];
  const uint64_t sequence = newest ? *line->second.rbegin() : *line->second.begin();
  CountServed(priority, line->first);
  return Take(sequence);
}

void call_queue::CountServed(request_priority priority, absl::string_view client_account) {
  lane& served = LaneOf(priority);
  if (served.next_service.size() > kMaxAccounts) {
    absl::erase_if(served.next_service, [&served](const auto& account) {
      return account.second <= served.virtual_time;
    });
  }
  double& next = served.next_service.try_emplace(client_account, 0).first->second;
  served.virtual_time = std::max(served.virtual_time, next);
  next = served.virtual_time + 1;
}

const queued_call* call_queue::Oldest(request_priority priority) const {
  const lane& of = LaneOf(priority);
  return of.by_age.empty() ? nullptr : &calls_.at(*of.by_age.begin());
}

const queued_call* call_queue::NextDeadline(request_priority priority) const {
  const lane& of = LaneOf(priority);
  return of.by_deadline.empty() ? nullptr : &calls_.at(of.by_deadline.begin()->second);
}

std::vector<uint64_t> call_queue::Ids() const {
  std::vector<uint64_t> ids;
  ids.reserve(sequences_.size());
  for (const auto& [id, sequence] : sequences_) ids.push_back(id);
  return ids;
}

}  // namespace teaseljunction

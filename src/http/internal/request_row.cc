#include "http/internal/request_row.h"

#include <utility>

namespace teaseljunction {

request_row::request_row(const overlap_limits& limits, overlap_usage& usage)
    : limits_(limits), usage_(usage) {}

request_row::~request_row() { RemoveUsage(used_); }

overlap_limits request_row::UsageOf(const row_entry& entry) {
  return {entry.handled ? 1 : 0,
          entry.answer ? static_cast<int64_t>(entry.answer->body.size()) : 0};
}

void request_row::AddUsage(const overlap_limits& added) {
  used_.requests += added.requests;
  used_.bytes += added.bytes;
  usage_.Add(added.requests, added.bytes);
}

void request_row::RemoveUsage(const overlap_limits& removed) {
  AddUsage({-removed.requests, -removed.bytes});
}

row_entry& request_row::Add(received_request request, bool may_overlap) {
  row_entry& added = entries_.emplace_back();
  added.number = next_number_++;
  added.request = std::move(request);
  added.may_overlap = may_overlap;
  return added;
}

row_entry* request_row::PeekNext() {
  if (handled_ == entries_.size()) return nullptr;
  row_entry& next = entries_[handled_];
  if (next.answer) return nullptr;
  if (handled_ > 0) {
    // The entries before a handled one overlap with it, so the last one speaks for all.
    if (!next.may_overlap || !entries_[handled_ - 1].may_overlap) return nullptr;
    if (used_.requests >= limits_.requests || used_.bytes >= limits_.bytes) return nullptr;
    if (!usage_.HasRoom()) return nullptr;
  }
  return &next;
}

row_entry* request_row::NextToHandle() {
  row_entry* next = PeekNext();
  if (next == nullptr) return nullptr;
  next->handled = true;
  if (handled_ > 0) AddUsage(UsageOf(*next));
  ++handled_;
  return next;
}

void request_row::SetAnswer(uint64_t number, http_response answer) {
  if (entries_.empty() || number < entries_.front().number) return;
  const size_t position = static_cast<size_t>(number - entries_.front().number);
  if (position >= entries_.size() || entries_[position].answer) return;
  row_entry& entry = entries_[position];
  entry.exchange.reset();
  entry.answer = std::move(answer);
  if (position > 0) AddUsage({0, static_cast<int64_t>(entry.answer->body.size())});
}

absl::optional<row_entry> request_row::TakeAnswered() {
  if (entries_.empty() || !entries_.front().answer) return absl::nullopt;
  row_entry first = std::move(entries_.front());
  entries_.pop_front();
  if (first.handled) --handled_;
  if (!entries_.empty()) RemoveUsage(UsageOf(entries_.front()));
  return first;
}

std::deque<row_entry> request_row::TakeAll() {
  RemoveUsage(used_);
  handled_ = 0;
  return std::exchange(entries_, {});
}

bool request_row::HasRoom() const {
  // One more than can be handled, so that the next request is at hand when there is room for it.
  return static_cast<int64_t>(entries_.size()) <= limits_.requests + 1 &&
         used_.bytes < limits_.bytes;
}

}  // namespace teaseljunction

#include "http/request_memory.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

// Heads and small bodies may exceed the limit by this part of it.
constexpr uint64_t kReserveDivisor = 4;

}  // namespace

bool request_memory::HasRoom(uint64_t bytes) const {
  absl::MutexLock lock(&mutex_);
  return bytes_[kHeld] + bytes <= max_bytes_;
}

bool request_memory::HasReserve() const {
  absl::MutexLock lock(&mutex_);
  return bytes_[kHeld] <= max_bytes_ + max_bytes_ / kReserveDivisor;
}

bool request_memory::IsInLine(memory_client* client) const {
  return lines_[kHeld].contains({client->places_[kHeld], client});
}

bool request_memory::AllIncompleteWait() const {
  return std::all_of(incomplete_.begin(), incomplete_.end(),
                     [this](memory_client* client) { return IsInLine(client); });
}

memory_client* request_memory::LargestStalled(absl::Time now) const {
  memory_client* largest = nullptr;
  for (memory_client* client : incomplete_) {
    if (IsInLine(client) || now - client->last_input_ < kStalledAfter) continue;
    if (largest == nullptr || client->body_bytes_ > largest->body_bytes_) largest = client;
  }
  return largest;
}

void request_memory::RelieveLine(absl::Time now) {
  std::function<void()> on_given_up;
  {
    absl::MutexLock lock(&mutex_);
    if (lines_[kHeld].empty()) return;
    memory_client* first = lines_[kHeld].begin()->second;
    if (now - first->waiting_since_ < kMaxWait) return;
    memory_client* victim = LargestStalled(now);
    if (victim == nullptr) {
      // The limit is exceeded by one body at most.
      const bool may_exceed = favoured_ == nullptr && bytes_[kHeld] <= max_bytes_;
      if (may_exceed && AllIncompleteWait()) favoured_ = first;
      return;
    }
    // Not chosen again before it has been closed.
    victim->last_input_ = now;
    ++given_up_bodies_;
    on_given_up = victim->on_given_up_;
  }
  on_given_up();
}

request_memory_status request_memory::Status() const {
  absl::MutexLock lock(&mutex_);
  return {max_bytes_, bytes_[kHeld], bytes_[kCopies], lines_[kHeld].size() + lines_[kCopies].size(),
          given_up_bodies_};
}

std::string request_memory::FormatPrometheus() const {
  const request_memory_status status = Status();
  return absl::StrCat(
      "# TYPE teaseljunction_request_memory_max_bytes gauge\n",
      "teaseljunction_request_memory_max_bytes ", status.max_bytes, "\n",
      "# TYPE teaseljunction_request_memory_bytes gauge\n",
      "teaseljunction_request_memory_bytes{part=\"held\"} ", status.held_bytes, "\n",
      "teaseljunction_request_memory_bytes{part=\"copies\"} ", status.copy_bytes, "\n",
      "# TYPE teaseljunction_request_memory_waiting gauge\n",
      "teaseljunction_request_memory_waiting ", status.waiting, "\n",
      "# TYPE teaseljunction_request_bodies_given_up_total counter\n",
      "teaseljunction_request_bodies_given_up_total ", status.given_up_bodies, "\n");
}

void request_memory::Change(part charged, uint64_t before, uint64_t after) {
  absl::MutexLock lock(&mutex_);
  bytes_[charged] = bytes_[charged] - before + after;
}

memory_hold::memory_hold(memory_hold&& other) noexcept
    : memory_(std::move(other.memory_)),
      charged_(other.charged_),
      bytes_(std::exchange(other.bytes_, 0)) {}

memory_hold& memory_hold::operator=(memory_hold&& other) noexcept {
  if (this == &other) return *this;
  Set(0);
  memory_ = std::move(other.memory_);
  charged_ = other.charged_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void memory_hold::Set(uint64_t bytes) {
  if (bytes == bytes_) return;
  memory_->Change(charged_, bytes_, bytes);
  bytes_ = bytes;
}

memory_client::memory_client(std::shared_ptr<request_memory> memory,
                             std::function<void()> on_given_up)
    : memory_(std::move(memory)), on_given_up_(std::move(on_given_up)) {}

memory_client::~memory_client() {
  SetBody(0, absl::InfinitePast());
  LeaveLine();
}

void memory_client::SetBody(uint64_t bytes, absl::Time last_input) {
  if (bytes == 0 && body_bytes_ == 0) return;
  absl::MutexLock lock(&memory_->mutex_);
  uint64_t& total = memory_->bytes_[request_memory::kHeld];
  total = total - body_bytes_ + bytes;
  body_bytes_ = bytes;
  last_input_ = last_input;
  if (bytes > 0) {
    memory_->incomplete_.insert(this);
    return;
  }
  memory_->incomplete_.erase(this);
  if (memory_->favoured_ == this) memory_->favoured_ = nullptr;
  LeaveLine(request_memory::kHeld);
  places_[request_memory::kHeld] = 0;
}

bool memory_client::EnterOrPass(request_memory::part wanted, uint64_t bytes, bool may_pass,
                                absl::Time now) {
  auto& line = memory_->lines_[wanted];
  uint64_t& place = places_[wanted];
  const bool is_first = line.empty() || line.begin()->second == this;
  const bool fits = memory_->bytes_[wanted] + bytes <= memory_->max_bytes_;
  if (may_pass || (is_first && (fits || memory_->bytes_[wanted] == 0))) {
    memory_->bytes_[wanted] += bytes;
    LeaveLine(wanted);
    return true;
  }
  if (place == 0) place = memory_->next_place_++;
  if (line.insert({place, this}).second) waiting_since_ = now;
  return false;
}

bool memory_client::Admit(uint64_t bytes, absl::Time now) {
  absl::MutexLock lock(&memory_->mutex_);
  const bool only_charge = body_bytes_ > 0 && memory_->bytes_[request_memory::kHeld] == body_bytes_;
  const bool may_pass = only_charge || memory_->favoured_ == this;
  if (!EnterOrPass(request_memory::kHeld, bytes, may_pass, now)) return false;
  body_bytes_ += bytes;
  last_input_ = now;
  memory_->incomplete_.insert(this);
  return true;
}

absl::optional<memory_hold> memory_client::ReserveCopies(uint64_t body_bytes, absl::Time now) {
  if (body_bytes <= request_memory::kSmallBodyBytes) return memory_hold();
  // Never more than everything, so that the largest body only waits for earlier ones.
  const uint64_t bytes =
      std::min(body_bytes * request_memory::kCopiesPerRequest, memory_->max_bytes_);
  {
    absl::MutexLock lock(&memory_->mutex_);
    if (!EnterOrPass(request_memory::kCopies, bytes, false, now)) return absl::nullopt;
    places_[request_memory::kCopies] = 0;
  }
  memory_hold reserved;
  reserved.memory_ = memory_;
  reserved.charged_ = request_memory::kCopies;
  reserved.bytes_ = bytes;
  return reserved;
}

void memory_client::LeaveLine(request_memory::part left) {
  memory_->lines_[left].erase({places_[left], this});
}

void memory_client::LeaveLine() {
  absl::MutexLock lock(&memory_->mutex_);
  LeaveLine(request_memory::kHeld);
  LeaveLine(request_memory::kCopies);
  places_ = {};
}

}  // namespace teaseljunction

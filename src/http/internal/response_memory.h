#pragma once

#include <atomic>
#include <cstddef>

namespace teaseljunction {

/// Memory of the responses that a worker is receiving. Changed by one thread; `HeldBytes` may be
/// called by others.
class response_memory {
 public:
  explicit response_memory(size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Replaces the `before` bytes of one response by `after` bytes.
  void Change(size_t before, size_t after) { held_bytes_ += after - before; }

  size_t HeldBytes() const { return held_bytes_; }

  /// True while the worker has to give up responses.
  bool IsExceeded() const { return held_bytes_ > max_bytes_; }

  /// Adds a response, which takes no memory yet.
  void AddResponse() { ++responses_; }
  void RemoveResponse() { --responses_; }

  /// True if a response of this size must not grow, because it takes more than an equal share of
  /// the memory and the limit is exceeded.
  bool IsShareExceeded(size_t bytes) const {
    return IsExceeded() && bytes > max_bytes_ / responses_;
  }

 private:
  const size_t max_bytes_;
  size_t responses_ = 0;
  std::atomic<size_t> held_bytes_ = 0;
};

}  // namespace teaseljunction

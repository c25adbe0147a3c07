#pragma once

#include <cstddef>

namespace teaseljunction {

/// Memory of the large messages that the connections of one KJ event loop are receiving. Only used
/// on the loop's thread.
class message_memory {
 public:
  explicit message_memory(size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Returns false if the messages would take more than the limit.
  bool Reserve(size_t bytes) {
    if (bytes > max_bytes_ - reserved_bytes_) return false;
    reserved_bytes_ += bytes;
    return true;
  }

  void Release(size_t bytes) { reserved_bytes_ -= bytes; }

 private:
  const size_t max_bytes_;
  size_t reserved_bytes_ = 0;
};

}  // namespace teaseljunction

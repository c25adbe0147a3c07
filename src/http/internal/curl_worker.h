#pragma once

#include <cstdint>
#include <memory>

#include "http/internal/curl_transfer.h"

namespace teaseljunction {

/// Runs the transfers of one multi handle. Thread-safe. Destruction completes running transfers
/// with kCancelled.
class curl_worker {
 public:
  virtual ~curl_worker() = default;

  virtual void Send(std::unique_ptr<curl_transfer> transfer) = 0;
  virtual void Cancel(uint64_t id) = 0;

  /// Returns the memory that the responses of running transfers take, in bytes.
  virtual size_t HeldBytes() const = 0;
};

}  // namespace teaseljunction

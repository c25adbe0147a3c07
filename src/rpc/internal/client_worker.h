#pragma once

#include <cstdint>
#include <memory>

#include "rpc/internal/pending_call.h"

namespace teaseljunction {

/// Runs the calls of a client to the addresses that are assigned to it. Destroying it fails the
/// running calls. Thread-safe.
class client_worker {
 public:
  virtual ~client_worker() noexcept(false) = default;

  /// Runs `call`. Returns at once.
  virtual void Start(std::unique_ptr<pending_call> call) = 0;
  /// Fails the call with kCancelled. Ids of calls that have finished are ignored. Returns at once.
  virtual void Cancel(uint64_t id) = 0;
};

}  // namespace teaseljunction

#pragma once

#include <cstdint>
#include <memory>

#include "rpc/internal/pending_call.h"

namespace teaseljunction {

/// What drives the calls of a client to the addresses that belong to it. Destroying it ends them.
class rpc_worker {
 public:
  virtual ~rpc_worker() noexcept(false) = default;

  virtual void Start(std::unique_ptr<pending_call> call) = 0;
  virtual void Cancel(uint64_t id) = 0;
};

}  // namespace teaseljunction

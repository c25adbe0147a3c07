#pragma once

#include <cstdint>

#include "absl/container/inlined_vector.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Attempts that one running call may still use, all depths below it included. Each attempt is
/// either left here, in an allocation that was handed out, or used. An allocation is returned at
/// most once and with no more than was handed out, so the number of dispatches never exceeds the
/// initial number of attempts, even if responses are lost or duplicated. Not thread-safe.
class attempt_budget {
 public:
  explicit attempt_budget(uint32_t attempts) : left_(attempts) {}

  /// Uses one attempt and hands all remaining ones to the dispatched call. Returns the budget of
  /// that call, which may be 0, or nothing when no attempt is left.
  absl::optional<uint32_t> TakeForDispatch();

  /// Hands out half of the remaining attempts, rounded up, as the budget of a child call, which
  /// also pays for the dispatch of the child call. Returns nothing when no attempt is left.
  absl::optional<uint32_t> TakeForChild();

  /// Returns the id of the allocation that was handed out last, for `ReturnAllocation`.
  uint32_t LastAllocationId() const { return last_allocation_id_; }

  /// Takes back the unused attempts of an allocation. Has no effect when the allocation is unknown
  /// or was returned before.
  void ReturnAllocation(uint32_t allocation_id, uint32_t unused);

  /// Takes back the unused attempts of the allocation that was handed out last. Use
  /// `ReturnAllocation` when several allocations are open or a response can arrive after the next
  /// dispatch.
  void ReturnLastAllocation(uint32_t unused) { ReturnAllocation(last_allocation_id_, unused); }

  /// Ends the call. Returns the remaining attempts, for the response to the parent. Nothing can be
  /// taken or returned afterwards.
  uint32_t Close();

  /// Returns the number of remaining attempts.
  uint32_t Remaining() const { return left_; }

 private:
  /// An allocation that was handed out and not returned yet.
  struct open_allocation {
    uint32_t id;
    uint32_t attempts;
  };

  uint32_t HandOut(uint32_t attempts);

  uint32_t left_;
  uint32_t last_allocation_id_ = 0;
  absl::InlinedVector<open_allocation, 4> open_allocations_;
};

}  // namespace teaseljunction

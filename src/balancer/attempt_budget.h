#pragma once

#include <cstdint>

#include "absl/container/inlined_vector.h"
#include "absl/types/optional.h"

namespace teaseljunction {

/// Attempts that one running call may still use, at all depths below it together. An attempt is
/// held in exactly one place: here, or in a part that was handed out, or it is used. A part is
/// returned at most once and never with more than was handed out, so the number of dispatches
/// never exceeds the initial number, whatever is lost or duplicated.
class attempt_budget {
 public:
  explicit attempt_budget(uint32_t attempts) : left_(attempts) {}

  /// Uses one attempt and hands the whole remainder to the dispatched call. Returns the budget of
  /// that call, which may be 0, or nothing when no attempt is left.
  absl::optional<uint32_t> TakeForDispatch();

  /// Hands out half of what is left, rounded up, as the budget of a child call. The child call
  /// dispatches from its own budget. Returns nothing when no attempt is left.
  absl::optional<uint32_t> TakeForChild();

  /// Number of the part that was handed out last, for `ReturnPart`.
  uint32_t LastPart() const { return last_part_; }

  /// Takes back the unused attempts of a part. Has no effect when the part was returned before.
  void ReturnPart(uint32_t part, uint32_t unused);

  /// Takes back the unused attempts of the part that was handed out last. Calls with several open
  /// parts, or whose response can arrive after the next dispatch, use `ReturnPart`.
  void Return(uint32_t unused) { ReturnPart(last_part_, unused); }

  /// Ends the call: returns what is left, for the response to the parent. Nothing can be taken or
  /// returned afterwards.
  uint32_t Close();

  uint32_t Left() const { return left_; }

 private:
  struct open_part {
    uint32_t number;
    uint32_t attempts;
  };

  uint32_t HandOut(uint32_t attempts);

  uint32_t left_;
  uint32_t last_part_ = 0;
  absl::InlinedVector<open_part, 4> open_parts_;
};

}  // namespace teaseljunction

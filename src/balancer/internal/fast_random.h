#pragma once

#include <cstddef>
#include <cstdint>

namespace teaseljunction {

/// Pseudo-random numbers for choices between targets (SplitMix64). A number from a cryptographic
/// source takes as long as the rest of a choice.
class fast_random {
 public:
  explicit fast_random(uint64_t seed = 0) : state_(seed) {}

  /// Returns a number in [0, bound). `bound` must be above 0 and below 2^32.
  size_t Below(size_t bound) {
    return static_cast<size_t>(((Next() >> 32) * static_cast<uint64_t>(bound)) >> 32);
  }

  /// Returns a number in [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

 private:
  uint64_t Next() {
    uint64_t value = (state_ += 0x9e3779b97f4a7c15);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
  }

  uint64_t state_;
};

}  // namespace teaseljunction

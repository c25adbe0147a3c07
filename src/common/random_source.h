#pragma once

#include <cstdint>
#include <string>

namespace teaseljunction {

/// Interface to a source of random numbers.
class random_source {
 public:
  virtual ~random_source() = default;

  /// Returns 64 uniformly distributed bits.
  virtual uint64_t Next() = 0;

  /// Returns a number in [0, bound). `bound` must be greater than 0.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  /// Returns a number in [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
};

/// Cryptographically secure random numbers from OpenSSL. Aborts the process if they are not
/// available. Thread-safe.
class system_random_source : public random_source {
 public:
  uint64_t Next() override;
};

/// Returns `bytes` random bytes from `source` as 2 * `bytes` lowercase hexadecimal digits.
std::string RandomHex(random_source& source, int bytes);

}  // namespace teaseljunction

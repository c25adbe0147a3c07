#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace teaseljunction {

class memory_client;
class memory_hold;

/// What a `request_memory` holds at one time. All sizes in bytes.
struct request_memory_status {
  uint64_t max_bytes = 0;
  /// Bodies that arrive, with what they still need, bodies that wait or run, and responses that
  /// wait for their readers.
  uint64_t held_bytes = 0;
  /// Further copies of the bodies of running requests.
  uint64_t copy_bytes = 0;
  /// Connections that wait for memory, and bodies given up for others since the start.
  uint64_t waiting = 0;
  uint64_t given_up_bodies = 0;
};

/// The memory account of a process for request bodies and for responses that have not been sent.
/// All HTTP servers of a process share one. It has two parts with the same limit: what is held
/// once, and the further copies of the bodies of running requests on their way to the target. The
/// account does no input or output: connections ask it whether they may read or start a request.
/// Those that may not stand in line, one line for each part. Must be owned by a shared pointer.
/// Thread-safe.
class request_memory : public std::enable_shared_from_this<request_memory> {
 public:
  /// Bodies up to this size do not stand in line unless the account is exceeded by a quarter.
  static constexpr uint64_t kSmallBodyBytes = uint64_t{16} << 10;
  /// Copies of the body of a running request, in addition to the one that is held: the message to
  /// the daemon of the target, and the call and the request to the target there.
  static constexpr uint64_t kCopiesPerRequest = 3;
  /// Time in line after which bodies are given up. Less than that is waited for requests that end.
  static constexpr absl::Duration kMaxWait = absl::Milliseconds(250);
  /// Time without input after which a body may be given up while others wait. Several times the
  /// retransmission time of a lost packet, so that slow clients that go on sending are kept.
  static constexpr absl::Duration kStalledAfter = absl::Seconds(1);

  explicit request_memory(uint64_t max_bytes = std::numeric_limits<uint64_t>::max() / 4)
      : max_bytes_(max_bytes) {}
  request_memory(const request_memory&) = delete;
  request_memory& operator=(const request_memory&) = delete;

  /// Returns true if `bytes` more fit, without regard to those in line.
  bool HasRoom(uint64_t bytes) const;

  /// Returns true if heads and small bodies may still be received: until the limit is exceeded by a
  /// quarter.
  bool HasReserve() const;

  /// Called regularly while there are connections in line. If the first one has waited for
  /// `kMaxWait`, gives up the largest incomplete body whose client has stalled. If every incomplete
  /// body waits, lets the first one exceed the limit instead.
  void RelieveLine(absl::Time now);

  request_memory_status Status() const;

  /// Returns the status as metrics in the Prometheus text format.
  std::string FormatPrometheus() const;

 private:
  friend class memory_client;
  friend class memory_hold;
  enum part : uint8_t { kHeld, kCopies, kPartCount };
  using line = std::set<std::pair<uint64_t, memory_client*>>;

  void Change(part charged, uint64_t before, uint64_t after);
  // Returns true if the client waits for room for its body.
  bool IsInLine(memory_client* client) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool AllIncompleteWait() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  memory_client* LargestStalled(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const uint64_t max_bytes_;
  mutable absl::Mutex mutex_;
  std::array<uint64_t, kPartCount> bytes_ ABSL_GUARDED_BY(mutex_) = {};
  std::array<line, kPartCount> lines_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_place_ ABSL_GUARDED_BY(mutex_) = 1;
  uint64_t given_up_bodies_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_set<memory_client*> incomplete_ ABSL_GUARDED_BY(mutex_);
  // May exceed the limit until its body is complete.
  memory_client* favoured_ ABSL_GUARDED_BY(mutex_) = nullptr;
};

/// A charge to a `request_memory` that ends with the object. Not thread-safe.
class memory_hold {
 public:
  memory_hold() = default;
  /// A charge for what is held once.
  explicit memory_hold(std::shared_ptr<request_memory> memory, uint64_t bytes = 0)
      : memory_(std::move(memory)) {
    Set(bytes);
  }
  memory_hold(memory_hold&& other) noexcept;
  memory_hold& operator=(memory_hold&& other) noexcept;
  ~memory_hold() { Set(0); }

  /// Replaces the charge.
  void Set(uint64_t bytes);

  uint64_t bytes() const { return bytes_; }

 private:
  friend class memory_client;

  std::shared_ptr<request_memory> memory_;
  request_memory::part charged_ = request_memory::kHeld;
  uint64_t bytes_ = 0;
};

/// One connection as seen by the account: the charge for the body that arrives, and its place in
/// line. Not thread-safe, except that the callback may run on any thread that uses the account.
class memory_client {
 public:
  /// `on_given_up` is called, without locks held, when the incomplete body is to be given up.
  memory_client(std::shared_ptr<request_memory> memory, std::function<void()> on_given_up);
  ~memory_client();
  memory_client(const memory_client&) = delete;
  memory_client& operator=(const memory_client&) = delete;

  /// Sets the charge for the body that has arrived in part; 0 when there is none. `last_input` is
  /// the time at which something arrived.
  void SetBody(uint64_t bytes, absl::Time last_input);

  /// Raises the charge for the body by `bytes` if they fit and no other connection is earlier in
  /// line, or if the body is the only charge. Otherwise stands in line.
  bool Admit(uint64_t bytes, absl::Time now);

  /// Charges the copies of a request with a body of this size if they fit and no other connection
  /// is earlier in line, or if there are no other copies. Otherwise stands in line. Small bodies
  /// are not charged.
  absl::optional<memory_hold> ReserveCopies(uint64_t body_bytes, absl::Time now);

  /// Leaves all lines.
  void LeaveLine();

  uint64_t body_bytes() const { return body_bytes_; }

 private:
  friend class request_memory;

  // Charges `bytes` if the client may pass those before it, or if it is the first in line and they
  // fit or nothing is charged. Otherwise enters the line.
  bool EnterOrPass(request_memory::part wanted, uint64_t bytes, bool may_pass, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(memory_->mutex_);
  void LeaveLine(request_memory::part left) ABSL_EXCLUSIVE_LOCKS_REQUIRED(memory_->mutex_);

  const std::shared_ptr<request_memory> memory_;
  const std::function<void()> on_given_up_;
  // The members from here on are changed with the lock of the account, which also reads them.
  uint64_t body_bytes_ = 0;
  absl::Time last_input_ = absl::InfinitePast();
  // Places in line; 0 when not in line. A body keeps its place until it is complete.
  std::array<uint64_t, request_memory::kPartCount> places_ = {};
  absl::Time waiting_since_ = absl::InfiniteFuture();
};

}  // namespace teaseljunction

#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "http/internal/request_reader.h"
#include "http/request_memory.h"
#include "http/types.h"

namespace teaseljunction {

class exchange_state;

/// Bounds on requests that are handled before earlier requests of their connection have been
/// answered. Answers that are ready and wait for their turn count with their size.
struct overlap_limits {
  int64_t requests = 0;
  int64_t bytes = 0;
};

/// What all connections of a server use of its overlap limits. Thread-safe.
class overlap_usage {
 public:
  explicit overlap_usage(const overlap_limits& limits) : limits_(limits) {}

  bool HasRoom() const { return requests_ < limits_.requests && bytes_ < limits_.bytes; }
  void Add(int64_t requests, int64_t bytes) {
    requests_ += requests;
    bytes_ += bytes;
  }

 private:
  const overlap_limits limits_;
  std::atomic<int64_t> requests_ = 0;
  std::atomic<int64_t> bytes_ = 0;
};

/// A request of a connection, from its arrival until its answer is written.
struct row_entry {
  uint64_t number = 0;
  received_request request;
  /// Charge for the body until the handler gets it.
  memory_hold body_memory;
  absl::Time received_at;
  /// False for requests that are handled alone: after all earlier ones have been answered, and
  /// before all later ones.
  bool may_overlap = false;
  /// True once the request was passed to the handler.
  bool handled = false;
  absl::optional<http_response> answer;
  /// Set while the handler has the request.
  std::shared_ptr<exchange_state> exchange;
};

/// The requests of one connection that have not been answered, in the order of their arrival.
/// Decides which of them may be handled and when an answer may be written: answers leave in the
/// order of the requests (RFC 9112, section 9.3.2). It answers the load of clients that send
/// further requests before the first one is answered: these are handled at the same time, within
/// the limits, so that a short request does not wait for the work of a long one. Does no input or
/// output; not thread-safe.
class request_row {
 public:
  /// `usage` must outlive the row.
  request_row(const overlap_limits& limits, overlap_usage& usage);
  ~request_row();
  request_row(const request_row&) = delete;
  request_row& operator=(const request_row&) = delete;

  /// Adds a request and returns its entry.
  row_entry& Add(received_request request, bool may_overlap);

  /// Returns the next request to be handled without marking it, like `NextToHandle`.
  row_entry* PeekNext();

  /// Returns the next request to be handled and marks it as handled, or returns null if it has to
  /// wait for earlier requests or if there is none.
  row_entry* NextToHandle();

  /// Sets the answer of a request. An answer to a request that has one already, or that is no
  /// longer in the row, is ignored.
  void SetAnswer(uint64_t number, http_response answer);

  /// Removes and returns the first request if it has its answer.
  absl::optional<row_entry> TakeAnswered();

  /// Removes and returns all requests.
  std::deque<row_entry> TakeAll();

  /// Returns false if further requests should not be read from the connection for now.
  bool HasRoom() const;

  bool IsEmpty() const { return entries_.empty(); }

  /// The requests that have not been answered.
  std::deque<row_entry>& Entries() { return entries_; }

 private:
  // What an entry that is not the first one uses of the limits.
  static overlap_limits UsageOf(const row_entry& entry);
  void AddUsage(const overlap_limits& added);
  void RemoveUsage(const overlap_limits& removed);

  const overlap_limits limits_;
  overlap_usage& usage_;
  std::deque<row_entry> entries_;
  uint64_t next_number_ = 0;
  // Number of entries at the front that have been handled.
  size_t handled_ = 0;
  // Usage of the entries behind the first one.
  overlap_limits used_;
};

}  // namespace teaseljunction

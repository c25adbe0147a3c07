#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "common/error_kind.h"
#include "http/internal/growing_body.h"
#include "http/types.h"

namespace teaseljunction {

/// A request as received on a connection.
struct received_request {
  http_request message;
  /// False if the connection is to be closed after the response.
  bool keep_alive = true;
  /// True for HEAD requests, whose response has no body.
  bool head = false;
};

/// Parses the requests of one connection, one after the other, with Boost.Beast. Does no input or
/// output.
class request_reader {
 public:
  request_reader(size_t max_header_bytes, size_t max_body_bytes);

  /// Parses from the front of `data`, which starts where the previous call ended, and returns the
  /// number of bytes used. Stops behind a complete request and when it needs more data. The caller
  /// passes bytes that were not used again, in front of those that have arrived since.
  size_t Read(absl::string_view data);

  /// Returns the request that `Read` has completed, or nothing.
  absl::optional<received_request> TakeRequest();

  /// Returns the reason to refuse what has been received, or nothing. Nothing more can be read
  /// then.
  const absl::optional<error>& Refusal() const { return refusal_; }

  /// Returns true if a request has been received in part.
  bool IsReceiving() const { return parser_.has_value(); }

  /// Bytes of memory that the body of the request that has arrived in part takes.
  size_t BodyBytes() const;

  /// Returns the memory that the body of the request needs: its announced length, or for a body
  /// without one what it takes when `bytes` more have arrived. Returns 0 while the head is
  /// incomplete.
  size_t NeededBodyBytes(size_t bytes) const;

  /// Drops what has been received in part. Nothing more can be read then.
  void GiveUp(error reason);

  /// Returns true once if the client waits for a confirmation before it sends the body.
  bool TakeContinueRequest();

 private:
  using parser = boost::beast::http::request_parser<growing_body>;

  // Skips empty lines in front of a request (RFC 9112, section 2.2).
  size_t SkipEmptyLines(absl::string_view data);
  void CheckHead();
  void Refuse(error_kind kind, absl::string_view detail);
  void RefuseUnparsable(boost::beast::error_code failure, absl::string_view request_line);
  void Complete();

  const size_t max_header_bytes_;
  const size_t max_body_bytes_;
  absl::optional<parser> parser_;
  bool head_checked_ = false;
  bool awaits_continue_ = false;
  size_t empty_lines_ = 0;
  absl::optional<received_request> complete_;
  absl::optional<error> refusal_;
};

}  // namespace teaseljunction

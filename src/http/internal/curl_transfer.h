#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "absl/functional/any_invocable.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/result.h"
#include "http/curl_client.h"
#include "http/internal/connection_sockets.h"
#include "http/internal/response_memory.h"
#include "http/types.h"

namespace teaseljunction {

struct curl_easy_deleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using curl_easy_handle = std::unique_ptr<CURL, curl_easy_deleter>;

struct curl_slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// A request of the client and its response.
class curl_transfer {
 public:
  using completion = absl::AnyInvocable<void(outcome<http_response>)>;

  curl_transfer(uint64_t id, absl::string_view address, http_request request, bool at_most_once,
                absl::Time deadline, completion done);
  ~curl_transfer();
  curl_transfer(const curl_transfer&) = delete;
  curl_transfer& operator=(const curl_transfer&) = delete;

  uint64_t id() const { return id_; }
  CURL* easy() const { return easy_.get(); }

  /// Returns true if the request can be written as a valid HTTP message.
  bool IsWellFormed() const;

  /// Configures `easy` for this request. Called on the worker's thread. `sockets` and `memory` must
  /// outlive the transfer.
  void Prepare(curl_easy_handle easy, const curl_client_settings& settings,
               connection_sockets& sockets, response_memory& memory);

  /// Returns the memory that the response takes, in bytes.
  size_t HeldBytes() const { return held_bytes_; }

  /// Returns true once if nothing was sent because the kept connection is out of sync. The transfer
  /// can then be prepared again and uses a new connection.
  bool TakeRestart() { return std::exchange(restart_, false); }

  /// Runs the completion with the response, or with the error that corresponds to `code`.
  void Finish(CURLcode code);
  void Fail(error_kind kind, std::string detail);

  /// Releases the handle for reuse by another transfer.
  curl_easy_handle ReleaseHandle() { return std::move(easy_); }

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static size_t OnBody(char* data, size_t size, size_t count, void* self);
  static int OnSocket(void* self, curl_socket_t socket, curlsocktype purpose);
  static int OnBeforeSend(void* self, char* peer, char* local, int peer_port, int local_port);

  /// Returns true if the request may be sent on the connection with this local port.
  bool CheckConnection(int local_port);
  void SetRequest();
  void SetHeaders();
  void SetLimits(const curl_client_settings& settings);
  /// Records whether the response names this request. The connection is kept only if it does.
  void SetEchoMatched(bool matched);
  bool ReadHeader(absl::string_view line);
  /// Reads the first line of an interim or final head. Returns false if its status is none.
  bool ReadStatusLine(absl::string_view line);
  /// Accounts for the memory of the response. Returns false if it must not grow any more.
  bool UpdateHeldBytes();
  /// Returns why the response is not the expected one, or an empty string.
  absl::string_view MismatchDetail() const;
  /// Returns true if no other request was sent on the connection before.
  bool IsConnectionNew() const;
  error ErrorFor(CURLcode code) const;
  /// Returns true if the end of the body is determined by the message, or if the request allows the
  /// body to end with the connection.
  bool IsBodyEndKnown() const;

  const uint64_t id_;
  const std::string address_;
  const bool at_most_once_;
  const absl::Time deadline_;
  http_request request_;
  completion done_;
  curl_easy_handle easy_;
  std::unique_ptr<curl_slist, curl_slist_deleter> headers_;
  http_response response_;
  size_t max_response_bytes_ = 0;
  size_t header_bytes_ = 0;
  /// Number of times that libcurl has started to send the request.
  int send_count_ = 0;
  connection_sockets* sockets_ = nullptr;
  response_memory* memory_ = nullptr;
  size_t held_bytes_ = 0;
  /// Socket of the new connection that was opened for this transfer.
  curl_socket_t new_socket_ = CURL_SOCKET_BAD;
  bool restart_ = false;
  bool needs_new_connection_ = false;
  /// Error of `before_send`.
  absl::optional<error> send_refusal_;
  bool response_too_large_ = false;
  bool framing_known_ = false;
  /// Content-Length of the current head.
  absl::optional<uint64_t> length_;
  bool length_usable_ = true;
  bool status_usable_ = true;
  /// True at the start of each head. Lines after the final head are trailers.
  bool expects_status_line_ = true;
  /// True if the empty line after the last head has been received.
  bool head_complete_ = false;
  /// True if the echoed header shows that the response belongs to another request.
  bool echo_mismatch_ = false;
  bool echo_matched_ = false;
};

}  // namespace teaseljunction

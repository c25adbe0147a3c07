#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/functional/any_invocable.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "http/curl_client.h"
#include "http/types.h"

namespace teaseljunction {

struct curl_easy_deleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using curl_easy_handle = std::unique_ptr<CURL, curl_easy_deleter>;

struct curl_slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// One request of the client and its response.
class curl_transfer {
 public:
  using completion = absl::AnyInvocable<void(outcome<http_response>)>;

  curl_transfer(uint64_t id, absl::string_view address, http_request request, bool at_most_once,
                absl::Time deadline, completion done);

  uint64_t id() const { return id_; }
  CURL* easy() const { return easy_.get(); }

  /// True when the request can be written as an HTTP message.
  bool WellFormed() const;

  /// Sets up `easy` for this request. Called on the worker's thread.
  void Prepare(curl_easy_handle easy, const curl_client_settings& settings);

  /// Runs the completion with the response or the error that `code` stands for.
  void Finish(CURLcode code);
  void Fail(error_kind kind, std::string detail);

  /// Returns the handle for another transfer.
  curl_easy_handle Release() { return std::move(easy_); }

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static size_t OnBody(char* data, size_t size, size_t count, void* self);
  static int OnSend(void* self, char* peer, char* local, int peer_port, int local_port);

  void SetRequest();
  void SetHeaders();
  void SetLimits(const curl_client_settings& settings);
  bool ReadHeader(absl::string_view line);
  /// Returns what the response lacks to be the expected one, or nothing.
  absl::string_view Missing() const;
  error ErrorFor(CURLcode code) const;
  /// True when the message says where its body ends, or has none.
  bool EndIsKnown() const;

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
  /// Number of times that libcurl began to send the request.
  int sends_ = 0;
  bool too_large_ = false;
  bool length_known_ = false;
  /// True when the response belongs to another request.
  bool foreign_ = false;
  bool echoed_ = false;
};

}  // namespace teaseljunction

#pragma once

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "http/curl_client.h"
#include "http/internal/connection_sockets.h"
#include "http/internal/curl_transfer.h"

namespace teaseljunction {

struct curl_multi_deleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

/// A multi handle with its running transfers and a pool of idle easy handles. Not thread-safe.
class transfer_set {
 public:
  explicit transfer_set(const curl_client_settings& settings);

  CURLM* multi() const { return multi_.get(); }

  /// Starts a transfer, or completes it with an error if it is malformed or no handle is available.
  void Start(std::unique_ptr<curl_transfer> transfer);
  /// Completes a running transfer with kCancelled. Unknown ids are ignored.
  void Cancel(uint64_t id);
  /// Runs the completions of the transfers that libcurl reports as done. Ends the transfers with
  /// the largest responses with kAnswerTooLarge while the responses together take too much memory.
  /// Must be called after each action of libcurl.
  void FinishCompleted();
  /// Returns the memory that the responses of running transfers take, in bytes. May be called by
  /// any thread.
  size_t HeldBytes() const { return memory_.HeldBytes(); }
  /// Completes all transfers with kCancelled.
  void CancelAll();

 private:
  // Removes a transfer from the multi handle. Returns null for unknown ids.
  std::unique_ptr<curl_transfer> Remove(uint64_t id);
  // Sends the request of a transfer, or completes it with an error.
  void Launch(std::unique_ptr<curl_transfer> transfer, curl_easy_handle easy);
  void Recycle(curl_transfer& transfer);
  void EndLargestTransfer();

  const curl_client_settings settings_;
  connection_sockets sockets_;
  response_memory memory_;
  const std::unique_ptr<CURLM, curl_multi_deleter> multi_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<curl_transfer>> running_;
  std::vector<curl_easy_handle> idle_handles_;
};

}  // namespace teaseljunction

#pragma once

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "http/curl_client.h"
#include "http/internal/curl_transfer.h"

namespace teaseljunction {

struct curl_multi_deleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

/// A multi handle with its running transfers and the handles kept for later ones. Not thread-safe.
class transfer_set {
 public:
  explicit transfer_set(const curl_client_settings& settings);

  CURLM* multi() const { return multi_.get(); }

  void Begin(std::unique_ptr<curl_transfer> transfer);
  /// Ends a running transfer with kCancelled. Unknown ids are ignored.
  void Cancel(uint64_t id);
  /// Completes the transfers that libcurl reports as done.
  void FinishDone();
  /// Ends all transfers with kCancelled.
  void CancelAll();

 private:
  // Takes a transfer out of the multi handle.
  std::unique_ptr<curl_transfer> Remove(uint64_t id);
  void Recycle(curl_transfer& transfer);

  const curl_client_settings settings_;
  const std::unique_ptr<CURLM, curl_multi_deleter> multi_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<curl_transfer>> running_;
  std::vector<curl_easy_handle> spare_;
};

}  // namespace teaseljunction

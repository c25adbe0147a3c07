#pragma once

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "http/curl_client.h"
#include "http/internal/curl_transfer.h"

namespace teaseljunction {

struct curl_multi_deleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

/// One thread with a multi handle.
class curl_worker {
 public:
  explicit curl_worker(const curl_client_settings& settings);
  ~curl_worker();

  void Send(std::unique_ptr<curl_transfer> transfer);
  void Cancel(uint64_t id);

 private:
  /// A request to start, or the id of one to cancel.
  struct command {
    std::unique_ptr<curl_transfer> transfer;
    uint64_t cancelled_id = 0;
  };

  void Post(command entry);
  void Run();
  /// Returns false when the worker is to end.
  bool RunCommands();
  void Begin(std::unique_ptr<curl_transfer> transfer);
  void CancelRunning(uint64_t id);
  void FinishTransfers();
  void EndAll();
  /// Takes a transfer out of the multi handle.
  std::unique_ptr<curl_transfer> Remove(uint64_t id);
  void Recycle(curl_transfer& transfer);

  const curl_client_settings settings_;
  const std::unique_ptr<CURLM, curl_multi_deleter> multi_;
  absl::Mutex mutex_;
  std::vector<command> commands_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // Used by the thread only.
  absl::flat_hash_map<uint64_t, std::unique_ptr<curl_transfer>> running_;
  std::vector<curl_easy_handle> spare_;
  std::thread thread_;
};

}  // namespace teaseljunction

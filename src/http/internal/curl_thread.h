#pragma once

#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "http/internal/curl_worker.h"
#include "http/internal/transfer_set.h"

namespace teaseljunction {

/// Drives transfers on an own thread.
class curl_thread : public curl_worker {
 public:
  explicit curl_thread(const curl_client_settings& settings);
  ~curl_thread() override;

  void Send(std::unique_ptr<curl_transfer> transfer) override;
  void Cancel(uint64_t id) override;

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

  // Used by the thread only, except for wake-ups.
  transfer_set transfers_;
  absl::Mutex mutex_;
  std::vector<command> commands_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace teaseljunction

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

/// Runs transfers on a separate thread.
class curl_thread_worker : public curl_worker {
 public:
  explicit curl_thread_worker(const curl_client_settings& settings);
  ~curl_thread_worker() override;

  void Send(std::unique_ptr<curl_transfer> transfer) override;
  void Cancel(uint64_t id) override;
  size_t HeldBytes() const override { return transfers_.HeldBytes(); }

 private:
  /// A request to start, or the id of one to cancel.
  struct command {
    std::unique_ptr<curl_transfer> transfer;
    uint64_t cancelled_id = 0;
  };

  void Post(command posted);
  void Run();
  /// Executes the queued commands. Returns false if the thread is to end.
  bool RunCommands();

  // Accessed by the thread only, except for wake-ups of its multi handle.
  transfer_set transfers_;
  absl::Mutex mutex_;
  std::vector<command> commands_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace teaseljunction

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "standin/types.h"

namespace teaseljunction {

/// Sends HTTP requests to the local daemon, with one thread and the multi interface of libcurl.
/// Thread-safe.
class daemon_client {
 public:
  /// Runs on the client's thread with the HTTP status, or 0 when no complete response was received.
  using completion_callback = absl::AnyInvocable<void(int status)>;

  daemon_client();
  /// Aborts running requests; their callbacks run with status 0.
  ~daemon_client();
  daemon_client(const daemon_client&) = delete;
  daemon_client& operator=(const daemon_client&) = delete;

  /// Sends a request to `address` ("IP:port"). Returns an id for `Cancel`.
  uint64_t Send(const std::string& address, const standin_request& request, absl::Duration timeout,
                completion_callback on_complete);

  /// Aborts a running request and closes its connection; its callback runs with status 0. Ignores
  /// requests that have ended.
  void Cancel(uint64_t id);

 private:
  struct transfer;
  using transfer_table = absl::flat_hash_map<uint64_t, std::unique_ptr<transfer>>;

  void Run();
  void ApplyCommands();
  void CompleteFinishedTransfers();
  void Complete(uint64_t id, int status);

  void* const multi_;
  std::atomic<bool> stopping_{false};
  absl::Mutex mutex_;
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 1;
  std::vector<std::unique_ptr<transfer>> added_ ABSL_GUARDED_BY(mutex_);
  std::vector<uint64_t> cancelled_ ABSL_GUARDED_BY(mutex_);
  // Accessed by the client's thread only.
  transfer_table running_;
  std::thread thread_;
};

}  // namespace teaseljunction

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

/// Sends HTTP requests to the daemon beside the stand-in, with one thread and libcurl multi.
/// Thread-safe.
class daemon_client {
 public:
  /// Runs on the client's thread with the status, or 0 when there was no complete response.
  using completion = absl::AnyInvocable<void(int status)>;

  daemon_client();
  /// Ends running requests; their completions run with 0.
  ~daemon_client();
  daemon_client(const daemon_client&) = delete;
  daemon_client& operator=(const daemon_client&) = delete;

  /// Sends a request to `address` ("IP:port"). Returns an id for `Cancel`.
  uint64_t Send(const std::string& address, const standin_request& request, absl::Duration timeout,
                completion done);

  /// Closes the connection of a running request; its completion runs with 0.
  void Cancel(uint64_t id);

 private:
  struct transfer;
  using transfer_table = absl::flat_hash_map<uint64_t, std::unique_ptr<transfer>>;

  void Run();
  void TakeCommands();
  void TakeResults();
  void Complete(uint64_t id, int status);

  void* const multi_;
  std::atomic<bool> stopping_{false};
  absl::Mutex mutex_;
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 1;
  std::vector<std::unique_ptr<transfer>> added_ ABSL_GUARDED_BY(mutex_);
  std::vector<uint64_t> cancelled_ ABSL_GUARDED_BY(mutex_);
  // Used by the client's thread only.
  transfer_table running_;
  std::thread thread_;
};

}  // namespace teaseljunction

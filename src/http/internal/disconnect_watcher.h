#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace teaseljunction {

class server_request;

/// Watches the sockets of suspended connections with one thread and tells their requests when the
/// client has closed the connection. Events carry the id of the request and not the descriptor, so
/// that an event for a descriptor that was closed and reused finds no request.
class disconnect_watcher {
 public:
  disconnect_watcher();
  ~disconnect_watcher();

  /// True when the descriptors of the watcher could be opened.
  bool Usable() const { return epoll_fd_ >= 0 && stop_fd_ >= 0; }
  void Start();
  /// Ends the thread. Called while no request is suspended.
  void Stop();

  /// Watches `fd`, which must stay open until `Unwatch`, for `request`.
  void Watch(uint64_t id, int fd, std::weak_ptr<server_request> request);
  void Unwatch(uint64_t id, int fd);

 private:
  void Run();

  const int epoll_fd_;
  const int stop_fd_;
  std::thread thread_;
  absl::Mutex mutex_;
  absl::flat_hash_map<uint64_t, std::weak_ptr<server_request>> requests_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction

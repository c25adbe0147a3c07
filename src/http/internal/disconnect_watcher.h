#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace teaseljunction {

class event_loop;
class input_watch;
class server_request;

/// Watches the sockets of suspended connections, on a thread or an event loop, and tells their
/// requests when the client has closed the connection. Events carry the id of the request and not
/// the descriptor, so that an event for a descriptor that was closed and reused finds no request.
class disconnect_watcher {
 public:
  disconnect_watcher();
  ~disconnect_watcher();

  /// True when the descriptors of the watcher could be opened.
  bool Usable() const { return epoll_fd_ >= 0 && stop_fd_ >= 0; }
  /// Watches on the thread of `loop`, or on an own thread when it is null.
  void Start(event_loop* loop);
  /// Ends the watch, on the thread of the loop if there is one. Called while no request is
  /// suspended.
  void Stop();

  /// Watches `fd`, which must stay open until `Unwatch`, for `request`.
  void Watch(uint64_t id, int fd, std::weak_ptr<server_request> request);
  void Unwatch(uint64_t id, int fd);

 private:
  void Run();
  // Handles the events that are due, after waiting for `timeout_ms`; -1 waits for one. Returns
  // false when the watch is to end.
  bool HandleEvents(int timeout_ms);

  const int epoll_fd_;
  const int stop_fd_;
  std::thread thread_;
  std::unique_ptr<input_watch> watch_;
  absl::Mutex mutex_;
  absl::flat_hash_map<uint64_t, std::weak_ptr<server_request>> requests_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction

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

/// Watches the sockets of suspended connections, on a thread or an event loop, and notifies their
/// requests if the client closes the connection. Events carry the id of the request instead of the
/// descriptor, so that a stale event for a descriptor that has been reused finds no request.
class disconnect_watcher {
 public:
  disconnect_watcher();
  ~disconnect_watcher();

  /// Returns true if the descriptors of the watcher could be opened.
  bool IsOpen() const { return epoll_fd_ >= 0 && stop_fd_ >= 0; }
  /// Watches on the thread of `loop`, or on a separate thread if it is null.
  void Start(event_loop* loop);
  /// Stops watching. With a loop, called on its thread. Called only while no request is suspended.
  void Stop();

  /// Watches `fd` on behalf of `request`. `fd` must stay open until `Unwatch`.
  void Watch(uint64_t id, int fd, std::weak_ptr<server_request> request);
  void Unwatch(uint64_t id, int fd);

 private:
  void Run();
  // Waits for events for up to `timeout_ms`, or without a limit if it is -1, and handles them.
  // Returns false if watching is to stop.
  bool HandleEvents(int timeout_ms);

  const int epoll_fd_;
  const int stop_fd_;
  std::thread thread_;
  std::unique_ptr<input_watch> watch_;
  absl::Mutex mutex_;
  absl::flat_hash_map<uint64_t, std::weak_ptr<server_request>> requests_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction

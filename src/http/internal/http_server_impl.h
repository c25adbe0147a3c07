#pragma once

#include <microhttpd.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "common/log_limiter.h"
#include "event_loop/event_loop.h"
#include "http/http_server.h"
#include "http/internal/disconnect_watcher.h"
#include "http/internal/server_request.h"

namespace teaseljunction {

/// State of one connection, kept by libmicrohttpd as the context of the socket.
struct server_connection {
  int fd = -1;
  std::string remote_ip;
  /// Request target of the current request as received.
  std::string target;
  /// True from the request line to the end of the response.
  bool busy = false;
  uint64_t requests = 0;
};

/// The daemon of libmicrohttpd with its callbacks.
class http_server::impl : public resume_listener {
 public:
  impl(http_server_settings settings, http_handler* handler);

  result<uint16_t> Start();
  bool Drain(absl::Duration timeout);
  void Stop();

 private:
  static MHD_Result OnAccess(void* cls, MHD_Connection* connection, const char* url,
                             const char* method, const char* version, const char* data,
                             size_t* size, void** context);
  static void OnCompleted(void* cls, MHD_Connection* connection, void** context,
                          MHD_RequestTerminationCode code);
  static void OnConnection(void* cls, MHD_Connection* connection, void** context,
                           MHD_ConnectionNotificationCode code);
  static void* OnRequestLine(void* cls, const char* target, MHD_Connection* connection);

  void OnResumed() override;
  MHD_Daemon* StartDaemon();
  bool StartOnLoop();
  // Runs `task` where libmicrohttpd is used: on the loop's thread, if there is a loop.
  void RunWhereServed(absl::AnyInvocable<void()> task);
  // Arranges for the daemon to handle its events at the end of the loop's turn.
  void RequestRun();
  void RunDaemon();
  void CheckTimeouts();
  void AnswerOpenRequests();
  MHD_Result Begin(MHD_Connection* connection, const char* method, void** context);
  MHD_Result Finish(MHD_Connection* connection, server_request& request);
  /// Returns why a request is refused when its headers have arrived, or nothing.
  absl::optional<error> CheckHeaders(MHD_Connection* connection, const server_connection& state,
                                     server_request& request) const;
  MHD_Result Queue(MHD_Connection* connection, bool head, http_response response);
  MHD_Result Refuse(MHD_Connection* connection, const error& failure);
  /// Adds a request to those that a stop has to answer. Returns false once the server is stopping.
  bool Register(server_request& request);
  /// True when a connection has bytes that were not read yet.
  bool InputPending();
  void CloseListenSocket();
  void LogLimited(absl::string_view line);

  const http_server_settings settings_;
  http_handler* const handler_;
  const std::shared_ptr<disconnect_watcher> watcher_;
  MHD_Daemon* daemon_ = nullptr;
  int listen_fd_ = -1;
  bool quiesced_ = false;
  // With a loop, used on its thread only.
  std::unique_ptr<input_watch> watch_;
  bool run_requested_ = false;
  bool accepted_ = false;
  uint64_t timeout_timer_ = 0;
  // Lets tasks of the loop find out that the server has stopped.
  std::shared_ptr<bool> serving_ = std::make_shared<bool>(false);
  std::atomic<bool> draining_ = false;
  std::atomic<uint64_t> next_id_ = 0;
  std::atomic<int64_t> busy_ = 0;
  log_limiter limiter_;
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::flat_hash_set<std::shared_ptr<server_request>> requests_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_set<server_connection*> connections_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction

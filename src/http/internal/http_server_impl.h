#pragma once

#include <microhttpd.h>

#include <atomic>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "common/log_limiter.h"
#include "event_loop/event_loop.h"
#include "http/http_server.h"
#include "http/internal/disconnect_watcher.h"
#include "http/internal/server_request.h"

namespace teaseljunction {

/// Stage of the current request of a connection. A request that is refused from its headers is
/// never received completely.
enum class request_stage : uint8_t { kNone, kReceiving, kResponding };

constexpr uint64_t kNoLimit = std::numeric_limits<uint64_t>::max();

/// State of a connection, which libmicrohttpd keeps as its socket context.
struct server_connection {
  int fd = -1;
  std::string remote_ip;
  /// Request target of the current request, as received.
  std::string target;
  std::atomic<request_stage> stage = request_stage::kNone;
  /// Number of requests received so far.
  uint64_t requests = 0;
  /// Number of bytes of the requests received so far. Unknown after a body sent in chunks.
  absl::optional<uint64_t> request_bytes = 0;
  /// Requests that begin behind this number of received bytes do not keep the connection open.
  std::atomic<uint64_t> answer_limit = kNoLimit;
};

/// Owns the daemon of libmicrohttpd and implements its callbacks.
class http_server::impl : public resume_listener {
 public:
  impl(http_server_settings settings, http_handler* handler);

  result<uint16_t> Start();
  void DisableKeepAlive() { keep_alive_ = false; }
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
  // Runs `task` on the thread that may call libmicrohttpd: the loop's thread if there is a loop,
  // else the calling thread.
  void RunInServingContext(absl::AnyInvocable<void()> task);
  // Schedules `RunDaemon` for the end of the current turn of the loop.
  void ScheduleDaemonRun();
  void RunDaemon();
  // Runs the daemon, which closes idle connections, and schedules the next check.
  void CheckIdleConnections();
  void AnswerPendingRequests();
  MHD_Result BeginRequest(MHD_Connection* connection, const char* method, void** context);
  // Called when the request was received and again when its suspended connection is resumed.
  MHD_Result DispatchOrRespond(MHD_Connection* connection, server_request& request);
  /// Checks a request whose headers have arrived. Returns the error with which it is to be refused
  /// at once, or nothing.
  absl::optional<error> CheckHeaders(MHD_Connection* connection, const server_connection& state,
                                     server_request& request) const;
  void EndRequest(const std::shared_ptr<server_request>& request, MHD_RequestTerminationCode code);
  /// Lets each connection end once the requests that its client has sent by now are answered.
  void LimitFurtherRequests();
  /// Returns true if the response is the last one of its connection.
  bool ClosesAfterResponse(MHD_Connection* connection);
  MHD_Result QueueResponse(MHD_Connection* connection, bool head, http_response response);
  MHD_Result Refuse(MHD_Connection* connection, const error& failure);
  /// Adds a request to those that `Stop` has to answer. Returns false once the server is stopping.
  bool RegisterRequest(server_request& request);
  /// Changes the stage of a connection's request.
  void SetStage(server_connection& state, request_stage stage);
  /// Returns true if a connection has received bytes that have not been read yet. With
  /// `ignore_receiving`, connections that have received a part of a request do not count.
  bool HasPendingInput(bool ignore_receiving);
  void CloseListenSocket();
  void LogAbandoned(absl::Span<const std::shared_ptr<server_request>> abandoned) const;
  void LogLimited(absl::string_view line);

  const http_server_settings settings_;
  http_handler* const handler_;
  const std::shared_ptr<disconnect_watcher> watcher_;
  MHD_Daemon* daemon_ = nullptr;
  int listen_fd_ = -1;
  bool listening_stopped_ = false;
  // The members from here to `serving_` are used with a loop only, on its thread.
  std::unique_ptr<input_watch> watch_;
  bool run_scheduled_ = false;
  int runs_in_turn_ = 0;
  bool connection_accepted_ = false;
  uint64_t idle_check_timer_ = 0;
  // False once the server has stopped; checked by tasks that are still queued on the loop.
  std::shared_ptr<bool> serving_ = std::make_shared<bool>(false);
  std::atomic<bool> keep_alive_ = true;
  std::atomic<uint64_t> next_id_ = 0;
  // Numbers of connections with a request that is being received, from its request line on, and
  // with one that is being answered, until the end of its response.
  std::atomic<int64_t> receiving_connections_ = 0;
  std::atomic<int64_t> responding_connections_ = 0;
  log_limiter log_limiter_;
  absl::Mutex mutex_;
  // True once received requests are refused.
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::flat_hash_set<std::shared_ptr<server_request>> requests_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_set<server_connection*> connections_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction

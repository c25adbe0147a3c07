#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "absl/strings/string_view.h"
#include "common/log_limiter.h"
#include "http/http_handler.h"
#include "http/http_server.h"
#include "http/internal/request_row.h"

namespace teaseljunction {

/// What all connections of a server share. Thread-safe.
struct server_state {
  server_state(const http_server_settings& server_settings, http_handler* request_handler)
      : settings(server_settings),
        handler(request_handler),
        memory(settings.memory != nullptr ? settings.memory : std::make_shared<request_memory>()),
        usage({settings.max_overlapping_requests, settings.max_overlapping_bytes}) {}

  void LogLimited(absl::string_view line);

  const http_server_settings settings;
  http_handler* const handler;
  const std::shared_ptr<request_memory> memory;
  overlap_usage usage;
  log_limiter limiter;
  /// False once connections are to be closed when their requests have been answered.
  std::atomic<bool> keep_alive = true;
  /// True once further requests are refused.
  std::atomic<bool> stopping = false;
  /// Numbers of open connections, of those with a request that has arrived in part, and of those
  /// with a request that has not been answered or an answer that has not been sent.
  std::atomic<int64_t> connections = 0;
  std::atomic<int64_t> receiving_connections = 0;
  std::atomic<int64_t> answering_connections = 0;
};

}  // namespace teaseljunction

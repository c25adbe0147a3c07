#include "http/curl_client.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "common/clock_source.h"
#include "http/internal/curl_loop_worker.h"
#include "http/internal/curl_thread_worker.h"
#include "http/internal/curl_transfer.h"

namespace teaseljunction {
namespace {

void InitialiseCurl() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

}  // namespace

curl_client::curl_client(curl_client_settings settings) {
  InitialiseCurl();
  if (settings.loop != nullptr) {
    workers_.push_back(std::make_unique<curl_loop_worker>(*settings.loop, settings));
    return;
  }
  const unsigned threads = std::max(settings.threads, 1U);
  settings.max_buffered_bytes /= threads;
  for (unsigned i = 0; i < threads; ++i) {
    workers_.push_back(std::make_unique<curl_thread_worker>(settings));
  }
}

curl_client::~curl_client() = default;

uint64_t curl_client::Send(absl::string_view address, http_request request, bool at_most_once,
                           absl::Duration timeout,
                           absl::AnyInvocable<void(outcome<http_response>)> completion) {
  const uint64_t id = ++next_id_;
  auto transfer =
      std::make_unique<curl_transfer>(id, address, std::move(request), at_most_once,
                                      system_clock_source().Now() + timeout, std::move(completion));
  workers_[id % workers_.size()]->Send(std::move(transfer));
  return id;
}

size_t curl_client::BufferedBytes() const {
  size_t bytes = 0;
  for (const auto& worker : workers_) bytes += worker->HeldBytes();
  return bytes;
}

void curl_client::Cancel(uint64_t id) { workers_[id % workers_.size()]->Cancel(id); }

curl_client_builder& curl_client_builder::Threads(unsigned threads) {
  settings_.threads = threads;
  return *this;
}

curl_client_builder& curl_client_builder::Loop(event_loop* loop) {
  settings_.loop = loop;
  return *this;
}

curl_client_builder& curl_client_builder::MaxResponseBytes(size_t bytes) {
  settings_.max_response_bytes = bytes;
  return *this;
}

curl_client_builder& curl_client_builder::MaxConnectionsPerHost(unsigned connections) {
  settings_.max_connections_per_host = connections;
  return *this;
}

curl_client_builder& curl_client_builder::MaxBufferedBytes(size_t bytes) {
  settings_.max_buffered_bytes = bytes;
  return *this;
}

curl_client_builder& curl_client_builder::ConnectTimeout(absl::Duration timeout) {
  settings_.connect_timeout = timeout;
  return *this;
}

curl_client_builder& curl_client_builder::MaxIdle(absl::Duration max_idle_time,
                                                  absl::Duration at_most_once) {
  settings_.max_idle_time = max_idle_time;
  settings_.max_idle_time_at_most_once = at_most_once;
  return *this;
}

std::unique_ptr<curl_client> curl_client_builder::Build() const {
  return std::unique_ptr<curl_client>(new curl_client(settings_));
}

}  // namespace teaseljunction

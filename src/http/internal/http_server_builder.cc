#include <utility>

#include "http/http_server.h"
#include "http/internal/http_server_impl.h"

namespace teaseljunction {

http_server_builder& http_server_builder::Address(absl::string_view address) {
  settings_.address.assign(address.data(), address.size());
  return *this;
}

http_server_builder& http_server_builder::Threads(unsigned threads) {
  settings_.threads = threads;
  return *this;
}

http_server_builder& http_server_builder::Loop(event_loop* loop) {
  settings_.loop = loop;
  return *this;
}

http_server_builder& http_server_builder::MaxBodyBytes(size_t bytes) {
  settings_.max_body_bytes = bytes;
  return *this;
}

http_server_builder& http_server_builder::MaxHeaderBytes(size_t bytes) {
  settings_.max_header_bytes = bytes;
  return *this;
}

http_server_builder& http_server_builder::MaxConnections(unsigned connections) {
  settings_.max_connections = connections;
  return *this;
}

http_server_builder& http_server_builder::MaxOverlapPerConnection(int64_t requests, int64_t bytes) {
  settings_.max_overlapping_requests_per_connection = requests;
  settings_.max_overlapping_bytes_per_connection = bytes;
  return *this;
}

http_server_builder& http_server_builder::MaxOverlap(int64_t requests, int64_t bytes) {
  settings_.max_overlapping_requests = requests;
  settings_.max_overlapping_bytes = bytes;
  return *this;
}

http_server_builder& http_server_builder::IdleTimeout(absl::Duration timeout) {
  settings_.idle_timeout = timeout;
  return *this;
}

http_server_builder& http_server_builder::DrainLinger(absl::Duration linger) {
  settings_.drain_linger = linger;
  return *this;
}

http_server_builder& http_server_builder::BodyTimeout(absl::Duration timeout) {
  settings_.body_timeout = timeout;
  return *this;
}

http_server_builder& http_server_builder::Memory(std::shared_ptr<request_memory> memory) {
  settings_.memory = std::move(memory);
  return *this;
}

http_server_builder& http_server_builder::Handler(http_handler* handler) {
  handler_ = handler;
  return *this;
}

std::unique_ptr<http_server> http_server_builder::Build() const {
  return std::unique_ptr<http_server>(
      new http_server(std::make_unique<http_server::impl>(settings_, handler_)));
}

}  // namespace teaseljunction

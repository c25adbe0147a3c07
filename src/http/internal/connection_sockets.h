#pragma once

#include <curl/curl.h>

#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace teaseljunction {

/// Sockets of the connections of a multi handle, to check kept connections before they are used
/// again. libcurl reports only the addresses of a connection. Not thread-safe.
class connection_sockets {
 public:
  /// Records the socket of a new connection to `address`.
  void Add(absl::string_view address, int local_port, curl_socket_t socket);

  /// Returns true if an idle connection has been closed by its peer or has unread input, which
  /// cannot be the response to a request that is still to be sent, or if its socket is not known.
  bool HasInput(absl::string_view address, int local_port) const;

 private:
  using endpoints = std::pair<std::string, int>;

  absl::flat_hash_map<endpoints, curl_socket_t> sockets_;
  // Used to drop the previous connection of a socket number, which bounds the tables.
  absl::flat_hash_map<curl_socket_t, endpoints> endpoints_;
};

}  // namespace teaseljunction

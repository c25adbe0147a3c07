#pragma once

#include <string>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "common/error_kind.h"
#include "manifest/types.h"

namespace teaseljunction {

/// Result of a route lookup. The pointers are valid as long as the index.
struct route_match {
  /// The matching route, or null.
  const route* matched = nullptr;
  /// The service of the route. Set when `matched` is.
  const service* target_service = nullptr;
  /// Without a match: kRouteUnknown, or kMethodNotAllowed when the path has other methods.
  error_kind failure = error_kind::kRouteUnknown;
  /// With kMethodNotAllowed: the methods of the path, in the form of the Allow header.
  std::string allow;
};

/// Immutable lookup tables of one manifest. Safe to use from several threads.
class manifest_index {
 public:
  /// `source` must be valid, as `DecodeManifest` returns it.
  explicit manifest_index(manifest source);
  /// `digest` and `content` are those of the text from which `source` was decoded.
  manifest_index(manifest source, std::string digest, std::string content);
  manifest_index(const manifest_index&) = delete;
  manifest_index& operator=(const manifest_index&) = delete;

  /// Returns the account with this key digest ("sha256:" and 64 digits), or null.
  const client_account* FindAccountByKeyDigest(absl::string_view digest) const;

  /// Returns the account with this name, or null.
  const client_account* FindAccount(absl::string_view name) const;

  /// Finds the route of a request. `path` has no query. Among the routes with this host and method
  /// an exact path wins, then the longest prefix. A route for one host comes before a route for any
  /// host, and one for the method before one for any method. Unless paths are literal,
  /// percent-encoded unreserved characters are decoded first. A path with "." or ".." segments,
  /// empty inner segments or a broken encoding matches no route, because a target could resolve it
  /// to a path with another route.
  route_match FindRoute(absl::string_view host, absl::string_view method,
                        absl::string_view path) const;

  /// Returns the service with this name, or null.
  const service* FindService(absl::string_view name) const;

  const manifest& Manifest() const { return manifest_; }

  /// Digest of `Content`.
  const std::string& Digest() const { return digest_; }

  /// The text of the manifest; the canonical JSON text when it was not given.
  const std::string& Content() const { return content_; }

 private:
  // Path, method, host. The path of a prefix route ends with "/".
  using route_key = std::tuple<absl::string_view, absl::string_view, absl::string_view>;
  using route_table = absl::flat_hash_map<route_key, const route*>;

  const route* FindInTable(const route_table& table, absl::string_view host,
                           absl::string_view method, absl::string_view path) const;
  const route* FindNormalised(absl::string_view host, absl::string_view method,
                              absl::string_view path) const;

  const manifest manifest_;
  const std::string content_;
  const std::string digest_;
  absl::flat_hash_map<absl::string_view, const client_account*> accounts_by_key_;
  absl::flat_hash_map<absl::string_view, const client_account*> accounts_;
  absl::flat_hash_map<absl::string_view, const service*> services_;
  route_table exact_routes_;
  route_table prefix_routes_;
  size_t longest_prefix_ = 0;
};

}  // namespace teaseljunction

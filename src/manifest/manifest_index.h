#pragma once

#include <string>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "common/error_kind.h"
#include "manifest/types.h"

namespace teaseljunction {

/// Result of a route lookup. The pointers are valid for the lifetime of the index.
struct route_match {
  /// The matching route, or null.
  const route* matched = nullptr;
  /// The service of the route. Not null when `matched` is not null.
  const service* matched_service = nullptr;
  /// Without a match: kMethodNotAllowed when the path has routes for other methods, otherwise
  /// kRouteUnknown.
  error_kind failure = error_kind::kRouteUnknown;
  /// With kMethodNotAllowed: the methods that the path has routes for, formatted as the value of an
  /// Allow header.
  std::string allowed_methods;
};

/// Immutable lookup tables of one manifest. Thread-safe.
class manifest_index {
 public:
  /// `source` must be a valid manifest, as `DecodeManifest` returns it. Digest and content are
  /// those of its canonical JSON text.
  explicit manifest_index(manifest source);
  /// For manifests in another format: `content` is the text from which `source` was decoded,
  /// `digest` the digest of that text.
  manifest_index(manifest source, std::string digest, std::string content);
  manifest_index(const manifest_index&) = delete;
  manifest_index& operator=(const manifest_index&) = delete;

  /// Returns the client account with this key digest ("sha256:" and 64 hexadecimal digits), or
  /// null.
  const client_account* FindAccountByKeyDigest(absl::string_view digest) const;

  /// Returns the client account with this name, or null.
  const client_account* FindAccount(absl::string_view name) const;

  /// Finds the route of a request; `path` must not contain the query. An exact path takes
  /// precedence over a prefix, and a longer prefix over a shorter one. With equal paths, a route
  /// for the given host takes precedence over one for any host, then a route for the given method
  /// over one for any method. Unless the manifest has `literal_paths`, percent-encoded unreserved
  /// characters are decoded first, and a path with "." or ".." segments, empty inner segments or a
  /// malformed percent-encoding matches no route, because a target could resolve it to the path of
  /// another route.
  route_match FindRoute(absl::string_view host, absl::string_view method,
                        absl::string_view path) const;

  /// Returns the service with this name, or null.
  const service* FindService(absl::string_view name) const;

  const manifest& Manifest() const { return manifest_; }

  /// Digest of `Content`.
  const std::string& Digest() const { return digest_; }

  /// The text given to the constructor, otherwise the canonical JSON text.
  const std::string& Content() const { return content_; }

 private:
  // Path, method and host. In `prefix_routes_` the path is the prefix, which ends with "/".
  using route_key = std::tuple<absl::string_view, absl::string_view, absl::string_view>;
  using route_table = absl::flat_hash_map<route_key, const route*>;

  const route* FindInTable(const route_table& table, absl::string_view host,
                           absl::string_view method, absl::string_view path) const;
  const route* FindByNormalisedPath(absl::string_view host, absl::string_view method,
                                    absl::string_view path) const;

  const manifest manifest_;
  const std::string content_;
  const std::string digest_;
  absl::flat_hash_map<absl::string_view, const client_account*> accounts_by_key_digest_;
  absl::flat_hash_map<absl::string_view, const client_account*> accounts_by_name_;
  absl::flat_hash_map<absl::string_view, const service*> services_by_name_;
  route_table exact_routes_;
  route_table prefix_routes_;
  size_t longest_prefix_bytes_ = 0;
};

}  // namespace teaseljunction

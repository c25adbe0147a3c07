#pragma once

#include <kj/async.h>

#include <cstdint>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>

#include "absl/functional/any_invocable.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "common/clock_source.h"
#include "common/result.h"
#include "node.capnp.h"
#include "rpc/internal/convert.h"

namespace teaseljunction {

struct peer_state;

/// One outgoing call of the client. Created on the caller's thread, then only used on the loop's
/// thread. Exactly one of `Complete` and `Fail` is called.
class pending_call {
 public:
  pending_call(uint64_t id, std::string address, absl::Duration timeout)
      : id(id),
        address(std::move(address)),
        created_at(system_clock_source().Now()),
        deadline(created_at + timeout) {}
  virtual ~pending_call() noexcept(false) = default;

  /// Sends the call. The promise resolves when the result has been stored.
  virtual kj::Promise<void> Send(wire::Node::Client& node) = 0;
  /// Runs the completion with the stored result.
  virtual void Complete() = 0;
  /// Runs the completion with an error.
  virtual void Fail(error failure) = 0;

  const uint64_t id;
  const std::string address;
  const absl::Time created_at;
  const absl::Time deadline;
  /// True once the message may have reached the peer.
  bool sent = false;
  std::shared_ptr<peer_state> peer;
};

// Descriptions of the methods of the interface: native parameter and result types, and how to
// create the request of the schema.

struct execute_method {
  using params = call;
  using results = execute_result;
  static auto Request(wire::Node::Client& node, capnp::MessageSize size) {
    return node.executeRequest(size);
  }
};

struct sync_method {
  using params = sync_request;
  using results = sync_response;
  static auto Request(wire::Node::Client& node, capnp::MessageSize size) {
    return node.syncRequest(size);
  }
};

struct propose_method {
  using params = command;
  using results = propose_response;
  static auto Request(wire::Node::Client& node, capnp::MessageSize size) {
    return node.proposeRequest(size);
  }
};

struct status_method {
  using params = no_params;
  using results = status_report;
  static auto Request(wire::Node::Client& node, capnp::MessageSize size) {
    return node.statusRequest(size);
  }
};

struct manifest_method {
  using params = no_params;
  using results = manifest_record;
  static auto Request(wire::Node::Client& node, capnp::MessageSize size) {
    return node.manifestRequest(size);
  }
};

/// Raft messages between control members have no result.
struct raft_method {
  using params = std::string;
  using results = no_params;
  static auto Request(wire::Node::Client& node, capnp::MessageSize size) {
    return node.raftRequest(size);
  }
};

inline no_params Decode(wire::Node::RaftResults::Reader) { return {}; }

struct refresh_method {
  using params = no_params;
  using results = no_params;
  static auto Request(wire::Node::Client& node, capnp::MessageSize size) {
    return node.refreshRequest(size);
  }
};

inline no_params Decode(wire::Node::RefreshResults::Reader) { return {}; }

/// A pending call of one method, one of the structs above.
template <class Method>
class typed_pending_call final : public pending_call {
 public:
  using params = typename Method::params;
  using results = typename Method::results;
  using completion = absl::AnyInvocable<void(outcome<results>)>;

  typed_pending_call(uint64_t id, absl::string_view address, absl::Duration timeout, params request,
                     completion done)
      : pending_call(id, std::string(address.data(), address.size()), timeout),
        params_(std::move(request)),
        completion_(std::move(done)) {}

  kj::Promise<void> Send(wire::Node::Client& node) override {
    if constexpr (std::is_same_v<params, call>) {
      // Deducts the time since the call was created, which was spent waiting for a connection.
      params_.time_left -= system_clock_source().Now() - created_at;
    }
    auto request = Method::Request(node, SizeHint(params_));
    Encode(params_, request);
    params_ = params();
    sent = true;
    return request.send().then([this](auto&& response) { results_ = Decode(response); });
  }

  void Complete() override { completion_(*std::move(results_)); }
  void Fail(error failure) override { completion_(std::move(failure)); }

 private:
  params params_;
  completion completion_;
  absl::optional<results> results_;
};

}  // namespace teaseljunction

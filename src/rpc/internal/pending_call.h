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

struct peer;

/// One call of the client. Created on the caller's thread, then used on the loop's thread only.
class pending_call {
 public:
  pending_call(uint64_t id, std::string address, absl::Duration timeout)
      : id(id),
        address(std::move(address)),
        posted(system_clock_source().Now()),
        deadline(posted + timeout) {}
  virtual ~pending_call() noexcept(false) = default;

  /// Sends the call. The promise ends when the result has been stored.
  virtual kj::Promise<void> Send(wire::Node::Client& node) = 0;
  /// Runs the completion with the stored result.
  virtual void Complete() = 0;
  /// Runs the completion with an error.
  virtual void Fail(error failure) = 0;

  const uint64_t id;
  const std::string address;
  const absl::Time posted;
  const absl::Time deadline;
  /// True from the time at which the message may reach the peer.
  bool sent = false;
  std::shared_ptr<peer> connection;
};

// The methods of the interface: native types and the request of the schema.

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

/// Messages between control members have no result.
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

template <class Method>
class typed_call final : public pending_call {
 public:
  using params = typename Method::params;
  using results = typename Method::results;
  using completion = absl::AnyInvocable<void(outcome<results>)>;

  typed_call(uint64_t id, absl::string_view address, absl::Duration timeout, params request,
             completion done)
      : pending_call(id, std::string(address.data(), address.size()), timeout),
        params_(std::move(request)),
        done_(std::move(done)) {}

  kj::Promise<void> Send(wire::Node::Client& node) override {
    if constexpr (std::is_same_v<params, call>) {
      // The time since the caller measured it was spent waiting for a connection.
      params_.time_left -= system_clock_source().Now() - posted;
    }
    auto request = Method::Request(node, SizeHint(params_));
    Encode(params_, request);
    params_ = params();
    sent = true;
    return request.send().then([this](auto&& response) { results_ = Decode(response); });
  }

  void Complete() override { done_(*std::move(results_)); }
  void Fail(error failure) override { done_(std::move(failure)); }

 private:
  params params_;
  completion done_;
  absl::optional<results> results_;
};

}  // namespace teaseljunction

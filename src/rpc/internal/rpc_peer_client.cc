#include "rpc/rpc_peer_client.h"

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"
#include "rpc/internal/client_loop_worker.h"
#include "rpc/internal/client_thread_worker.h"
#include "rpc/internal/pending_call.h"

namespace teaseljunction {
namespace {

/// Raft messages are repeated by their sender, so a delayed one is of no use.
constexpr absl::Duration kRaftTimeout = absl::Seconds(2);
/// A daemon that cannot be reached within this time learns of the change with its regular sync.
constexpr absl::Duration kRefreshTimeout = absl::Seconds(1);

}  // namespace

rpc_peer_client::rpc_peer_client(const rpc_peer_client_settings& settings) {
  if (settings.loop != nullptr) {
    workers_.push_back(std::make_unique<client_loop_worker>(*settings.loop, settings));
    return;
  }
  for (unsigned i = 0; i < std::max(settings.threads, 1U); ++i) {
    workers_.push_back(std::make_unique<client_thread_worker>(settings));
  }
}

rpc_peer_client::~rpc_peer_client() = default;

template <class Method>
uint64_t rpc_peer_client::StartCall(
    absl::string_view address, absl::Duration timeout, typename Method::params request,
    absl::AnyInvocable<void(outcome<typename Method::results>)> completion) {
  // All calls to an address use the same worker, which keeps messages to a peer in order and the
  // number of connections low. The id encodes the worker for `CancelExecute`.
  const size_t worker = absl::HashOf(address) % workers_.size();
  const uint64_t id = ++next_id_ * workers_.size() + worker;
  workers_[worker]->Start(std::make_unique<typed_pending_call<Method>>(
      id, address, timeout, std::move(request), std::move(completion)));
  return id;
}

uint64_t rpc_peer_client::Execute(absl::string_view address, call request, absl::Duration timeout,
                                  absl::AnyInvocable<void(execute_result)> completion) {
  const uint32_t attempt_budget = request.attempt_budget;
  return StartCall<execute_method>(
      address, timeout, std::move(request),
      [attempt_budget, completion = std::move(completion)](outcome<execute_result> result) mutable {
        if (auto* value = std::get_if<0>(&result)) {
          completion(std::move(*value));
          return;
        }
        execute_result failed;
        failed.answer = std::get<1>(std::move(result));
        const bool sent = std::get<error>(failed.answer).kind != error_kind::kPeerUnreachable;
        failed.unused_attempts = sent ? 0 : attempt_budget;
        completion(std::move(failed));
      });
}

void rpc_peer_client::CancelExecute(uint64_t id) { workers_[id % workers_.size()]->Cancel(id); }

void rpc_peer_client::Sync(absl::string_view address, sync_request request, absl::Duration timeout,
                           absl::AnyInvocable<void(outcome<sync_response>)> completion) {
  StartCall<sync_method>(address, timeout, std::move(request), std::move(completion));
}

void rpc_peer_client::Propose(absl::string_view address, command proposal, absl::Duration timeout,
                              absl::AnyInvocable<void(outcome<propose_response>)> completion) {
  StartCall<propose_method>(address, timeout, std::move(proposal), std::move(completion));
}

void rpc_peer_client::SendRaftMessage(absl::string_view address, std::string message) {
  StartCall<raft_method>(address, kRaftTimeout, std::move(message), [](const auto&) {});
}

void rpc_peer_client::RequestSync(absl::string_view address) {
  StartCall<refresh_method>(address, kRefreshTimeout, {}, [](const auto&) {});
}

void rpc_peer_client::Status(absl::string_view address, absl::Duration timeout,
                             absl::AnyInvocable<void(outcome<status_report>)> completion) {
  StartCall<status_method>(address, timeout, {}, std::move(completion));
}

void rpc_peer_client::Manifest(absl::string_view address, absl::Duration timeout,
                               absl::AnyInvocable<void(outcome<manifest_record>)> completion) {
  StartCall<manifest_method>(address, timeout, {}, std::move(completion));
}

rpc_peer_client_builder& rpc_peer_client_builder::Threads(unsigned threads) {
  settings_.threads = threads;
  return *this;
}

rpc_peer_client_builder& rpc_peer_client_builder::Loop(event_loop* loop) {
  settings_.loop = loop;
  return *this;
}

rpc_peer_client_builder& rpc_peer_client_builder::ConnectTimeout(absl::Duration timeout) {
  settings_.connect_timeout = timeout;
  return *this;
}

rpc_peer_client_builder& rpc_peer_client_builder::IdleTimeout(absl::Duration timeout) {
  settings_.idle_timeout = timeout;
  return *this;
}

rpc_peer_client_builder& rpc_peer_client_builder::MaxReceivingBytes(size_t bytes) {
  settings_.max_receiving_bytes = bytes;
  return *this;
}

rpc_peer_client_builder& rpc_peer_client_builder::MaxMessageBytes(size_t bytes) {
  settings_.max_message_bytes = bytes;
  return *this;
}

std::unique_ptr<rpc_peer_client> rpc_peer_client_builder::Build() const {
  return std::unique_ptr<rpc_peer_client>(new rpc_peer_client(settings_));
}

}  // namespace teaseljunction

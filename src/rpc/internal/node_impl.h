#pragma once

#include <kj/async.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "event_loop/loop_queue.h"
#include "node.capnp.h"
#include "rpc/internal/convert.h"
#include "rpc/node_service.h"

namespace teaseljunction {

/// Activity of all threads of a server, for its planned stop.
struct server_activity {
  std::atomic<int64_t> running = 0;
  std::atomic<uint64_t> started = 0;
};

/// Takes completions from any thread to the loop of their call. Drops them once the loop's calls
/// have gone.
class completion_sink {
 public:
  virtual ~completion_sink() = default;
  virtual void Post(absl::AnyInvocable<void()> task) = 0;
};

/// Calls of one loop that wait for the service. Used on the loop's thread only. A completion from
/// another thread carries the id of its call, so that nothing of the loop is touched or destroyed
/// elsewhere, and it is dropped when the call or the loop has gone.
class waiting_calls {
 public:
  waiting_calls(std::shared_ptr<completion_sink> sink, server_activity& activity)
      : sink_(std::move(sink)), activity_(activity) {}

  /// Calls `start` with a completion and returns a promise that ends when `deliver` has taken the
  /// result. When the promise is dropped first, it cancels the execution that `start` returned.
  template <class Result, class Start, class Deliver>
  kj::Promise<void> Wait(Start start, Deliver deliver) {
    const uint64_t id = ++next_id_;
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto call = std::make_unique<typed_call<Result>>();
    call->fulfiller = kj::mv(pair.fulfiller);
    call->deliver = std::move(deliver);
    calls_[id] = std::move(call);
    ++activity_.running;
    ++activity_.started;
    std::shared_ptr<execution> running = start(Completion<Result>(id));
    return pair.promise.attach(kj::defer([this, id, running = std::move(running)] {
      --activity_.running;
      if (calls_.erase(id) > 0 && running != nullptr) running->Cancel();
    }));
  }

 private:
  struct waiting_call {
    virtual ~waiting_call() noexcept(false) = default;
  };
  template <class Result>
  struct typed_call : waiting_call {
    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    absl::AnyInvocable<void(Result)> deliver;
  };

  template <class Result>
  absl::AnyInvocable<void(Result)> Completion(uint64_t id) {
    return [this, sink = sink_, id](Result result) {
      sink->Post(
          [this, id, result = std::move(result)]() mutable { Complete(id, std::move(result)); });
    };
  }

  template <class Result>
  void Complete(uint64_t id, Result result) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    const std::unique_ptr<waiting_call> call = std::move(found->second);
    calls_.erase(found);
    auto& typed = static_cast<typed_call<Result>&>(*call);
    typed.fulfiller->rejectIfThrows([&] {
      typed.deliver(std::move(result));
      typed.fulfiller->fulfill();
    });
  }

  const std::shared_ptr<completion_sink> sink_;
  server_activity& activity_;
  uint64_t next_id_ = 0;
  absl::flat_hash_map<uint64_t, std::unique_ptr<waiting_call>> calls_;
};

/// Serves the interface of the schema from a `node_service`.
class node_impl final : public wire::Node::Server {
 public:
  node_impl(node_service& service, waiting_calls& waiting) : service_(service), waiting_(waiting) {}

 protected:
  // NOLINTBEGIN(readability-identifier-naming): names of the generated interface.
  kj::Promise<void> execute(ExecuteContext context) override;
  kj::Promise<void> sync(SyncContext context) override;
  kj::Promise<void> propose(ProposeContext context) override;
  kj::Promise<void> raft(RaftContext context) override;
  kj::Promise<void> manifest(ManifestContext context) override;
  kj::Promise<void> status(StatusContext context) override;
  kj::Promise<void> refresh(RefreshContext context) override;
  // NOLINTEND(readability-identifier-naming)

 private:
  node_service& service_;
  waiting_calls& waiting_;
};

}  // namespace teaseljunction

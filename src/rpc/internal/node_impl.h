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

/// Counts of the calls on all threads of a server, by which a drain detects that it is idle.
struct server_call_counts {
  /// Calls that are running now.
  std::atomic<int64_t> running = 0;
  /// Calls of `execute` that have ever been started. The other calls are not counted, because a
  /// leader gets them as long as it can be reached, and their callers turn to other members.
  std::atomic<uint64_t> executions = 0;
};

/// Runs completions on the loop of their call. Discards them once the calls of the loop have been
/// destroyed. Thread-safe.
class completion_executor {
 public:
  virtual ~completion_executor() = default;
  virtual void Post(absl::AnyInvocable<void()> task) = 0;
};

/// Calls received on one loop that wait for a result of the service. Only used on the loop's
/// thread. A completion from another thread carries only the id of its call, so that no object of
/// the loop is accessed or destroyed on that thread. It is discarded when the call or the loop no
/// longer exists.
class incoming_calls {
 public:
  incoming_calls(std::shared_ptr<completion_executor> executor, server_call_counts& call_counts)
      : executor_(std::move(executor)), call_counts_(call_counts) {}

  /// Counts a call of `execute`, which a drain of the server waits for.
  void RecordExecution() { ++call_counts_.executions; }

  /// Calls `start` with a completion and returns a promise that resolves when `deliver` has
  /// consumed the result. Destroying the promise before that cancels the execution that `start`
  /// returned, if any.
  template <class Result, class Start, class Deliver>
  kj::Promise<void> Dispatch(Start start, Deliver deliver) {
    const uint64_t id = ++next_id_;
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto call = std::make_unique<typed_incoming_call<Result>>();
    call->fulfiller = kj::mv(pair.fulfiller);
    call->deliver = std::move(deliver);
    calls_[id] = std::move(call);
    // Also undoes the registration when `start` throws.
    auto registered = kj::heap<registration>(*this, id);
    registered->execution = start(MakeCompletion<Result>(id));
    return pair.promise.attach(kj::mv(registered));
  }

 private:
  struct incoming_call {
    virtual ~incoming_call() noexcept(false) = default;
  };
  template <class Result>
  struct typed_incoming_call : incoming_call {
    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    absl::AnyInvocable<void(Result)> deliver;
  };

  /// Counts a call as running until it is destroyed. Cancels the execution of a call that has not
  /// been completed by then.
  struct registration {
    registration(incoming_calls& calls, uint64_t call_id) : owner(calls), id(call_id) {
      ++owner.call_counts_.running;
    }
    ~registration() noexcept(false) {
      --owner.call_counts_.running;
      if (owner.calls_.erase(id) > 0 && execution != nullptr) execution->Cancel();
    }
    KJ_DISALLOW_COPY(registration);

    incoming_calls& owner;
    const uint64_t id;
    std::shared_ptr<call_execution> execution;
  };

  template <class Result>
  absl::AnyInvocable<void(Result)> MakeCompletion(uint64_t id) {
    return [this, executor = executor_, id](Result result) {
      executor->Post(
          [this, id, result = std::move(result)]() mutable { Complete(id, std::move(result)); });
    };
  }

  template <class Result>
  void Complete(uint64_t id, Result result) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    const std::unique_ptr<incoming_call> call = std::move(found->second);
    calls_.erase(found);
    auto& typed = static_cast<typed_incoming_call<Result>&>(*call);
    typed.fulfiller->rejectIfThrows([&] {
      typed.deliver(std::move(result));
      typed.fulfiller->fulfill();
    });
  }

  const std::shared_ptr<completion_executor> executor_;
  server_call_counts& call_counts_;
  uint64_t next_id_ = 0;
  absl::flat_hash_map<uint64_t, std::unique_ptr<incoming_call>> calls_;
};

/// Implements the `Node` interface of the schema by calls to a `node_service`.
class node_impl final : public wire::Node::Server {
 public:
  node_impl(node_service& service, incoming_calls& calls)
      : service_(service), incoming_calls_(calls) {}

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
  incoming_calls& incoming_calls_;
};

}  // namespace teaseljunction

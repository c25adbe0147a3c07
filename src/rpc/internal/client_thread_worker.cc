#include "rpc/internal/client_thread_worker.h"

#include <utility>

#include "event_loop/kj_log_callback.h"
#include "rpc/internal/client_connections.h"
#include "rpc/internal/kj_support.h"

namespace teaseljunction {

client_thread_worker::client_thread_worker(const rpc_peer_client_settings& settings)
    : settings_(settings) {
  thread_ = std::thread(&client_thread_worker::Run, this);
}

client_thread_worker::~client_thread_worker() noexcept(false) {
  queued_request request;
  request.stop = true;
  queue_.Post(request);
  thread_.join();
}

void client_thread_worker::Start(std::unique_ptr<pending_call> call) {
  queued_request request;
  request.call = std::move(call);
  if (!queue_.Post(request)) {
    request.call->Fail({error_kind::kPeerUnreachable, "the daemon is stopping"});
  }
}

void client_thread_worker::Cancel(uint64_t id) {
  queued_request request;
  request.cancelled_id = id;
  queue_.Post(request);
}

void client_thread_worker::Run() {
  kj_log_callback log(limiter_);
  kj::AsyncIoContext io = kj::setupAsyncIo();
  client_connections connections(io, settings_, limiter_);
  auto stop = kj::newPromiseAndFulfiller<void>();
  const auto handle = [&](queued_request request) {
    if (request.call != nullptr) {
      connections.Start(std::move(request.call));
    } else if (request.stop) {
      stop.fulfiller->fulfill();
    } else {
      connections.Cancel(request.cancelled_id);
    }
  };
  const auto log_failure = [this](const kj::Exception& failure) {
    LogRpcWarning(limiter_, failure.getDescription().cStr());
  };
  kj::Promise<void> tasks =
      queue_.Run(io.unixEventPort, handle, log_failure).eagerlyEvaluate(nullptr);
  stop.promise.wait(io.waitScope);
  for (queued_request& request : queue_.Close()) {
    if (request.call != nullptr) connections.Start(std::move(request.call));
  }
  connections.Shutdown();
}

}  // namespace teaseljunction

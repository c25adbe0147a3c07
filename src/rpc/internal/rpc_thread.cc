#include "rpc/internal/rpc_thread.h"

#include <utility>

#include "event_loop/kj_log.h"
#include "rpc/internal/client_loop.h"
#include "rpc/internal/kj_support.h"

namespace teaseljunction {

rpc_thread::rpc_thread(const rpc_peer_client_settings& settings) : settings_(settings) {
  thread_ = std::thread(&rpc_thread::Run, this);
}

rpc_thread::~rpc_thread() noexcept(false) {
  posted stop;
  stop.stop = true;
  queue_.Post(stop);
  thread_.join();
}

void rpc_thread::Start(std::unique_ptr<pending_call> call) {
  posted start;
  start.call = std::move(call);
  if (!queue_.Post(start)) {
    start.call->Fail({error_kind::kPeerUnreachable, "the daemon is stopping"});
  }
}

void rpc_thread::Cancel(uint64_t id) {
  posted cancel;
  cancel.cancelled_id = id;
  queue_.Post(cancel);
}

void rpc_thread::Run() {
  kj_log log(limiter_);
  kj::AsyncIoContext io = kj::setupAsyncIo();
  client_loop loop(io, settings_, limiter_);
  auto stop = kj::newPromiseAndFulfiller<void>();
  const auto handle = [&](posted entry) {
    if (entry.call != nullptr) {
      loop.Start(std::move(entry.call));
    } else if (entry.stop) {
      stop.fulfiller->fulfill();
    } else {
      loop.Cancel(entry.cancelled_id);
    }
  };
  kj::Promise<void> tasks = queue_.Run(io.unixEventPort, handle).eagerlyEvaluate(nullptr);
  stop.promise.wait(io.waitScope);
  for (posted& entry : queue_.Close()) {
    if (entry.call != nullptr) loop.Start(std::move(entry.call));
  }
  loop.Shutdown();
}

}  // namespace teaseljunction

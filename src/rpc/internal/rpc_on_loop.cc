#include "rpc/internal/rpc_on_loop.h"

#include <utility>

namespace teaseljunction {

rpc_on_loop::rpc_on_loop(event_loop& loop, const rpc_peer_client_settings& settings)
    : loop_(loop), settings_(settings) {
  loop_.RunAndWait([this] { client_.emplace(loop_.Io(), settings_, limiter_); });
}

rpc_on_loop::~rpc_on_loop() noexcept(false) {
  loop_.RunAndWait([this] {
    *alive_ = false;
    client_->Shutdown();
    client_.reset();
  });
}

void rpc_on_loop::Start(std::unique_ptr<pending_call> call) {
  loop_.Run([this, alive = alive_, call = std::move(call)]() mutable {
    if (!*alive) return call->Fail({error_kind::kPeerUnreachable, "the daemon is stopping"});
    client_->Start(std::move(call));
  });
}

void rpc_on_loop::Cancel(uint64_t id) {
  loop_.Run([this, alive = alive_, id] {
    if (*alive) client_->Cancel(id);
  });
}

}  // namespace teaseljunction

#include "rpc/internal/client_loop_worker.h"

#include <utility>

namespace teaseljunction {

client_loop_worker::client_loop_worker(event_loop& loop, const rpc_peer_client_settings& settings)
    : loop_(loop), settings_(settings) {
  loop_.RunAndWait([this] { connections_.emplace(loop_.IoContext(), settings_, limiter_); });
}

client_loop_worker::~client_loop_worker() noexcept(false) {
  loop_.RunAndWait([this] {
    *alive_ = false;
    connections_->Shutdown();
    connections_.reset();
  });
}

void client_loop_worker::Start(std::unique_ptr<pending_call> call) {
  loop_.Run([this, alive = alive_, call = std::move(call)]() mutable {
    if (!*alive) return call->Fail({error_kind::kPeerUnreachable, "the daemon is stopping"});
    connections_->Start(std::move(call));
  });
}

void client_loop_worker::Cancel(uint64_t id) {
  loop_.Run([this, alive = alive_, id] {
    if (*alive) connections_->Cancel(id);
  });
}

}  // namespace teaseljunction

#pragma once

#include <cstdint>
#include <memory>

#include "absl/types/optional.h"
#include "event_loop/event_loop.h"
#include "http/internal/curl_worker.h"
#include "http/internal/transfer_set.h"

namespace teaseljunction {

/// Drives transfers on the thread of an event loop. libcurl names the sockets that it waits for;
/// they are collected behind one epoll descriptor, which the loop watches.
class curl_loop : public curl_worker {
 public:
  curl_loop(event_loop& loop, const curl_client_settings& settings);
  ~curl_loop() override;

  void Send(std::unique_ptr<curl_transfer> transfer) override;
  void Cancel(uint64_t id) override;

 private:
  static int OnSocket(CURL* easy, curl_socket_t socket, int wanted, void* self, void* known);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);

  void WatchSocket(curl_socket_t socket, int wanted, bool known);
  void SetTimer(long timeout_ms);
  void HandleSockets();
  void HandleTimeout();
  void FinishAtTurnEnd();

  event_loop& loop_;
  const int epoll_fd_;
  // The members below are used on the loop's thread only.
  absl::optional<transfer_set> transfers_;
  std::unique_ptr<input_watch> watch_;
  absl::Time timer_at_ = absl::InfiniteFuture();
  uint64_t timer_id_ = 0;
  bool turn_end_due_ = false;
  bool timeout_due_ = false;
  // Lets tasks of the loop find out that this object has gone.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace teaseljunction

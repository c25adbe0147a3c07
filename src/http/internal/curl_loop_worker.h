#pragma once

#include <cstdint>
#include <memory>

#include "absl/types/optional.h"
#include "event_loop/event_loop.h"
#include "http/internal/curl_worker.h"
#include "http/internal/transfer_set.h"

namespace teaseljunction {

/// Runs transfers on the thread of an event loop. The sockets that libcurl waits for are registered
/// with an epoll descriptor of this object, which the loop watches.
class curl_loop_worker : public curl_worker {
 public:
  curl_loop_worker(event_loop& loop, const curl_client_settings& settings);
  ~curl_loop_worker() override;

  void Send(std::unique_ptr<curl_transfer> transfer) override;
  void Cancel(uint64_t id) override;
  size_t HeldBytes() const override { return transfers_->HeldBytes(); }

 private:
  static int OnSocket(CURL* easy, curl_socket_t socket, int poll_events, void* self,
                      void* registered);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);

  void WatchSocket(curl_socket_t socket, int poll_events, bool registered);
  void SetTimer(long timeout_ms);
  void StartTimer();
  void HandleSockets();
  void HandleTimeout();
  void StartTimeoutTurn();
  /// Schedules `HandleDueTimeout` for the end of the turn, or for a later turn if the time-outs of
  /// this one have used up their time.
  void ScheduleTimeout();
  void HandleDueTimeout();

  event_loop& loop_;
  const int epoll_fd_;
  // The members below are accessed on the loop's thread only.
  absl::optional<transfer_set> transfers_;
  std::unique_ptr<input_watch> watch_;
  absl::Time timeout_at_ = absl::InfiniteFuture();
  uint64_t timer_id_ = 0;
  absl::Time timer_at_;
  bool timeout_scheduled_ = false;
  bool handling_timeout_ = false;
  absl::Time timeout_turn_end_;
  /// True while a posted task is to handle the remaining socket events.
  bool sockets_posted_ = false;
  bool timeout_due_ = false;
  // False once this object is being destroyed; checked by tasks that are still queued on the loop.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace teaseljunction

#include "http/internal/curl_thread_worker.h"

#include <utility>

namespace teaseljunction {
namespace {

constexpr int kMaxPollMs = 1000;

}  // namespace

curl_thread_worker::curl_thread_worker(const curl_client_settings& settings)
    : transfers_(settings) {
  thread_ = std::thread(&curl_thread_worker::Run, this);
}

curl_thread_worker::~curl_thread_worker() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  curl_multi_wakeup(transfers_.multi());
  thread_.join();
}

void curl_thread_worker::Send(std::unique_ptr<curl_transfer> transfer) {
  Post({std::move(transfer), 0});
}

void curl_thread_worker::Cancel(uint64_t id) { Post({nullptr, id}); }

void curl_thread_worker::Post(command posted) {
  {
    absl::MutexLock lock(&mutex_);
    if (!stopping_) {
      const bool first = commands_.empty();
      commands_.push_back(std::move(posted));
      // The thread takes all queued commands at once, so only the first one needs a wake-up.
      if (first) curl_multi_wakeup(transfers_.multi());
      return;
    }
  }
  if (posted.transfer != nullptr) posted.transfer->Fail(error_kind::kCancelled, "");
}

void curl_thread_worker::Run() {
  while (RunCommands()) {
    int running = 0;
    curl_multi_perform(transfers_.multi(), &running);
    transfers_.FinishCompleted();
    curl_multi_poll(transfers_.multi(), nullptr, 0, kMaxPollMs, nullptr);
  }
  transfers_.CancelAll();
}

bool curl_thread_worker::RunCommands() {
  std::vector<command> commands;
  bool stopping = false;
  {
    absl::MutexLock lock(&mutex_);
    commands.swap(commands_);
    stopping = stopping_;
  }
  for (command& entry : commands) {
    if (entry.transfer != nullptr) {
      transfers_.Start(std::move(entry.transfer));
    } else {
      transfers_.Cancel(entry.cancelled_id);
    }
  }
  return !stopping;
}

}  // namespace teaseljunction

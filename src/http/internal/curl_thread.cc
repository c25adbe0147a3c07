#include "http/internal/curl_thread.h"

#include <utility>

namespace teaseljunction {
namespace {

constexpr int kPollTimeoutMs = 1000;

}  // namespace

curl_thread::curl_thread(const curl_client_settings& settings) : transfers_(settings) {
  thread_ = std::thread(&curl_thread::Run, this);
}

curl_thread::~curl_thread() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  curl_multi_wakeup(transfers_.multi());
  thread_.join();
}

void curl_thread::Send(std::unique_ptr<curl_transfer> transfer) { Post({std::move(transfer), 0}); }

void curl_thread::Cancel(uint64_t id) { Post({nullptr, id}); }

void curl_thread::Post(command entry) {
  {
    absl::MutexLock lock(&mutex_);
    if (!stopping_) {
      const bool first = commands_.empty();
      commands_.push_back(std::move(entry));
      // The thread takes all commands at once, so one wake-up is enough.
      if (first) curl_multi_wakeup(transfers_.multi());
      return;
    }
  }
  if (entry.transfer != nullptr) entry.transfer->Fail(error_kind::kCancelled, "");
}

void curl_thread::Run() {
  while (RunCommands()) {
    int running = 0;
    curl_multi_perform(transfers_.multi(), &running);
    transfers_.FinishDone();
    curl_multi_poll(transfers_.multi(), nullptr, 0, kPollTimeoutMs, nullptr);
  }
  transfers_.CancelAll();
}

bool curl_thread::RunCommands() {
  std::vector<command> commands;
  bool stopping = false;
  {
    absl::MutexLock lock(&mutex_);
    commands.swap(commands_);
    stopping = stopping_;
  }
  for (command& entry : commands) {
    if (entry.transfer != nullptr) {
      transfers_.Begin(std::move(entry.transfer));
    } else {
      transfers_.Cancel(entry.cancelled_id);
    }
  }
  return !stopping;
}

}  // namespace teaseljunction

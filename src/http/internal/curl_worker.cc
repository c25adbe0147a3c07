#include "http/internal/curl_worker.h"

#include <utility>

namespace teaseljunction {
namespace {

constexpr int kPollTimeoutMs = 1000;
/// Handles that are kept for later requests.
constexpr size_t kMaxSpareHandles = 256;

}  // namespace

curl_worker::curl_worker(const curl_client_settings& settings)
    : settings_(settings), multi_(curl_multi_init()) {
  const long connections = settings_.max_connections_per_host;
  curl_multi_setopt(multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS, connections);
  curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, connections);
  curl_multi_setopt(multi_.get(), CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
  thread_ = std::thread(&curl_worker::Run, this);
}

curl_worker::~curl_worker() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  curl_multi_wakeup(multi_.get());
  thread_.join();
}

void curl_worker::Send(std::unique_ptr<curl_transfer> transfer) { Post({std::move(transfer), 0}); }

void curl_worker::Cancel(uint64_t id) { Post({nullptr, id}); }

void curl_worker::Post(command entry) {
  {
    absl::MutexLock lock(&mutex_);
    if (!stopping_) {
      const bool first = commands_.empty();
      commands_.push_back(std::move(entry));
      // The thread takes all commands at once, so one wake-up is enough.
      if (first) curl_multi_wakeup(multi_.get());
      return;
    }
  }
  if (entry.transfer != nullptr) entry.transfer->Fail(error_kind::kCancelled, "");
}

void curl_worker::Run() {
  while (RunCommands()) {
    int running = 0;
    curl_multi_perform(multi_.get(), &running);
    FinishTransfers();
    curl_multi_poll(multi_.get(), nullptr, 0, kPollTimeoutMs, nullptr);
  }
  EndAll();
}

bool curl_worker::RunCommands() {
  std::vector<command> commands;
  bool stopping = false;
  {
    absl::MutexLock lock(&mutex_);
    commands.swap(commands_);
    stopping = stopping_;
  }
  for (command& entry : commands) {
    if (entry.transfer != nullptr) {
      Begin(std::move(entry.transfer));
    } else {
      CancelRunning(entry.cancelled_id);
    }
  }
  return !stopping;
}

void curl_worker::Begin(std::unique_ptr<curl_transfer> transfer) {
  if (!transfer->WellFormed()) {
    transfer->Fail(error_kind::kMalformedRequest, "");
    return;
  }
  curl_easy_handle easy;
  if (spare_.empty()) {
    easy.reset(curl_easy_init());
  } else {
    easy = std::move(spare_.back());
    spare_.pop_back();
  }
  if (easy == nullptr) {
    transfer->Fail(error_kind::kTargetUnreachable, "no handle");
    return;
  }
  transfer->Prepare(std::move(easy), settings_);
  if (curl_multi_add_handle(multi_.get(), transfer->easy()) != CURLM_OK) {
    transfer->Fail(error_kind::kTargetUnreachable, "no handle");
    return;
  }
  running_[transfer->id()] = std::move(transfer);
}

void curl_worker::CancelRunning(uint64_t id) {
  const std::unique_ptr<curl_transfer> transfer = Remove(id);
  if (transfer == nullptr) return;
  transfer->Fail(error_kind::kCancelled, "");
  Recycle(*transfer);
}

void curl_worker::FinishTransfers() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    const CURLcode code = message->data.result;
    char* owner = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
    const std::unique_ptr<curl_transfer> transfer =
        Remove(reinterpret_cast<curl_transfer*>(owner)->id());
    transfer->Finish(code);
    Recycle(*transfer);
  }
}

void curl_worker::EndAll() {
  while (!running_.empty()) CancelRunning(running_.begin()->first);
}

std::unique_ptr<curl_transfer> curl_worker::Remove(uint64_t id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return nullptr;
  std::unique_ptr<curl_transfer> transfer = std::move(found->second);
  running_.erase(found);
  curl_multi_remove_handle(multi_.get(), transfer->easy());
  return transfer;
}

void curl_worker::Recycle(curl_transfer& transfer) {
  if (spare_.size() < kMaxSpareHandles) spare_.push_back(transfer.Release());
}

}  // namespace teaseljunction

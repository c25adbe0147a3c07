#include "http/internal/transfer_set.h"

#include <algorithm>
#include <utility>

namespace teaseljunction {
namespace {

/// Maximum number of idle easy handles kept for reuse.
constexpr size_t kMaxIdleHandles = 256;

}  // namespace

transfer_set::transfer_set(const curl_client_settings& settings)
    : settings_(settings), memory_(settings.max_buffered_bytes), multi_(curl_multi_init()) {
  const long connections = settings_.max_connections_per_host;
  curl_multi_setopt(multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS, connections);
  curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, connections);
  curl_multi_setopt(multi_.get(), CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
}

void transfer_set::Start(std::unique_ptr<curl_transfer> transfer) {
  if (!transfer->IsWellFormed()) {
    transfer->Fail(error_kind::kMalformedRequest, "");
    return;
  }
  curl_easy_handle easy;
  if (idle_handles_.empty()) {
    easy.reset(curl_easy_init());
  } else {
    easy = std::move(idle_handles_.back());
    idle_handles_.pop_back();
  }
  Launch(std::move(transfer), std::move(easy));
}

void transfer_set::Launch(std::unique_ptr<curl_transfer> transfer, curl_easy_handle easy) {
  if (easy == nullptr) {
    transfer->Fail(error_kind::kTargetUnreachable, "no handle");
    return;
  }
  transfer->Prepare(std::move(easy), settings_, sockets_, memory_);
  if (curl_multi_add_handle(multi_.get(), transfer->easy()) != CURLM_OK) {
    transfer->Fail(error_kind::kTargetUnreachable, "no handle");
    return;
  }
  running_[transfer->id()] = std::move(transfer);
}

void transfer_set::Cancel(uint64_t id) {
  const std::unique_ptr<curl_transfer> transfer = Remove(id);
  if (transfer == nullptr) return;
  transfer->Fail(error_kind::kCancelled, "");
  Recycle(*transfer);
}

void transfer_set::FinishCompleted() {
  int remaining = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_.get(), &remaining)) {
    if (message->msg != CURLMSG_DONE) continue;
    const CURLcode code = message->data.result;
    char* owner = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
    std::unique_ptr<curl_transfer> transfer = Remove(reinterpret_cast<curl_transfer*>(owner)->id());
    if (transfer->TakeRestart()) {
      curl_easy_handle easy = transfer->ReleaseHandle();
      Launch(std::move(transfer), std::move(easy));
      continue;
    }
    transfer->Finish(code);
    Recycle(*transfer);
  }
  while (memory_.IsExceeded() && !running_.empty()) EndLargestTransfer();
}

void transfer_set::EndLargestTransfer() {
  const auto largest =
      std::max_element(running_.begin(), running_.end(), [](const auto& left, const auto& right) {
        return left.second->HeldBytes() < right.second->HeldBytes();
      });
  const std::unique_ptr<curl_transfer> ended = Remove(largest->first);
  ended->Fail(error_kind::kAnswerTooLarge, "the memory for responses is used up");
  Recycle(*ended);
}

void transfer_set::CancelAll() {
  while (!running_.empty()) Cancel(running_.begin()->first);
}

std::unique_ptr<curl_transfer> transfer_set::Remove(uint64_t id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return nullptr;
  std::unique_ptr<curl_transfer> transfer = std::move(found->second);
  running_.erase(found);
  curl_multi_remove_handle(multi_.get(), transfer->easy());
  return transfer;
}

void transfer_set::Recycle(curl_transfer& transfer) {
  if (idle_handles_.size() < kMaxIdleHandles) idle_handles_.push_back(transfer.ReleaseHandle());
}

}  // namespace teaseljunction

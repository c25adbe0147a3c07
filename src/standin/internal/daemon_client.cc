#include "standin/daemon_client.h"

#include <curl/curl.h>

#include <utility>

#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

constexpr int kPollTimeoutMs = 1'000;
constexpr long kMaxIdleConnections = 256;

size_t DiscardBody(char*, size_t size, size_t count, void*) { return size * count; }

}  // namespace

struct daemon_client::transfer {
  transfer() : easy(curl_easy_init()) {}
  ~transfer() {
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }
  transfer(const transfer&) = delete;
  transfer& operator=(const transfer&) = delete;

  uint64_t id = 0;
  CURL* const easy;
  curl_slist* headers = nullptr;
  completion_callback on_complete;
};

daemon_client::daemon_client() : multi_(curl_multi_init()) {
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  thread_ = std::thread([this] { Run(); });
}

daemon_client::~daemon_client() {
  stopping_ = true;
  curl_multi_wakeup(multi_);
  thread_.join();
  curl_multi_cleanup(multi_);
}

uint64_t daemon_client::Send(const std::string& address, const standin_request& request,
                             absl::Duration timeout, completion_callback on_complete) {
  auto added = std::make_unique<transfer>();
  CURL* const easy = added->easy;
  for (const http_header& header : request.headers) {
    added->headers =
        curl_slist_append(added->headers, absl::StrCat(header.name, ": ", header.value).c_str());
  }
  curl_easy_setopt(easy, CURLOPT_URL, absl::StrCat("http://", address, request.path).c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (!request.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request.body.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_NOBODY, request.method == "HEAD" ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, added->headers);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(absl::ToInt64Milliseconds(timeout)));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, DiscardBody);
  added->on_complete = std::move(on_complete);

  absl::MutexLock lock(&mutex_);
  const uint64_t id = next_id_++;
  added->id = id;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, added.get());
  added_.push_back(std::move(added));
  curl_multi_wakeup(multi_);
  return id;
}

void daemon_client::Cancel(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  cancelled_.push_back(id);
  curl_multi_wakeup(multi_);
}

void daemon_client::Run() {
  while (!stopping_) {
    ApplyCommands();
    int running = 0;
    curl_multi_perform(multi_, &running);
    CompleteFinishedTransfers();
    curl_multi_poll(multi_, nullptr, 0, kPollTimeoutMs, nullptr);
  }
  ApplyCommands();
  while (!running_.empty()) Complete(running_.begin()->first, 0);
}

void daemon_client::ApplyCommands() {
  std::vector<std::unique_ptr<transfer>> added;
  std::vector<uint64_t> cancelled;
  {
    absl::MutexLock lock(&mutex_);
    added.swap(added_);
    cancelled.swap(cancelled_);
  }
  for (std::unique_ptr<transfer>& entry : added) {
    curl_multi_add_handle(multi_, entry->easy);
    const uint64_t id = entry->id;
    running_.emplace(id, std::move(entry));
  }
  for (const uint64_t id : cancelled) Complete(id, 0);
}

void daemon_client::CompleteFinishedTransfers() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    transfer* finished = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
    long status = 0;
    if (message->data.result == CURLE_OK) {
      curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
    }
    Complete(finished->id, static_cast<int>(status));
  }
}

void daemon_client::Complete(uint64_t id, int status) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const std::unique_ptr<transfer> finished = std::move(found->second);
  running_.erase(found);
  curl_multi_remove_handle(multi_, finished->easy);
  finished->on_complete(status);
}

}  // namespace teaseljunction

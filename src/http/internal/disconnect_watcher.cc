#include "http/internal/disconnect_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "event_loop/event_loop.h"
#include "http/internal/server_request.h"

namespace teaseljunction {
namespace {

/// Event id that requests the thread to stop. Ids of requests start at 1.
constexpr uint64_t kStopId = 0;
constexpr int kEventsPerWait = 64;

}  // namespace

disconnect_watcher::disconnect_watcher()
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)), stop_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kStopId;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, stop_fd_, &event);
}

disconnect_watcher::~disconnect_watcher() {
  Stop();
  if (epoll_fd_ >= 0) close(epoll_fd_);
  if (stop_fd_ >= 0) close(stop_fd_);
}

void disconnect_watcher::Start(event_loop* loop) {
  if (loop == nullptr) {
    thread_ = std::thread(&disconnect_watcher::Run, this);
    return;
  }
  watch_ = loop->WatchInput(epoll_fd_, [this] { HandleEvents(0); });
}

void disconnect_watcher::Stop() {
  watch_.reset();
  if (!thread_.joinable()) return;
  eventfd_write(stop_fd_, 1);
  thread_.join();
}

void disconnect_watcher::Watch(uint64_t id, int fd, std::weak_ptr<server_request> request) {
  {
    absl::MutexLock lock(&mutex_);
    requests_[id] = std::move(request);
  }
  epoll_event event = {};
  event.events = EPOLLRDHUP | EPOLLHUP | EPOLLERR | EPOLLONESHOT;
  event.data.u64 = id;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void disconnect_watcher::Unwatch(uint64_t id, int fd) {
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  absl::MutexLock lock(&mutex_);
  requests_.erase(id);
}

void disconnect_watcher::Run() {
  while (HandleEvents(-1)) {
  }
}

bool disconnect_watcher::HandleEvents(int timeout_ms) {
  std::array<epoll_event, kEventsPerWait> events;
  int count = 0;
  do {
    count = epoll_wait(epoll_fd_, events.data(), kEventsPerWait, timeout_ms);
    for (int i = 0; i < count; ++i) {
      const uint64_t id = events[i].data.u64;
      if (id == kStopId) return false;
      std::shared_ptr<server_request> request;
      {
        absl::MutexLock lock(&mutex_);
        const auto found = requests_.find(id);
        if (found != requests_.end()) request = found->second.lock();
      }
      if (request != nullptr) request->OnClientDisconnected();
    }
  } while (count == kEventsPerWait);
  return true;
}

}  // namespace teaseljunction

#pragma once

#include <kj/async-unix.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"

namespace teaseljunction {

/// Queue from any thread to one KJ event loop. It outlives the loop when posters still hold it, and
/// then takes no more elements.
template <class T>
class loop_queue {
 public:
  loop_queue() : event_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}
  ~loop_queue() { close(event_fd_); }
  loop_queue(const loop_queue&) = delete;
  loop_queue& operator=(const loop_queue&) = delete;

  /// Adds an element. Returns false and leaves it in place when the queue is closed.
  bool Post(T& element) {
    bool first = false;
    {
      absl::MutexLock lock(&mutex_);
      if (closed_) return false;
      first = elements_.empty();
      elements_.push_back(std::move(element));
    }
    // The loop takes all elements at once, so one wake-up is enough.
    if (first) eventfd_write(event_fd_, 1);
    return true;
  }

  /// Passes the elements to `handle` on the loop's thread until the promise is dropped.
  kj::Promise<void> Run(kj::UnixEventPort& port, absl::AnyInvocable<void(T)> handle) {
    auto observer = kj::heap<kj::UnixEventPort::FdObserver>(
        port, event_fd_, kj::UnixEventPort::FdObserver::OBSERVE_READ);
    auto owned = kj::heap<absl::AnyInvocable<void(T)>>(std::move(handle));
    kj::Promise<void> running = Next(*observer, *owned);
    return running.attach(kj::mv(owned), kj::mv(observer));
  }

  /// Refuses further elements and returns those that were not handled.
  std::vector<T> Close() {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
    return std::exchange(elements_, {});
  }

 private:
  kj::Promise<void> Next(kj::UnixEventPort::FdObserver& observer,
                         absl::AnyInvocable<void(T)>& handle) {
    return observer.whenBecomesReadable().then([this, &observer, &handle] {
      // The observer is armed before the queue is read. An element posted in between wakes it
      // again.
      kj::Promise<void> next = Next(observer, handle);
      eventfd_t count = 0;
      eventfd_read(event_fd_, &count);
      for (T& element : Take()) handle(std::move(element));
      return next;
    });
  }

  std::vector<T> Take() {
    absl::MutexLock lock(&mutex_);
    return std::exchange(elements_, {});
  }

  const int event_fd_;
  absl::Mutex mutex_;
  std::vector<T> elements_ ABSL_GUARDED_BY(mutex_);
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace teaseljunction

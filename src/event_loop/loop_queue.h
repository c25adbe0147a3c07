#pragma once

#include <kj/async-unix.h>
#include <kj/exception.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"

namespace teaseljunction {

/// Queue that passes elements from any thread to one KJ event loop. It may outlive the loop while
/// producers still hold it; it must then have been closed and accepts no more elements.
template <class T>
class loop_queue {
 public:
  loop_queue() : event_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}
  ~loop_queue() { close(event_fd_); }
  loop_queue(const loop_queue&) = delete;
  loop_queue& operator=(const loop_queue&) = delete;

  /// Moves `element` into the queue. When the queue is closed, returns false and leaves `element`
  /// unchanged. Thread-safe.
  bool Post(T& element) {
    bool was_empty = false;
    {
      absl::MutexLock lock(&mutex_);
      if (closed_) return false;
      was_empty = elements_.empty();
      elements_.push_back(std::move(element));
    }
    // The loop takes all queued elements at once, so one wake-up per batch is enough.
    if (was_empty) eventfd_write(event_fd_, 1);
    return true;
  }

  /// Passes each element to `handle` on the loop's thread until the returned promise is destroyed.
  /// An exception from `handle` is passed to `on_failure`, which must not throw; the next element
  /// follows. Must be called on the loop's thread.
  kj::Promise<void> Run(kj::UnixEventPort& port, absl::AnyInvocable<void(T)> handle,
                        absl::AnyInvocable<void(const kj::Exception&)> on_failure) {
    auto observer = kj::heap<kj::UnixEventPort::FdObserver>(
        port, event_fd_, kj::UnixEventPort::FdObserver::OBSERVE_READ);
    auto owned_handlers = kj::heap<handlers>(handlers{std::move(handle), std::move(on_failure)});
    kj::Promise<void> running = HandleNextBatch(*observer, *owned_handlers);
    return running.attach(kj::mv(owned_handlers), kj::mv(observer));
  }

  /// Closes the queue to further elements and returns those that have not been handled.
  /// Thread-safe.
  std::vector<T> Close() {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
    return std::exchange(elements_, {});
  }

 private:
  struct handlers {
    absl::AnyInvocable<void(T)> handle;
    absl::AnyInvocable<void(const kj::Exception&)> on_failure;
  };

  kj::Promise<void> HandleNextBatch(kj::UnixEventPort::FdObserver& observer, handlers& callbacks) {
    return observer.whenBecomesReadable().then([this, &observer, &callbacks] {
      // The observer is re-armed before the queue is read, so that an element posted in between
      // wakes the loop again.
      kj::Promise<void> next = HandleNextBatch(observer, callbacks);
      eventfd_t count = 0;
      eventfd_read(event_fd_, &count);
      for (T& element : TakeAll()) {
        KJ_IF_MAYBE (failure,
                     kj::runCatchingExceptions([&] { callbacks.handle(std::move(element)); })) {
          callbacks.on_failure(*failure);
        }
      }
      return next;
    });
  }

  std::vector<T> TakeAll() {
    absl::MutexLock lock(&mutex_);
    return std::exchange(elements_, {});
  }

  const int event_fd_;
  absl::Mutex mutex_;
  std::vector<T> elements_ ABSL_GUARDED_BY(mutex_);
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace teaseljunction

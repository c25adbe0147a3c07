#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "manifest/manifest_index.h"

namespace teaseljunction {

/// The manifest that this daemon has in force, and until when it is known to be current.
/// Thread-safe. Versions only go forward.
class configuration {
 public:
  /// Puts a manifest in force. Returns false, and keeps the current one, when its version is not
  /// above the current version.
  bool Install(std::shared_ptr<const manifest_index> next);

  /// Records that the leader confirmed the manifest as current until `until`.
  void ConfirmUntil(absl::Time until);

  /// Returns the manifest while it is confirmed as current, otherwise null. Calls are admitted only
  /// with a confirmed manifest, because a key may have been revoked in a later one.
  std::shared_ptr<const manifest_index> Confirmed(absl::Time now) const;

  /// Returns the manifest in force, confirmed or not. Null before the first one.
  std::shared_ptr<const manifest_index> Latest() const;

 private:
  mutable absl::Mutex mutex_;
  std::shared_ptr<const manifest_index> manifest_ ABSL_GUARDED_BY(mutex_);
  absl::Time confirmed_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

}  // namespace teaseljunction

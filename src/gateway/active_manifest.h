#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "manifest/manifest_index.h"

namespace teaseljunction {

/// The manifest in force at this daemon, and the time until which it is confirmed as current. The
/// manifest version never decreases. Thread-safe.
class active_manifest {
 public:
  /// Puts a manifest in force. Returns false and keeps the present one when the new version is not
  /// higher.
  bool Install(std::shared_ptr<const manifest_index> next);

  /// Records that the leader has confirmed the manifest as current until `until`.
  void ConfirmUntil(absl::Time until);

  /// Returns the manifest in force while it is confirmed as current, otherwise null. Calls are
  /// admitted only with a confirmed manifest, because a later one may have revoked a key.
  std::shared_ptr<const manifest_index> Confirmed(absl::Time now) const;

  /// Returns the manifest in force whether or not it is confirmed; null before the first one.
  std::shared_ptr<const manifest_index> Latest() const;

 private:
  mutable absl::Mutex mutex_;
  std::shared_ptr<const manifest_index> manifest_ ABSL_GUARDED_BY(mutex_);
  absl::Time confirmed_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

}  // namespace teaseljunction

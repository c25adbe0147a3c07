#pragma once

#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "quarantine/quarantine_list.h"

namespace teaseljunction {

/// Fingerprints of requests that are refused because they crashed several targets. Thread-safe.
class quarantine_registry {
 public:
  /// Appends the fingerprints that follow the first `known` entries of the list. When the update
  /// overlaps with the present list, only the new entries are added.
  void Append(uint64_t known, const std::vector<std::string>& fingerprints) {
    absl::MutexLock lock(&mutex_);
    for (size_t i = 0; i < fingerprints.size(); ++i) {
      if (known + i == list_.Size()) list_.Add(fingerprints[i]);
    }
  }

  /// True when requests with this fingerprint are refused.
  bool Contains(absl::string_view fingerprint) const {
    absl::MutexLock lock(&mutex_);
    return list_.Contains(fingerprint);
  }

  /// Returns the number of fingerprints.
  uint64_t Size() const {
    absl::MutexLock lock(&mutex_);
    return list_.Size();
  }

 private:
  mutable absl::Mutex mutex_;
  quarantine_list list_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace teaseljunction

#include "gateway/active_manifest.h"

#include <algorithm>
#include <utility>

namespace teaseljunction {

bool active_manifest::Install(std::shared_ptr<const manifest_index> next) {
  absl::MutexLock lock(&mutex_);
  if (manifest_ != nullptr && next->Manifest().version <= manifest_->Manifest().version) {
    return false;
  }
  manifest_ = std::move(next);
  return true;
}

void active_manifest::ConfirmUntil(absl::Time until) {
  absl::MutexLock lock(&mutex_);
  confirmed_until_ = std::max(confirmed_until_, until);
}

std::shared_ptr<const manifest_index> active_manifest::Confirmed(absl::Time now) const {
  absl::MutexLock lock(&mutex_);
  return now < confirmed_until_ ? manifest_ : nullptr;
}

std::shared_ptr<const manifest_index> active_manifest::Latest() const {
  absl::MutexLock lock(&mutex_);
  return manifest_;
}

}  // namespace teaseljunction

#include "membership/daemon_directory.h"

#include <cmath>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "common/log.h"
#include "membership/target_lease.h"

namespace teaseljunction {
namespace {

// Changes kept for daemons that have an older version.
constexpr size_t kMaxHistory = 4096;
// Removed daemons are remembered for this time, so that a delayed heartbeat of an earlier
// incarnation is recognised.
constexpr absl::Duration kRemovedRetention = absl::Minutes(10);
constexpr double kMinLoadChange = 0.25;
constexpr absl::Duration kMinLoadPublishInterval = absl::Minutes(1);

// Returns `next` with the draining states of the same incarnations in `known`: draining is
// permanent for an incarnation, and a delayed heartbeat must not undo it.
daemon_announcement MergeDraining(const daemon_announcement& known, daemon_announcement next) {
  if (next.incarnation != known.incarnation) return next;
  next.draining = next.draining || known.draining;
  if (!known.target || !next.target) return next;
  if (next.target->incarnation < known.target->incarnation) {
    next.target = known.target;
  } else if (next.target->incarnation == known.target->incarnation) {
    next.target->draining = next.target->draining || known.target->draining;
  }
  return next;
}

// Copies the fields whose changes alone create no new version, to leave them out of a comparison.
void CopyUnversionedFields(const daemon_announcement& from, daemon_announcement& to) {
  to.manifest_version = from.manifest_version;
  if (!from.target || !to.target) return;
  to.target->load = from.target->load;
  to.target->warm_up_remaining = from.target->warm_up_remaining;
}

bool LoadChanged(const daemon_announcement& known, const daemon_announcement& next) {
  if (!known.target || !next.target) return false;
  return std::abs(known.target->load - next.target->load) >= kMinLoadChange;
}

}  // namespace

void daemon_directory::StartTerm(uint64_t epoch, absl::Time now) {
  epoch_ = epoch;
  version_ = 0;
  term_start_ = now;
  settled_ = false;
  members_.clear();
  history_.clear();
  LOG(INFO) << "membership: started an empty directory for epoch " << epoch;
}

bool daemon_directory::Settled(absl::Time now) const {
  return now - term_start_ >= kMembershipLease;
}

void daemon_directory::UpdateSettled(absl::Time now) { settled_ = settled_ || Settled(now); }

void daemon_directory::Publish(directory_member& member, absl::Time now) {
  member.published_at = now;
  history_.push_back({++version_, member.daemon.daemon_id});
  if (history_.size() > kMaxHistory) history_.pop_front();
}

bool daemon_directory::Heartbeat(const daemon_announcement& daemon, absl::Time now) {
  UpdateSettled(now);
  const auto [found, inserted] = members_.try_emplace(daemon.daemon_id);
  directory_member& known = found->second;
  if (!inserted && daemon.incarnation < known.daemon.incarnation) return false;
  known.last_heartbeat = now;
  daemon_announcement next = inserted ? daemon : MergeDraining(known.daemon, daemon);
  daemon_announcement comparable = next;
  CopyUnversionedFields(known.daemon, comparable);
  const bool publish_load =
      LoadChanged(known.daemon, next) && now - known.published_at >= kMinLoadPublishInterval;
  if (!inserted && known.present && comparable == known.daemon && !publish_load) return true;
  known.daemon = std::move(next);
  known.present = true;
  Publish(known, now);
  return true;
}

size_t daemon_directory::Expire(absl::Time now) {
  UpdateSettled(now);
  size_t removed = 0;
  for (auto& [id, member] : members_) {
    if (!member.present || now - member.last_heartbeat < kMembershipLease) continue;
    member.present = false;
    Publish(member, now);
    ++removed;
    LOG(INFO) << "membership: daemon " << id << " removed after " << kMembershipLease
              << " without a heartbeat";
  }
  PruneRemoved(now);
  return removed;
}

void daemon_directory::PruneRemoved(absl::Time now) {
  absl::erase_if(members_, [&](const auto& entry) {
    const directory_member& candidate = entry.second;
    return !candidate.present && now - candidate.last_heartbeat >= kRemovedRetention;
  });
}

directory_update daemon_directory::ChangesSince(uint64_t epoch, uint64_t version) const {
  directory_update update;
  update.epoch = epoch_;
  update.version = version_;
  update.settled = settled_;
  const uint64_t oldest_kept = history_.empty() ? version_ + 1 : history_.front().version;
  update.full = epoch != epoch_ || version > version_ || version + 1 < oldest_kept;
  if (update.full) {
    for (const auto& [id, member] : members_) {
      if (member.present) update.entries.push_back({member.daemon, true});
    }
    return update;
  }
  absl::flat_hash_set<absl::string_view> included;
  for (auto change = history_.rbegin(); change != history_.rend(); ++change) {
    if (change->version <= version) break;
    if (!included.insert(change->daemon_id).second) continue;
    const auto found = members_.find(change->daemon_id);
    if (found == members_.end()) continue;
    update.entries.push_back({found->second.daemon, found->second.present});
  }
  return update;
}

std::vector<daemon_announcement> daemon_directory::Daemons() const {
  std::vector<daemon_announcement> daemons;
  for (const auto& [id, member] : members_) {
    if (member.present) daemons.push_back(member.daemon);
  }
  return daemons;
}

uint64_t daemon_directory::KnownIncarnation(absl::string_view daemon_id) const {
  const auto found = members_.find(daemon_id);
  return found == members_.end() ? 0 : found->second.daemon.incarnation;
}

}  // namespace teaseljunction

#include "membership/directory.h"

#include <cmath>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "common/log.h"
#include "membership/target_lease.h"

namespace teaseljunction {
namespace {

/// Changes that are kept for daemons that are behind.
constexpr size_t kHistoryLimit = 4096;
/// A delayed heartbeat of an earlier incarnation is recognised this long after a removal.
constexpr absl::Duration kRemovedRetention = absl::Minutes(10);
constexpr double kLoadStep = 0.25;
constexpr absl::Duration kLoadInterval = absl::Minutes(1);

// Draining is permanent for an incarnation, so a delayed heartbeat does not undo it.
daemon_announcement KeepDraining(const daemon_announcement& known, daemon_announcement next) {
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

// Copies what is published only now and then, so that it is left out of a comparison.
void CopyMinorFields(const daemon_announcement& from, daemon_announcement& to) {
  to.manifest_version = from.manifest_version;
  if (!from.target || !to.target) return;
  to.target->load = from.target->load;
  to.target->warm_up = from.target->warm_up;
}

bool LoadMoved(const daemon_announcement& known, const daemon_announcement& next) {
  if (!known.target || !next.target) return false;
  return std::abs(known.target->load - next.target->load) >= kLoadStep;
}

}  // namespace

void directory::StartTerm(uint64_t epoch, absl::Time now) {
  epoch_ = epoch;
  version_ = 0;
  term_start_ = now;
  settled_ = false;
  members_.clear();
  history_.clear();
  LOG(INFO) << "membership: directory started for epoch " << epoch;
}

bool directory::Settled(absl::Time now) const { return now - term_start_ >= kMembershipLease; }

void directory::Observe(absl::Time now) { settled_ = settled_ || Settled(now); }

void directory::Publish(member& member, absl::Time now) {
  member.published = now;
  history_.push_back({++version_, member.daemon.daemon_id});
  if (history_.size() > kHistoryLimit) history_.pop_front();
}

bool directory::Heartbeat(const daemon_announcement& daemon, absl::Time now) {
  Observe(now);
  const auto [found, inserted] = members_.try_emplace(daemon.daemon_id);
  member& known = found->second;
  if (!inserted && daemon.incarnation < known.daemon.incarnation) return false;
  known.last_heartbeat = now;
  daemon_announcement next = inserted ? daemon : KeepDraining(known.daemon, daemon);
  daemon_announcement comparable = next;
  CopyMinorFields(known.daemon, comparable);
  const bool load_due = LoadMoved(known.daemon, next) && now - known.published >= kLoadInterval;
  if (!inserted && known.present && comparable == known.daemon && !load_due) return true;
  known.daemon = std::move(next);
  known.present = true;
  Publish(known, now);
  return true;
}

size_t directory::Expire(absl::Time now) {
  Observe(now);
  size_t removed = 0;
  for (auto& [id, member] : members_) {
    if (!member.present || now - member.last_heartbeat < kMembershipLease) continue;
    member.present = false;
    Publish(member, now);
    ++removed;
    LOG(INFO) << "membership: daemon " << id << " removed after " << kMembershipLease
              << " of silence";
  }
  ForgetRemoved(now);
  return removed;
}

void directory::ForgetRemoved(absl::Time now) {
  absl::erase_if(members_, [&](const auto& item) {
    const member& candidate = item.second;
    return !candidate.present && now - candidate.last_heartbeat >= kRemovedRetention;
  });
}

directory_update directory::Since(uint64_t epoch, uint64_t version) const {
  directory_update update;
  update.epoch = epoch_;
  update.version = version_;
  update.settled = settled_;
  const uint64_t oldest = history_.empty() ? version_ + 1 : history_.front().version;
  update.whole = epoch != epoch_ || version > version_ || version + 1 < oldest;
  if (update.whole) {
    for (const auto& [id, member] : members_) {
      if (member.present) update.entries.push_back({member.daemon, true});
    }
    return update;
  }
  absl::flat_hash_set<absl::string_view> added;
  for (auto change = history_.rbegin(); change != history_.rend(); ++change) {
    if (change->version <= version) break;
    if (!added.insert(change->daemon_id).second) continue;
    const auto found = members_.find(change->daemon_id);
    if (found == members_.end()) continue;
    update.entries.push_back({found->second.daemon, found->second.present});
  }
  return update;
}

std::vector<daemon_announcement> directory::Daemons() const {
  std::vector<daemon_announcement> daemons;
  for (const auto& [id, member] : members_) {
    if (member.present) daemons.push_back(member.daemon);
  }
  return daemons;
}

uint64_t directory::KnownIncarnation(absl::string_view daemon_id) const {
  const auto found = members_.find(daemon_id);
  return found == members_.end() ? 0 : found->second.daemon.incarnation;
}

}  // namespace teaseljunction

#include "membership/directory_view.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

namespace teaseljunction {
namespace {

// Incarnations of removed daemons that are remembered. Bounds the memory.
constexpr size_t kMaxRemovedIncarnations = 4096;

}  // namespace

bool directory_view::ApplyEntry(const directory_entry& entry) {
  const daemon_announcement& daemon = entry.daemon;
  uint64_t& highest = incarnations_[daemon.daemon_id];
  if (daemon.incarnation < highest) return false;
  highest = daemon.incarnation;
  if (!entry.present) return entries_.erase(daemon.daemon_id) > 0;
  known_daemon& known = entries_[daemon.daemon_id];
  known.epoch = epoch_;
  if (known.daemon == daemon) return false;
  known.daemon = daemon;
  return true;
}

// A whole directory lists all daemons known to the leader. A daemon that is not listed has left if
// this leader listed it before, or if the directory is settled.
bool directory_view::RemoveUnlisted(const directory_update& update) {
  absl::flat_hash_set<absl::string_view> listed;
  for (const directory_entry& entry : update.entries) listed.insert(entry.daemon.daemon_id);
  return absl::erase_if(entries_, [&](const auto& entry) {
           const bool known_to_leader = update.settled || entry.second.epoch == epoch_;
           return known_to_leader && !listed.contains(entry.first);
         }) > 0;
}

bool directory_view::RemoveUnconfirmed() {
  return absl::erase_if(entries_, [&](const auto& entry) { return entry.second.epoch != epoch_; }) >
         0;
}

void directory_view::PruneIncarnations() {
  if (incarnations_.size() <= entries_.size() + kMaxRemovedIncarnations) return;
  absl::erase_if(incarnations_, [&](const auto& entry) { return !entries_.contains(entry.first); });
}

bool directory_view::Apply(const directory_update& update) {
  if (update.epoch < epoch_) return false;
  const bool new_epoch = update.epoch > epoch_;
  if (new_epoch && !update.full) return false;
  bool changed = false;
  if (new_epoch || update.version > version_) {
    epoch_ = update.epoch;
    version_ = update.version;
    for (const directory_entry& entry : update.entries) changed |= ApplyEntry(entry);
    if (update.full) changed |= RemoveUnlisted(update);
    PruneIncarnations();
  }
  if (update.settled) changed |= RemoveUnconfirmed();
  return changed;
}

std::vector<daemon_announcement> directory_view::Entries() const {
  std::vector<daemon_announcement> daemons;
  daemons.reserve(entries_.size());
  for (const auto& [id, known] : entries_) daemons.push_back(known.daemon);
  std::sort(daemons.begin(), daemons.end(),
            [](const auto& a, const auto& b) { return a.daemon_id < b.daemon_id; });
  return daemons;
}

}  // namespace teaseljunction

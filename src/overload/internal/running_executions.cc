#include "overload/running_executions.h"

namespace teaseljunction {
namespace {

constexpr char kIdSeparator = '.';

}  // namespace

void running_executions::Add(absl::string_view request_id, absl::string_view route,
                             const call_rank& rank) {
  execution& added = executions_[request_id];
  if (added.count++ > 0) return;
  added.route = std::string(route);
  added.rank = rank;
}

void running_executions::Remove(absl::string_view request_id) {
  const auto found = executions_.find(request_id);
  if (found != executions_.end() && --found->second.count == 0) executions_.erase(found);
}

const running_executions::execution* running_executions::FindParent(
    absl::string_view child_request_id) const {
  const size_t separator = child_request_id.rfind(kIdSeparator);
  if (separator == absl::string_view::npos) return nullptr;
  const auto parent = executions_.find(child_request_id.substr(0, separator));
  return parent == executions_.end() ? nullptr : &parent->second;
}

absl::string_view running_executions::RouteOfParent(absl::string_view child_request_id) const {
  const execution* parent = FindParent(child_request_id);
  return parent == nullptr ? absl::string_view() : parent->route;
}

absl::optional<call_rank> running_executions::RankOfParent(
    absl::string_view child_request_id) const {
  const execution* parent = FindParent(child_request_id);
  if (parent == nullptr) return absl::nullopt;
  return parent->rank;
}

}  // namespace teaseljunction

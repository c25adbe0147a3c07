#include "overload/running_executions.h"

namespace teaseljunction {
namespace {

constexpr char kIdSeparator = '.';

}  // namespace

void running_executions::Add(absl::string_view request_id, absl::string_view route) {
  execution& added = executions_[request_id];
  if (added.count++ == 0) added.route = std::string(route);
}

void running_executions::Remove(absl::string_view request_id) {
  const auto found = executions_.find(request_id);
  if (found != executions_.end() && --found->second.count == 0) executions_.erase(found);
}

absl::string_view running_executions::RouteOfParent(absl::string_view child_request_id) const {
  const size_t separator = child_request_id.rfind(kIdSeparator);
  if (separator == absl::string_view::npos) return {};
  const auto parent = executions_.find(child_request_id.substr(0, separator));
  return parent == executions_.end() ? absl::string_view() : parent->second.route;
}

}  // namespace teaseljunction

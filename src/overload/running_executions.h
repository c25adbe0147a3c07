#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "overload/call_rank.h"

namespace teaseljunction {

/// The executions that run at the local target, by request id. Finds the execution that a child
/// call belongs to if the target derives the ids of its calls from the id of the request that it
/// runs, as in "4bf92f.1" below "4bf92f". Not thread-safe.
class running_executions {
 public:
  void Add(absl::string_view request_id, absl::string_view route, const call_rank& rank);
  void Remove(absl::string_view request_id);

  /// Returns the route of the execution that made the call with this id; empty if its id is not
  /// derived from one that runs. The view is valid until the next call of `Remove`.
  absl::string_view RouteOfParent(absl::string_view child_request_id) const;

  /// Returns the rank of that execution, or nothing.
  absl::optional<call_rank> RankOfParent(absl::string_view child_request_id) const;

 private:
  struct execution {
    std::string route;
    call_rank rank;
    /// More than one when the same request runs again at the same target.
    int count = 0;
  };

  // Returns null if there is none.
  const execution* FindParent(absl::string_view child_request_id) const;

  absl::flat_hash_map<std::string, execution> executions_;
};

}  // namespace teaseljunction

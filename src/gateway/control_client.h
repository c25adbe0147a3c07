#pragma once

#include "absl/functional/any_invocable.h"
#include "absl/time/time.h"
#include "common/result.h"
#include "control/types.h"

namespace teaseljunction {

/// Interface to the control group.
class control_client {
 public:
  virtual ~control_client() = default;

  /// Proposes a command to the leader, following leader changes until `deadline`, and runs `done`
  /// exactly once. The command may be proposed more than once; all commands are idempotent in this
  /// respect. Errors: kNoQuorum when the command was certainly not committed, kCommitUnknown
  /// otherwise.
  virtual void Propose(command proposal, absl::Time deadline,
                       absl::AnyInvocable<void(outcome<command_result>)> done) = 0;
};

}  // namespace teaseljunction

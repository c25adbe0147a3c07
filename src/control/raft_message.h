#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "control/types.h"

namespace teaseljunction {

enum class raft_message_kind : uint8_t {
  kPreVote,
  kPreVoteResponse,
  kVote,
  kVoteResponse,
  kAppend,
  kAppendResponse,
  kSnapshot,
};

/// A message between two replicas of the log. A snapshot is answered with `kAppendResponse`.
struct raft_message {
  raft_message_kind kind = raft_message_kind::kAppend;
  uint64_t group_id = 0;
  uint64_t from = 0;
  uint64_t to = 0;
  /// Address that responses are sent to.
  std::string from_address;
  uint64_t term = 0;
  /// Vote request: last record of the candidate. Append: the record before `records`; 0 without
  /// records only renews the lease. Append response: last record known to match, or the rejected
  /// `log_index`.
  uint64_t log_index = 0;
  uint64_t log_term = 0;
  uint64_t commit_index = 0;
  bool accepted = false;
  /// Rejected append: the highest index at which the logs may match.
  uint64_t reject_hint = 0;
  /// Time on the leader's clock at which it sent the message. A response carries the time of the
  /// message that it answers.
  absl::Time send_time = absl::UnixEpoch();
  std::vector<log_record> records;
  /// Set for `kSnapshot`.
  absl::optional<log_snapshot> snapshot;
};

/// Announces a member to the others during the bootstrap of a group.
struct bootstrap_hello {
  std::string address;
  std::string data_centre;
  uint64_t member_id = 0;
  /// 0 while the sender belongs to no group.
  uint64_t group_id = 0;
  /// The initial voters that the sender has agreed to; empty before.
  group_configuration initial_voters;
  /// True when the sender expects a hello in return.
  bool request = false;
};

}  // namespace teaseljunction

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

/// A message between two replicas of the log. Snapshots are answered with `kAppendResponse`.
struct raft_message {
  raft_message_kind kind = raft_message_kind::kAppend;
  uint64_t group_id = 0;
  uint64_t from = 0;
  uint64_t to = 0;
  /// Address to which responses are sent.
  std::string from_address;
  uint64_t term = 0;
  /// Votes: last record of the candidate. Append: the record before `records`; 0 only renews the
  /// lease. Append response: last record known to match, or the refused `log_index`.
  uint64_t log_index = 0;
  uint64_t log_term = 0;
  uint64_t commit_index = 0;
  bool accepted = false;
  /// Refused append: the record from which the leader should try next.
  uint64_t hint = 0;
  /// Time at which the leader sent the message, by its clock; responses carry it back.
  absl::Time sent = absl::UnixEpoch();
  std::vector<log_record> records;
  /// Set for `kSnapshot`.
  absl::optional<log_snapshot> snapshot;
};

/// Exchanged by members before they belong to a group.
struct bootstrap_hello {
  std::string address;
  std::string data_centre;
  uint64_t member_id = 0;
  /// 0 as long as the sender belongs to no group.
  uint64_t group_id = 0;
  /// The voters that the sender has agreed to, or empty.
  group_configuration initial_voters;
  /// True when the sender wants a hello in return.
  bool request = false;
};

}  // namespace teaseljunction

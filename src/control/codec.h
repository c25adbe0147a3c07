#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "common/result.h"
#include "control/raft_message.h"
#include "control/types.h"

namespace teaseljunction {

/// One group commit of the journal.
struct journal_frame {
  absl::optional<hard_state> state;
  /// Set when the log starts anew after the record with this index and term.
  bool base = false;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::vector<log_record> records;
};

/// A message between control members.
using control_message = std::variant<raft_message, bootstrap_hello>;

// Encoding is Cap'n Proto with the schema in control.capnp. Each Decode function fails with
// kMalformedRequest when the bytes do not form a valid message.

std::string EncodeCommand(const command& value);
result<command> DecodeCommand(absl::string_view bytes);

std::string EncodeMessage(const raft_message& message);
std::string EncodeMessage(const bootstrap_hello& hello);
result<control_message> DecodeMessage(absl::string_view bytes);

std::string EncodeFrame(const journal_frame& frame);
result<journal_frame> DecodeFrame(absl::string_view bytes);

std::string EncodeSnapshot(const log_snapshot& snapshot);
result<log_snapshot> DecodeSnapshot(absl::string_view bytes);

}  // namespace teaseljunction

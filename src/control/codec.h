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

/// The changes that the journal makes durable with one sync.
struct journal_frame {
  absl::optional<hard_state> state;
  /// True when this frame resets the log to start after record `base_index` of term `base_term`.
  bool base = false;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::vector<log_record> records;
  uint64_t durable_bytes = 0;
  uint64_t writer_id = 0;
};

/// A decoded message between control members.
using control_message = std::variant<raft_message, bootstrap_hello>;

// The encoding is Cap'n Proto with the schema in control.capnp. Each Decode function fails with
// kMalformedRequest when the bytes are not a valid message. All functions are thread-safe.

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

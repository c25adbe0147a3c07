#pragma once

#include <capnp/message.h>

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "node.capnp.h"
#include "rpc/types.h"

namespace teaseljunction {

/// Parameters or results of a method that has none.
struct no_params {};

// Encode writes a native value to a message, Decode reads one. Enum numbers that this version does
// not know are decoded as the most conservative known value. Decode throws kj::Exception when the
// message is invalid. Daemons of a directory and targets that cannot be used are left out.

void Encode(const call& value, wire::Call::Builder out);
void Encode(const call_answer& value, wire::Answer::Builder out);
void Encode(const error& value, wire::Error::Builder out);
void Encode(const execute_result& value, wire::ExecuteResult::Builder out);
void Encode(const daemon_announcement& value, wire::Daemon::Builder out);
void Encode(const sync_request& value, wire::SyncRequest::Builder out);
void Encode(const sync_response& value, wire::SyncResponse::Builder out);
void Encode(const manifest_record& value, wire::Manifest::Builder out);
void Encode(const command& value, wire::Command::Builder out);
void Encode(const propose_response& value, wire::ProposeResponse::Builder out);
void Encode(const status_report& value, wire::Status::Builder out);
void Encode(const std::string& message, wire::Node::RaftParams::Builder out);
inline void Encode(const no_params&, wire::Node::ManifestParams::Builder) {}
inline void Encode(const no_params&, wire::Node::StatusParams::Builder) {}
inline void Encode(const no_params&, wire::Node::RefreshParams::Builder) {}

call Decode(wire::Call::Reader in);
call_answer Decode(wire::Answer::Reader in);
error Decode(wire::Error::Reader in);
execute_result Decode(wire::ExecuteResult::Reader in);
daemon_announcement Decode(wire::Daemon::Reader in);
sync_request Decode(wire::SyncRequest::Reader in);
sync_response Decode(wire::SyncResponse::Reader in);
manifest_record Decode(wire::Manifest::Reader in);
command Decode(wire::Command::Reader in);
propose_response Decode(wire::ProposeResponse::Reader in);
status_report Decode(wire::Status::Reader in);
std::string Decode(wire::Node::RaftParams::Reader in);

/// Returns a size of the first segment that fits the whole message in most cases.
capnp::MessageSize SizeHint(const call& value);
capnp::MessageSize SizeHint(const execute_result& value);
capnp::MessageSize SizeHint(const command& value);
capnp::MessageSize SizeHint(const std::string& message);
/// Returns a fixed size for messages without large fields.
template <class T>
capnp::MessageSize SizeHint(const T&) {
  return {128, 0};
}

// Helper functions of the conversions.

inline capnp::Text::Reader ToText(const std::string& text) {
  return capnp::Text::Reader(text.c_str(), text.size());
}

inline std::string FromText(capnp::Text::Reader text) {
  return std::string(text.begin(), text.size());
}

inline capnp::Data::Reader ToData(const std::string& data) {
  return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(data.data()), data.size());
}

inline std::string FromData(capnp::Data::Reader data) {
  return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

/// Converts to nanoseconds. An infinite duration is sent as the largest number.
inline int64_t ToWire(absl::Duration duration) { return absl::ToInt64Nanoseconds(duration); }

inline absl::Duration DurationFromWire(int64_t nanoseconds) {
  if (nanoseconds == INT64_MAX) return absl::InfiniteDuration();
  return absl::Nanoseconds(nanoseconds);
}

/// Returns the enum value with number `number`, or `fallback` when the number is greater than that
/// of `last`.
template <class Enum>
Enum EnumFromWire(uint8_t number, Enum last, Enum fallback) {
  return number <= static_cast<uint8_t>(last) ? static_cast<Enum>(number) : fallback;
}

/// Encodes each element of `values` into the list `out`, which has the same size.
template <class T, class ListBuilder>
void EncodeList(const std::vector<T>& values, ListBuilder out) {
  for (unsigned i = 0; i < out.size(); ++i) Encode(values[i], out[i]);
}

/// Decodes a list of structs to a vector.
template <class T, class ListReader>
std::vector<T> DecodeList(ListReader in) {
  std::vector<T> values;
  values.reserve(in.size());
  for (auto element : in) values.push_back(Decode(element));
  return values;
}

}  // namespace teaseljunction

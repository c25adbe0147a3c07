#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstdint>
#include <cstring>
#include <limits>
#include <string>

#include "absl/strings/string_view.h"
#include "common/result.h"
#include "control/generated/control.capnp.h"
#include "control/types.h"

namespace teaseljunction {

inline capnp::Data::Reader ToData(absl::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

inline std::string FromData(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

inline kj::StringPtr ToText(const std::string& text) { return {text.data(), text.size()}; }

inline std::string FromText(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

inline int64_t ToNanos(absl::Time time) { return absl::ToUnixNanos(time); }
inline absl::Time FromNanos(int64_t nanos) { return absl::FromUnixNanos(nanos); }

/// Returns the serialised bytes of a message.
inline std::string Flatten(capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Calls `read` with the root of the message in `bytes` and returns its result. Errors:
/// kMalformedRequest when the bytes are not a valid message; those of `read`.
template <class Root, class T, class Read>
result<T> ReadMessage(absl::string_view bytes, Read&& read) {
  // Snapshots may exceed the default limit. It protects against small messages whose pointers refer
  // to the same data many times, but the decoders visit each part of a message only once.
  capnp::ReaderOptions options;
  options.traversalLimitInWords = std::numeric_limits<uint64_t>::max();
  // Cap'n Proto reads words in place and requires them to be aligned.
  kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  if (!bytes.empty()) std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
  try {
    capnp::FlatArrayMessageReader reader(words, options);
    return read(reader.getRoot<Root>());
  } catch (const kj::Exception& failure) {
    return Fail(error_kind::kMalformedRequest, failure.getDescription().cStr());
  }
}

void WriteAnswer(const call_answer& answer, wire::control::Answer::Builder out);
call_answer ReadAnswer(wire::control::Answer::Reader in);

void WriteConfiguration(const group_configuration& configuration,
                        capnp::List<wire::control::GroupMember>::Builder out);
group_configuration ReadConfiguration(capnp::List<wire::control::GroupMember>::Reader in);

}  // namespace teaseljunction

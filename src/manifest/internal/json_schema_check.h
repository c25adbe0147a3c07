#pragma once

#include <capnp/compat/json.h>
#include <capnp/schema.h>

#include <string>

#include "absl/types/optional.h"

namespace teaseljunction {

/// Checks a parsed JSON object against a Cap'n Proto struct. Returns a message with the path of the
/// first invalid field and the reason, or nothing when the object conforms. It rejects what Cap'n
/// Proto's decoder either accepts silently or reports without a field path: duplicate and unknown
/// fields, null, numbers as strings, fractions in integer fields and numbers out of range.
absl::optional<std::string> FindJsonSchemaError(capnp::JsonValue::Reader value,
                                                capnp::StructSchema schema);

}  // namespace teaseljunction

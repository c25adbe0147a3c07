#pragma once

#include <capnp/compat/json.h>
#include <capnp/schema.h>

#include <string>

#include "absl/types/optional.h"

namespace teaseljunction {

/// Compares a parsed JSON object with a Cap'n Proto struct and returns the place and the fault of
/// the first difference, or nothing. It finds what Cap'n Proto's decoder accepts without a report
/// or reports without a place: duplicate and unknown fields, null, numbers as text, fractions and
/// numbers out of range.
absl::optional<std::string> FindJsonSchemaFault(capnp::JsonValue::Reader value,
                                                capnp::StructSchema schema);

}  // namespace teaseljunction

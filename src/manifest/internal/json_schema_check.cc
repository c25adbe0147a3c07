#include "manifest/internal/json_schema_check.h"

#include <cmath>
#include <limits>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "manifest/internal/quote.h"

namespace teaseljunction {
namespace {

using fault = absl::optional<std::string>;

// Largest integer that a JSON number carries without loss.
constexpr double kMaxExactInteger = 9007199254740991.0;

fault CheckValue(capnp::JsonValue::Reader value, capnp::Type type, const std::string& place);

absl::string_view View(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

absl::string_view KindOf(capnp::JsonValue::Reader value) {
  switch (value.which()) {
    case capnp::JsonValue::NULL_:
      return "null";
    case capnp::JsonValue::BOOLEAN:
      return "a boolean";
    case capnp::JsonValue::NUMBER:
      return "a number";
    case capnp::JsonValue::STRING:
      return "a string";
    case capnp::JsonValue::ARRAY:
      return "an array";
    case capnp::JsonValue::OBJECT:
      return "an object";
    default:
      return "an unknown value";
  }
}

std::string Describe(const std::string& place, absl::string_view text) {
  return absl::StrCat(place.empty() ? "manifest" : place, ": ", text);
}

fault WrongKind(capnp::JsonValue::Reader value, const std::string& place,
                absl::string_view expected) {
  return Describe(place, absl::StrCat("expected ", expected, ", found ", KindOf(value)));
}

fault CheckInteger(capnp::JsonValue::Reader value, double max, const std::string& place) {
  if (!value.isNumber()) return WrongKind(value, place, "a whole number");
  const double number = value.getNumber();
  if (std::signbit(number)) return Describe(place, "must not be negative");
  if (!(number <= max))
    return Describe(place, absl::StrCat("must be at most ", static_cast<uint64_t>(max)));
  if (number != std::floor(number)) return Describe(place, "must be a whole number");
  return absl::nullopt;
}

fault CheckFloat(capnp::JsonValue::Reader value, const std::string& place) {
  if (!value.isNumber()) return WrongKind(value, place, "a number");
  if (!std::isfinite(value.getNumber())) return Describe(place, "must be a finite number");
  return absl::nullopt;
}

fault CheckEnum(capnp::JsonValue::Reader value, capnp::EnumSchema schema,
                const std::string& place) {
  if (!value.isString()) return WrongKind(value, place, "a string");
  std::string names;
  for (auto enumerant : schema.getEnumerants()) {
    const absl::string_view name = View(enumerant.getProto().getName());
    if (name == View(value.getString())) return absl::nullopt;
    absl::StrAppend(&names, names.empty() ? "" : ", ", name);
  }
  return Describe(place, absl::StrCat("unknown value ", Quote(View(value.getString())),
                                      "; expected one of ", names));
}

fault CheckList(capnp::JsonValue::Reader value, capnp::ListSchema schema,
                const std::string& place) {
  if (!value.isArray()) return WrongKind(value, place, "an array");
  const auto elements = value.getArray();
  for (unsigned int i = 0; i < elements.size(); ++i) {
    fault found =
        CheckValue(elements[i], schema.getElementType(), absl::StrCat(place, "[", i, "]"));
    if (found.has_value()) return found;
  }
  return absl::nullopt;
}

fault CheckStruct(capnp::JsonValue::Reader value, capnp::StructSchema schema,
                  const std::string& place) {
  if (!value.isObject()) return WrongKind(value, place, "an object");
  absl::flat_hash_set<absl::string_view> seen;
  for (auto member : value.getObject()) {
    const absl::string_view name = View(member.getName());
    KJ_IF_MAYBE (field, schema.findFieldByName(member.getName())) {
      if (!seen.insert(name).second) {
        return Describe(place, absl::StrCat("duplicate field ", Quote(name)));
      }
      fault found = CheckValue(member.getValue(), field->getType(),
                               absl::StrCat(place, place.empty() ? "" : ".", name));
      if (found.has_value()) return found;
    } else {
      return Describe(place, absl::StrCat("unknown field ", Quote(name)));
    }
  }
  return absl::nullopt;
}

fault CheckValue(capnp::JsonValue::Reader value, capnp::Type type, const std::string& place) {
  switch (type.which()) {
    case capnp::schema::Type::BOOL:
      return value.isBoolean() ? fault() : WrongKind(value, place, "true or false");
    case capnp::schema::Type::UINT32:
      return CheckInteger(value, std::numeric_limits<uint32_t>::max(), place);
    case capnp::schema::Type::UINT64:
      return CheckInteger(value, kMaxExactInteger, place);
    case capnp::schema::Type::FLOAT64:
      return CheckFloat(value, place);
    case capnp::schema::Type::TEXT:
      return value.isString() ? fault() : WrongKind(value, place, "a string");
    case capnp::schema::Type::ENUM:
      return CheckEnum(value, type.asEnum(), place);
    case capnp::schema::Type::LIST:
      return CheckList(value, type.asList(), place);
    case capnp::schema::Type::STRUCT:
      return CheckStruct(value, type.asStruct(), place);
    default:
      return Describe(place, "the schema has a type that is not supported");
  }
}

}  // namespace

fault FindJsonSchemaFault(capnp::JsonValue::Reader value, capnp::StructSchema schema) {
  return CheckStruct(value, schema, "");
}

}  // namespace teaseljunction

#include "manifest/internal/json_schema_check.h"

#include <cmath>
#include <limits>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "manifest/internal/quote.h"

namespace teaseljunction {
namespace {

using optional_error = absl::optional<std::string>;

// 2^53 - 1, the largest integer that a double, and so a JSON number, represents safely.
constexpr double kMaxExactInteger = 9007199254740991.0;

optional_error CheckValue(capnp::JsonValue::Reader value, capnp::Type type,
                          const std::string& field_path);

absl::string_view ToStringView(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

absl::string_view JsonTypeName(capnp::JsonValue::Reader value) {
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

std::string ErrorAt(const std::string& field_path, absl::string_view text) {
  return absl::StrCat(field_path.empty() ? "manifest" : field_path, ": ", text);
}

optional_error UnexpectedType(capnp::JsonValue::Reader value, const std::string& field_path,
                              absl::string_view expected) {
  return ErrorAt(field_path, absl::StrCat("expected ", expected, ", found ", JsonTypeName(value)));
}

optional_error CheckInteger(capnp::JsonValue::Reader value, double max,
                            const std::string& field_path) {
  if (!value.isNumber()) return UnexpectedType(value, field_path, "a whole number");
  const double number = value.getNumber();
  if (std::signbit(number)) return ErrorAt(field_path, "must not be negative");
  if (!(number <= max))
    return ErrorAt(field_path, absl::StrCat("must be at most ", static_cast<uint64_t>(max)));
  if (number != std::floor(number)) return ErrorAt(field_path, "must be a whole number");
  return absl::nullopt;
}

optional_error CheckFloat(capnp::JsonValue::Reader value, const std::string& field_path) {
  if (!value.isNumber()) return UnexpectedType(value, field_path, "a number");
  if (!std::isfinite(value.getNumber())) return ErrorAt(field_path, "must be a finite number");
  return absl::nullopt;
}

optional_error CheckEnum(capnp::JsonValue::Reader value, capnp::EnumSchema schema,
                         const std::string& field_path) {
  if (!value.isString()) return UnexpectedType(value, field_path, "a string");
  std::string names;
  for (auto enumerant : schema.getEnumerants()) {
    const absl::string_view name = ToStringView(enumerant.getProto().getName());
    if (name == ToStringView(value.getString())) return absl::nullopt;
    absl::StrAppend(&names, names.empty() ? "" : ", ", name);
  }
  return ErrorAt(field_path, absl::StrCat("unknown value ", Quote(ToStringView(value.getString())),
                                          "; expected one of ", names));
}

optional_error CheckList(capnp::JsonValue::Reader value, capnp::ListSchema schema,
                         const std::string& field_path) {
  if (!value.isArray()) return UnexpectedType(value, field_path, "an array");
  const auto elements = value.getArray();
  for (unsigned int i = 0; i < elements.size(); ++i) {
    optional_error found =
        CheckValue(elements[i], schema.getElementType(), absl::StrCat(field_path, "[", i, "]"));
    if (found.has_value()) return found;
  }
  return absl::nullopt;
}

optional_error CheckStruct(capnp::JsonValue::Reader value, capnp::StructSchema schema,
                           const std::string& field_path) {
  if (!value.isObject()) return UnexpectedType(value, field_path, "an object");
  absl::flat_hash_set<absl::string_view> seen;
  for (auto member : value.getObject()) {
    const absl::string_view name = ToStringView(member.getName());
    KJ_IF_MAYBE (field, schema.findFieldByName(member.getName())) {
      if (!seen.insert(name).second) {
        return ErrorAt(field_path, absl::StrCat("duplicate field ", Quote(name)));
      }
      optional_error found =
          CheckValue(member.getValue(), field->getType(),
                     absl::StrCat(field_path, field_path.empty() ? "" : ".", name));
      if (found.has_value()) return found;
    } else {
      return ErrorAt(field_path, absl::StrCat("unknown field ", Quote(name)));
    }
  }
  return absl::nullopt;
}

optional_error CheckValue(capnp::JsonValue::Reader value, capnp::Type type,
                          const std::string& field_path) {
  switch (type.which()) {
    case capnp::schema::Type::BOOL:
      return value.isBoolean() ? optional_error()
                               : UnexpectedType(value, field_path, "true or false");
    case capnp::schema::Type::UINT32:
      return CheckInteger(value, std::numeric_limits<uint32_t>::max(), field_path);
    case capnp::schema::Type::UINT64:
      return CheckInteger(value, kMaxExactInteger, field_path);
    case capnp::schema::Type::FLOAT64:
      return CheckFloat(value, field_path);
    case capnp::schema::Type::TEXT:
      return value.isString() ? optional_error() : UnexpectedType(value, field_path, "a string");
    case capnp::schema::Type::ENUM:
      return CheckEnum(value, type.asEnum(), field_path);
    case capnp::schema::Type::LIST:
      return CheckList(value, type.asList(), field_path);
    case capnp::schema::Type::STRUCT:
      return CheckStruct(value, type.asStruct(), field_path);
    default:
      return ErrorAt(field_path, "the schema has a type that is not supported");
  }
}

}  // namespace

optional_error FindJsonSchemaError(capnp::JsonValue::Reader value, capnp::StructSchema schema) {
  return CheckStruct(value, schema, "");
}

}  // namespace teaseljunction

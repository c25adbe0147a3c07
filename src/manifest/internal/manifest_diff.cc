#include "manifest/manifest_diff.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace teaseljunction {
namespace {

struct field_value {
  std::string name;
  std::string json;
};

// Needs no escaping: validated names, paths and digests hold no character that JSON escapes.
std::string JsonString(absl::string_view value) { return absl::StrCat("\"", value, "\""); }

std::string JsonNumber(double value) { return absl::StrCat(value); }

std::string JsonBoolean(bool value) { return value ? "true" : "false"; }

std::vector<field_value> FieldsOf(const client_account& source) {
  return {{"rate", JsonNumber(source.rate)}, {"burst", JsonNumber(source.burst)}};
}

std::vector<field_value> FieldsOf(const service& source) {
  return {{"maxConcurrency", absl::StrCat(source.max_concurrency)},
          {"retryRatio", JsonNumber(source.retry_ratio)}};
}

std::vector<field_value> FieldsOf(const route& source) {
  return {{"method", JsonString(source.method)},
          {"path", JsonString(source.path)},
          {"service", JsonString(source.service)},
          {"priority", JsonString(PriorityName(source.priority))},
          {"idempotent", JsonBoolean(source.idempotent)},
          {"open", JsonBoolean(source.open)},
          {"timeoutMs", absl::StrCat(absl::ToInt64Milliseconds(source.timeout))},
          {"maxAttempts", absl::StrCat(source.max_attempts)}};
}

std::string ModeJson(overload_control_mode mode) {
  return JsonString(mode == overload_control_mode::kPlanned ? "planned" : "reactive");
}

using change_list = std::vector<manifest_change>;

void CompareKeyDigests(const client_account& before, const client_account& after,
                       change_list& differences) {
  const absl::flat_hash_set<absl::string_view> old_digests(before.key_digests.begin(),
                                                           before.key_digests.end());
  const absl::flat_hash_set<absl::string_view> new_digests(after.key_digests.begin(),
                                                           after.key_digests.end());
  for (const std::string& digest : before.key_digests) {
    if (new_digests.contains(digest)) continue;
    differences.push_back({change_kind::kRemoved, "clientAccount", before.name, "keyDigests",
                           JsonString(digest), ""});
  }
  for (const std::string& digest : after.key_digests) {
    if (old_digests.contains(digest)) continue;
    differences.push_back(
        {change_kind::kAdded, "clientAccount", after.name, "keyDigests", "", JsonString(digest)});
  }
}

// Services and routes have no key digests; these overloads are for CompareObject.
void CompareKeyDigests(const service&, const service&, change_list&) {}
void CompareKeyDigests(const route&, const route&, change_list&) {}

template <class Object>
void CompareObject(const std::string& object_type, const Object& before, const Object& after,
                   change_list& differences) {
  const std::vector<field_value> old_fields = FieldsOf(before);
  const std::vector<field_value> new_fields = FieldsOf(after);
  for (size_t i = 0; i < old_fields.size(); ++i) {
    if (old_fields[i].json == new_fields[i].json) continue;
    differences.push_back({change_kind::kChanged, object_type, before.name, old_fields[i].name,
                           old_fields[i].json, new_fields[i].json});
  }
  CompareKeyDigests(before, after, differences);
}

template <class Object>
absl::flat_hash_map<absl::string_view, const Object*> IndexByName(
    const std::vector<Object>& objects) {
  absl::flat_hash_map<absl::string_view, const Object*> named;
  for (const Object& object : objects) named.emplace(object.name, &object);
  return named;
}

template <class Object>
void CompareObjects(const std::string& object_type, const std::vector<Object>& before,
                    const std::vector<Object>& after, change_list& differences) {
  const auto old_objects = IndexByName(before);
  const auto new_objects = IndexByName(after);
  for (const Object& old_object : before) {
    const auto match = new_objects.find(old_object.name);
    if (match != new_objects.end()) {
      CompareObject(object_type, old_object, *match->second, differences);
      continue;
    }
    differences.push_back({change_kind::kRemoved, object_type, old_object.name, "", "", ""});
  }
  for (const Object& new_object : after) {
    if (old_objects.contains(new_object.name)) continue;
    differences.push_back({change_kind::kAdded, object_type, new_object.name, "", "", ""});
  }
}

std::string FormatChange(const manifest_change& change) {
  constexpr absl::string_view markers[] = {"+", "-", "~"};
  std::string line = absl::StrCat(markers[static_cast<size_t>(change.kind)], " ", change.object);
  if (!change.name.empty()) absl::StrAppend(&line, " ", change.name);
  if (change.field.empty()) return line;
  absl::StrAppend(&line, ": ", change.field, " ", change.before);
  if (change.kind == change_kind::kChanged) absl::StrAppend(&line, " -> ");
  return absl::StrCat(line, change.after);
}

}  // namespace

std::vector<manifest_change> DiffManifests(const manifest& before, const manifest& after) {
  change_list differences;
  if (before.version != after.version) {
    differences.push_back({change_kind::kChanged, "manifest", "", "version",
                           absl::StrCat(before.version), absl::StrCat(after.version)});
  }
  if (before.overload_control != after.overload_control) {
    differences.push_back({change_kind::kChanged, "manifest", "", "overloadControl",
                           ModeJson(before.overload_control), ModeJson(after.overload_control)});
  }
  CompareObjects("clientAccount", before.client_accounts, after.client_accounts, differences);
  CompareObjects("service", before.services, after.services, differences);
  CompareObjects("route", before.routes, after.routes, differences);
  return differences;
}

std::string FormatChanges(absl::Span<const manifest_change> changes) {
  std::string text;
  for (const manifest_change& change : changes) absl::StrAppend(&text, FormatChange(change), "\n");
  return text;
}

}  // namespace teaseljunction

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

// Values are valid names, paths and digests, which need no escapes in JSON.
std::string Text(absl::string_view value) { return absl::StrCat("\"", value, "\""); }

std::string Number(double value) { return absl::StrCat(value); }

std::string Boolean(bool value) { return value ? "true" : "false"; }

std::vector<field_value> FieldsOf(const client_account& source) {
  return {{"rate", Number(source.rate)}, {"burst", Number(source.burst)}};
}

std::vector<field_value> FieldsOf(const service& source) {
  return {{"maxConcurrency", absl::StrCat(source.max_concurrency)},
          {"retryRatio", Number(source.retry_ratio)}};
}

std::vector<field_value> FieldsOf(const route& source) {
  return {{"method", Text(source.method)},
          {"path", Text(source.path)},
          {"service", Text(source.service)},
          {"priority", Text(PriorityName(source.priority))},
          {"idempotent", Boolean(source.idempotent)},
          {"open", Boolean(source.open)},
          {"timeoutMs", absl::StrCat(absl::ToInt64Milliseconds(source.timeout))},
          {"maxAttempts", absl::StrCat(source.max_attempts)}};
}

using changes = std::vector<manifest_change>;

void CompareItems(const client_account& before, const client_account& after, changes& found) {
  const absl::flat_hash_set<absl::string_view> old_keys(before.key_digests.begin(),
                                                        before.key_digests.end());
  const absl::flat_hash_set<absl::string_view> new_keys(after.key_digests.begin(),
                                                        after.key_digests.end());
  for (const std::string& digest : before.key_digests) {
    if (new_keys.contains(digest)) continue;
    found.push_back(
        {change_kind::kRemoved, "clientAccount", before.name, "keyDigests", Text(digest), ""});
  }
  for (const std::string& digest : after.key_digests) {
    if (old_keys.contains(digest)) continue;
    found.push_back(
        {change_kind::kAdded, "clientAccount", after.name, "keyDigests", "", Text(digest)});
  }
}

void CompareItems(const service&, const service&, changes&) {}
void CompareItems(const route&, const route&, changes&) {}

template <class Object>
void CompareObject(const std::string& object, const Object& before, const Object& after,
                   changes& found) {
  const std::vector<field_value> old_fields = FieldsOf(before);
  const std::vector<field_value> new_fields = FieldsOf(after);
  for (size_t i = 0; i < old_fields.size(); ++i) {
    if (old_fields[i].json == new_fields[i].json) continue;
    found.push_back({change_kind::kChanged, object, before.name, old_fields[i].name,
                     old_fields[i].json, new_fields[i].json});
  }
  CompareItems(before, after, found);
}

template <class Object>
absl::flat_hash_map<absl::string_view, const Object*> ByName(const std::vector<Object>& objects) {
  absl::flat_hash_map<absl::string_view, const Object*> named;
  for (const Object& object : objects) named.emplace(object.name, &object);
  return named;
}

template <class Object>
void CompareLists(const std::string& object, const std::vector<Object>& before,
                  const std::vector<Object>& after, changes& found) {
  const auto old_objects = ByName(before);
  const auto new_objects = ByName(after);
  for (const Object& old_object : before) {
    const auto match = new_objects.find(old_object.name);
    if (match != new_objects.end()) {
      CompareObject(object, old_object, *match->second, found);
      continue;
    }
    found.push_back({change_kind::kRemoved, object, old_object.name, "", "", ""});
  }
  for (const Object& new_object : after) {
    if (old_objects.contains(new_object.name)) continue;
    found.push_back({change_kind::kAdded, object, new_object.name, "", "", ""});
  }
}

std::string FormatChange(const manifest_change& change) {
  constexpr absl::string_view signs[] = {"+", "-", "~"};
  std::string line = absl::StrCat(signs[static_cast<size_t>(change.kind)], " ", change.object);
  if (!change.name.empty()) absl::StrAppend(&line, " ", change.name);
  if (change.field.empty()) return line;
  absl::StrAppend(&line, ": ", change.field, " ", change.before);
  if (change.kind == change_kind::kChanged) absl::StrAppend(&line, " -> ");
  return absl::StrCat(line, change.after);
}

}  // namespace

std::vector<manifest_change> DiffManifests(const manifest& before, const manifest& after) {
  changes found;
  if (before.version != after.version) {
    found.push_back({change_kind::kChanged, "manifest", "", "version", absl::StrCat(before.version),
                     absl::StrCat(after.version)});
  }
  CompareLists("clientAccount", before.client_accounts, after.client_accounts, found);
  CompareLists("service", before.services, after.services, found);
  CompareLists("route", before.routes, after.routes, found);
  return found;
}

std::string FormatChanges(absl::Span<const manifest_change> changes) {
  std::string text;
  for (const manifest_change& change : changes) absl::StrAppend(&text, FormatChange(change), "\n");
  return text;
}

}  // namespace teaseljunction

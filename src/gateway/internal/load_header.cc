#include "gateway/load_header.h"

#include <cmath>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace teaseljunction {
namespace {

constexpr double kMinPace = 0.1;
constexpr double kMaxPace = 20;
constexpr double kPercent = 0.01;

absl::optional<uint32_t> ParseCount(absl::string_view field) {
  uint32_t count = 0;
  if (!absl::SimpleAtoi(field, &count)) return absl::nullopt;
  return count;
}

absl::optional<double> ParsePace(absl::string_view field) {
  double percent = 0;
  if (!absl::SimpleAtod(field, &percent)) return absl::nullopt;
  const double pace = percent * kPercent;
  // Also false for a value that is not a number.
  if (!(pace >= kMinPace && pace <= kMaxPace)) return absl::nullopt;
  return pace;
}

}  // namespace

load_header ParseLoadHeader(absl::string_view value) {
  const std::vector<absl::string_view> fields = absl::StrSplit(value, ',');
  load_header parsed;
  parsed.running = ParseCount(fields[0]);
  if (fields.size() > 1) parsed.waiting = ParseCount(fields[1]);
  if (fields.size() > 2) parsed.slots = ParseCount(fields[2]);
  if (fields.size() > 3) parsed.pace = ParsePace(fields[3]);
  return parsed;
}

}  // namespace teaseljunction

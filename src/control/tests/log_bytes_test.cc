#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "control/tests/mocks/simulated_group.h"

namespace teaseljunction {
namespace {

constexpr size_t kManifestBytes = 1536 * 1024;

submit_manifest LargeManifest(uint64_t version) {
  return {version,
          absl::StrCat("digest", version),
          std::string(kManifestBytes, static_cast<char>('a' + version % 26)),
          {}};
}

void SubmitManifests(simulated_group& group, uint64_t first, uint64_t count) {
  for (uint64_t version = first; version < first + count; ++version) {
    group.ProposeUntilApplied(LargeManifest(version));
  }
}

bool HaveAllApplied(simulated_group& group, uint64_t version) {
  for (int node = 0; node < group.Size(); ++node) {
    if (group.Core(node)->State().Manifest()->version != version) return false;
  }
  return true;
}

}  // namespace

// Guards against a log that is bounded by the number of its records only, so that large
// configurations exhaust the memory of all members (review case 5).
TEST_CASE("the log in memory is bounded in bytes over many large changes") {
  simulated_group group(5, 5);
  group.generate_load = false;
  SubmitManifests(group, 1, 300);
  CHECK(group.MaxLogBytes() <= kMaxLogBytes);
  group.RunUntil("equal members", [&] { return HaveAllApplied(group, 300); });
}

// Guards against records that are kept without a limit for a member that is away, and against one
// that does not catch up once they are dropped.
TEST_CASE("the log in memory is bounded in bytes while a member is away") {
  simulated_group group(5, 6);
  group.generate_load = false;
  SubmitManifests(group, 1, 1);
  const int away = (group.Leader() + 1) % group.Size();
  SECTION("isolated") { group.Isolate(away, true, true); }
  SECTION("ended") { group.Kill(away); }
  SubmitManifests(group, 2, 120);
  group.Recover();
  SubmitManifests(group, 122, 20);
  group.RunUntil("equal members", [&] { return HaveAllApplied(group, 141); });
  CHECK(group.MaxLogBytes() <= kMaxLogBytes);
  group.CheckNoFailure();
}

// Guards against uncommitted records without a limit in bytes, while members that are needed for a
// commit do not answer.
TEST_CASE("uncommitted records are bounded in bytes") {
  simulated_group group(5, 7, 0, 4);
  group.generate_load = false;
  SubmitManifests(group, 1, 1);
  const int leader = group.Leader();
  for (const int offset : {1, 2}) {
    group.Freeze((leader + offset) % group.Size(), absl::Seconds(5));
  }
  for (uint64_t version = 2; version < 62; ++version) {
    group.ProposeAtLeader(LargeManifest(version));
    group.Run(absl::Milliseconds(20));
  }
  const command_result refused = group.ProposeAndWait(LargeManifest(62));
  CHECK(refused.failure.kind == error_kind::kOverloaded);
  CHECK(group.MaxLogBytes() <= kMaxLogBytes);
  group.Run(absl::Seconds(5));
  SubmitManifests(group, 70, 1);
  group.RunUntil("equal members", [&] { return HaveAllApplied(group, 70); });
}

}  // namespace teaseljunction

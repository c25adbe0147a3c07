#include "control/journal.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "control/tests/mocks/memory_file_system.h"

namespace teaseljunction {
namespace {

hard_state State(uint64_t term) { return {7, 9, term, 0, {}}; }

log_record Record(uint64_t index, uint64_t term) {
  log_record record;
  record.index = index;
  record.term = term;
  record.kind = record_kind::kCommand;
  record.data = absl::StrCat("record ", index, " of term ", term);
  return record;
}

log_snapshot Snapshot(uint64_t index, uint64_t term) {
  log_snapshot snapshot;
  snapshot.index = index;
  snapshot.term = term;
  snapshot.data = std::make_shared<const std::string>(absl::StrCat("state at ", index));
  return snapshot;
}

template <class Operation>
absl::optional<error_kind> Run(Operation&& operation) {
  const outcome<int> done = Capture<int>([&]() -> result<int> {
    BOOST_LEAF_CHECK(operation());
    return 0;
  });
  if (done.index() == 0) return absl::nullopt;
  return std::get<1>(done).kind;
}

/// Describes what a journal returns after a restart.
std::string Reload(file_system& files, const std::string& folder = "data") {
  file_journal journal(files, folder);
  const outcome<stored_log> loaded = Capture<stored_log>([&] { return journal.Load(); });
  if (const error* failure = std::get_if<error>(&loaded)) {
    return absl::StrCat(AnswerFor(failure->kind).name);
  }
  const auto& stored = std::get<stored_log>(loaded);
  std::string text = absl::StrCat("term ", stored.state.term);
  if (stored.snapshot) absl::StrAppend(&text, ", ", *stored.snapshot->data);
  for (const log_record& record : stored.records) {
    absl::StrAppend(&text, ", ", record.index, "/", record.term);
  }
  return text;
}

using step = result<void> (*)(file_journal&);

const std::vector<step> kSteps = {
    [](file_journal& journal) {
      const hard_state state = State(1);
      return journal.Append(&state, {});
    },
    [](file_journal& journal) { return journal.Checkpoint(Snapshot(1, 1), State(1), {}); },
    [](file_journal& journal) {
      return journal.Append(nullptr, {Record(2, 1), Record(3, 1), Record(4, 1)});
    },
    [](file_journal& journal) {
      const hard_state state = State(2);
      return journal.Append(&state, {Record(3, 2)});
    },
    [](file_journal& journal) {
      return journal.Checkpoint(Snapshot(2, 1), State(2), {Record(3, 2)});
    },
    [](file_journal& journal) { return journal.Append(nullptr, {Record(4, 2)}); },
    // A snapshot from a leader whose log has taken another course.
    [](file_journal& journal) { return journal.Checkpoint(Snapshot(9, 3), State(3), {}); },
    [](file_journal& journal) { return journal.Append(nullptr, {Record(10, 3)}); },
};

const std::vector<std::string> kStates = {
    "term 0",
    "term 1",
    "term 1, state at 1",
    "term 1, state at 1, 2/1, 3/1, 4/1",
    "term 2, state at 1, 2/1, 3/2",
    "term 2, state at 2, 3/2",
    "term 2, state at 2, 3/2, 4/2",
    "term 3, state at 9",
    "term 3, state at 9, 10/3",
};

void WriteSixSteps(memory_file_system& files) {
  file_journal journal(files, "data");
  REQUIRE_FALSE(Run([&] { return journal.Load(); }));
  for (size_t i = 0; i < 6; ++i) REQUIRE_FALSE(Run([&] { return kSteps[i](journal); }));
}

}  // namespace

// Guards against a state after a crash that is neither the one before nor the one after the
// interrupted step, and against a step that succeeds after a failure.
TEST_CASE("a crash at any disk operation leaves the old or the new state") {
  for (uint64_t operations = 0; operations < 80; ++operations) {
    for (int variant = 0; variant < 60; ++variant) {
      memory_file_system files(operations * 100 + static_cast<uint64_t>(variant));
      size_t done = 0;
      {
        file_journal journal(files, "data");
        REQUIRE_FALSE(Run([&] { return journal.Load(); }));
        files.FailAfter(operations, static_cast<disk_fault>(variant % 3));
        while (done < kSteps.size() && !Run([&] { return kSteps[done](journal); })) ++done;
        if (done < kSteps.size()) {
          files.ClearFaults();
          CHECK(Run([&] { return kSteps[done](journal); }) == error_kind::kStorageFailed);
        }
      }
      files.Crash();
      const std::string loaded = Reload(files);
      INFO("operations " << operations << ", variant " << variant << ", loaded " << loaded);
      const size_t next = std::min(done + 1, kSteps.size());
      // The terms of a snapshot and of its segment become durable one after the other.
      const std::string between = done == 6 ? "term 2, state at 9" : kStates[next];
      CHECK((loaded == kStates[done] || loaded == kStates[next] || loaded == between));
      CHECK(Reload(files) == loaded);
    }
  }
}

// Guards against damage that is taken for a torn write, after which an acknowledged record or a
// vote would be forgotten.
TEST_CASE("every flipped bit is found") {
  for (uint64_t seed = 0; seed < 2000; ++seed) {
    memory_file_system files(seed);
    WriteSixSteps(files);
    if (seed == 0) REQUIRE(Reload(files) == kStates[6]);
    files.FlipBit();
    CHECK(Reload(files) == "storage-corrupt");
  }
}

// Guards against a member that starts anew after a part of its files was removed.
TEST_CASE("a missing file is damage") {
  for (const char* missing : {"data/segment-3", "data/snapshot-2"}) {
    memory_file_system files(1);
    WriteSixSteps(files);
    REQUIRE_FALSE(Run([&] { return files.Remove(missing); }));
    CHECK(Reload(files) == "storage-corrupt");
  }
}

// Guards against more than one sync for a batch, which would limit the rate of commits.
TEST_CASE("a batch needs one sync") {
  memory_file_system files(1);
  file_journal journal(files, "data");
  REQUIRE_FALSE(Run([&] { return journal.Load(); }));
  for (size_t i = 0; i < 2; ++i) REQUIRE_FALSE(Run([&] { return kSteps[i](journal); }));
  const uint64_t before = files.SyncCount();
  REQUIRE_FALSE(Run([&] { return kSteps[2](journal); }));
  CHECK(files.SyncCount() == before + 1);
}

// Guards against two processes that use one identity, and against differences between the files of
// the operating system and the ones in memory.
TEST_CASE("the journal works on real files and locks them") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / absl::StrCat("control-journal-test-", getpid());
  posix_file_system files;
  {
    file_journal journal(files, folder);
    REQUIRE_FALSE(Run([&] { return journal.Load(); }));
    for (const step& next : kSteps) REQUIRE_FALSE(Run([&] { return next(journal); }));
    CHECK(Reload(files, folder) == "storage-failed");
  }
  CHECK(Reload(files, folder) == kStates.back());
  std::filesystem::resize_file(folder / "segment-4",
                               std::filesystem::file_size(folder / "segment-4") - 1);
  CHECK(Reload(files, folder) == kStates[kStates.size() - 2]);
  std::filesystem::remove_all(folder);
}

}  // namespace teaseljunction

#pragma once

#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "control/journal.h"
#include "control/tests/mocks/memory_file_system.h"

namespace teaseljunction {

// Id of the member whose journal the steps write.
inline uint64_t member_of_steps = 7;

inline hard_state MakeState(uint64_t term) { return {member_of_steps, 9, term, 0, {}}; }

inline log_record MakeRecord(uint64_t index, uint64_t term) {
  log_record record;
  record.index = index;
  record.term = term;
  record.kind = record_kind::kCommand;
  record.data = absl::StrCat("record ", index, " of term ", term);
  return record;
}

inline log_snapshot MakeSnapshot(uint64_t index, uint64_t term) {
  log_snapshot snapshot;
  snapshot.index = index;
  snapshot.term = term;
  snapshot.data = std::make_shared<const std::string>(absl::StrCat("state at ", index));
  return snapshot;
}

template <class Operation>
absl::optional<error_kind> ErrorOf(Operation&& operation) {
  const outcome<int> done = Capture<int>([&]() -> result<int> {
    BOOST_LEAF_CHECK(operation());
    return 0;
  });
  if (done.index() == 0) return absl::nullopt;
  return std::get<1>(done).kind;
}

/// Loads the journal as after a restart and describes the result.
inline std::string LoadAndDescribe(file_system& files, const std::string& directory = "data") {
  file_journal journal(files, directory);
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

/// A step that writes to a journal.
using journal_step = result<void> (*)(file_journal&);

inline const std::vector<journal_step> kJournalSteps = {
    [](file_journal& journal) {
      const hard_state state = MakeState(1);
      return journal.Append(&state, {});
    },
    [](file_journal& journal) { return journal.Checkpoint(MakeSnapshot(1, 1), MakeState(1), {}); },
    [](file_journal& journal) {
      return journal.Append(nullptr, {MakeRecord(2, 1), MakeRecord(3, 1), MakeRecord(4, 1)});
    },
    [](file_journal& journal) {
      const hard_state state = MakeState(2);
      return journal.Append(&state, {MakeRecord(3, 2)});
    },
    [](file_journal& journal) {
      return journal.Checkpoint(MakeSnapshot(2, 1), MakeState(2), {MakeRecord(3, 2)});
    },
    [](file_journal& journal) { return journal.Append(nullptr, {MakeRecord(4, 2)}); },
    // A snapshot from a leader whose log has diverged.
    [](file_journal& journal) { return journal.Checkpoint(MakeSnapshot(9, 3), MakeState(3), {}); },
    [](file_journal& journal) { return journal.Append(nullptr, {MakeRecord(10, 3)}); },
};

/// The result of `LoadAndDescribe` after each number of steps.
inline const std::vector<std::string> kExpectedStates = {
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

/// Runs the steps that leave two records in the third segment.
inline void RunFirstSixSteps(memory_file_system& files, uint64_t member_id = 7) {
  file_journal journal(files, "data");
  REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
  member_of_steps = member_id;
  for (size_t i = 0; i < 6; ++i) REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[i](journal); }));
  member_of_steps = 7;
}

}  // namespace teaseljunction

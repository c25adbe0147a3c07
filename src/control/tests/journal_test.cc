#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "control/internal/frame.h"
#include "control/tests/mocks/journal_steps.h"

namespace teaseljunction {
namespace {

disk_fault FaultOf(int variant) {
  return static_cast<disk_fault>(static_cast<uint64_t>(variant) % kDiskFaults);
}

// Exceeds the number of disk operations of all steps.
constexpr uint64_t kMaxOperations = 240;

/// Limits the size of the files that this process may write.
class file_size_limit {
 public:
  explicit file_size_limit(uint64_t bytes) {
    previous_handler_ = std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &previous_);
    const rlimit limit = {bytes, previous_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~file_size_limit() {
    setrlimit(RLIMIT_FSIZE, &previous_);
    std::signal(SIGXFSZ, previous_handler_);
  }

 private:
  void (*previous_handler_)(int) = nullptr;
  rlimit previous_ = {};
};

}  // namespace

// Guards against a crash that leaves a state other than the one before or the one after the
// interrupted step.
TEST_CASE("a crash at any disk operation leaves the old or the new state") {
  for (uint64_t operations = 0; operations < kMaxOperations; ++operations) {
    for (int variant = 0; variant < 60; ++variant) {
      memory_file_system files(operations * 100 + static_cast<uint64_t>(variant));
      size_t done = 0;
      {
        file_journal journal(files, "data");
        REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
        files.FailAfter(operations, FaultOf(variant));
        while (done < kJournalSteps.size() &&
               !ErrorOf([&] { return kJournalSteps[done](journal); }))
          ++done;
      }
      files.Crash();
      const std::string loaded = LoadAndDescribe(files);
      INFO("operations " << operations << ", variant " << variant << ", loaded " << loaded);
      const size_t next = std::min(done + 1, kJournalSteps.size());
      // A snapshot becomes durable before the segment with its term.
      const std::string between = done == 6 ? "term 2, state at 9" : kExpectedStates[next];
      CHECK((loaded == kExpectedStates[done] || loaded == kExpectedStates[next] ||
             loaded == between));
      CHECK(LoadAndDescribe(files) == loaded);
    }
  }
}

// Guards against a log with a gap, when the member goes on after a crash within a checkpoint.
TEST_CASE("a journal goes on after a crash at any disk operation") {
  for (uint64_t operations = 0; operations < kMaxOperations; ++operations) {
    for (int variant = 0; variant < 30; ++variant) {
      memory_file_system files(operations * 100 + static_cast<uint64_t>(variant));
      size_t done = 0;
      {
        file_journal journal(files, "data");
        REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
        files.FailAfter(operations, FaultOf(variant));
        while (done < kJournalSteps.size() &&
               !ErrorOf([&] { return kJournalSteps[done](journal); }))
          ++done;
      }
      files.Crash();
      // The snapshot of the interrupted checkpoint may be durable.
      const bool installed = absl::StrContains(LoadAndDescribe(files), "state at 9");
      INFO("operations " << operations << ", variant " << variant << ", steps " << done);
      {
        file_journal journal(files, "data");
        REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
        const hard_state state = MakeState(3);
        if (installed) REQUIRE_FALSE(ErrorOf([&] { return journal.Append(&state, {}); }));
        for (size_t i = installed ? 7 : done; i < kJournalSteps.size(); ++i) {
          REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[i](journal); }));
        }
      }
      CHECK(LoadAndDescribe(*files.DurableCopy()) == kExpectedStates.back());
    }
  }
}

// Guards against a refused write that can't be repeated, against a repeated one that loses or
// doubles data, and against a sync that is trusted after an earlier one has lost the data.
TEST_CASE("a step that the disk refuses for a while succeeds when it is repeated") {
  for (uint64_t operations = 0; operations < kMaxOperations; ++operations) {
    for (int variant = 0; variant < 50; ++variant) {
      const uint64_t faults = 1 + static_cast<uint64_t>(variant) / kDiskFaults;
      INFO("operations " << operations << ", variant " << variant);
      memory_file_system files(operations * 100 + static_cast<uint64_t>(variant));
      {
        file_journal journal(files, "data");
        REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
        files.FailAfter(operations, FaultOf(variant), faults);
        for (size_t done = 0; done < kJournalSteps.size(); ++done) {
          uint64_t refused = 0;
          while (const auto kind = ErrorOf([&] { return kJournalSteps[done](journal); })) {
            REQUIRE(kind == error_kind::kStorageFailed);
            REQUIRE(++refused <= faults);
          }
          REQUIRE(LoadAndDescribe(*files.DurableCopy()) == kExpectedStates[done + 1]);
        }
      }
      files.Crash();
      CHECK(LoadAndDescribe(files) == kExpectedStates.back());
    }
  }
}

// Guards against records and votes that are relied on after the process was killed before their
// sync, and that a later power loss removes.
TEST_CASE("a journal loads while the disk is full, and its next write makes that durable") {
  for (uint64_t operations = 0; operations < kMaxOperations; ++operations) {
    for (int variant = 0; variant < 10; ++variant) {
      memory_file_system files(operations * 100 + static_cast<uint64_t>(variant));
      {
        file_journal journal(files, "data");
        REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
        // The process is killed before or within the operation.
        files.FailAfter(operations, variant % 2 == 0 ? disk_fault::kBeforeOperation
                                                     : disk_fault::kPartialWrite);
        for (const journal_step& next : kJournalSteps) {
          if (ErrorOf([&] { return next(journal); })) break;
        }
      }
      files.FailAfter(0, disk_fault::kFull);
      const std::string loaded = LoadAndDescribe(files);
      INFO("operations " << operations << ", variant " << variant << ", loaded " << loaded);
      file_journal journal(files, "data");
      REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
      const hard_state state = MakeState(4);
      const absl::string_view term = "term 4";
      CHECK(ErrorOf([&] { return journal.Append(&state, {}); }) == error_kind::kStorageFailed);
      files.ClearFaults();
      REQUIRE_FALSE(ErrorOf([&] { return journal.Append(&state, {}); }));
      const std::string durable = LoadAndDescribe(*files.DurableCopy());
      CHECK(durable == absl::StrCat(term, loaded.substr(term.size())));
    }
  }
}

// Guards against a snapshot that is given up and leaves a log that loses later records.
TEST_CASE("appends go on after a refused snapshot of the applied state") {
  for (uint64_t operations = 0; operations < 20; ++operations) {
    for (int variant = 0; variant < 50; ++variant) {
      memory_file_system files(operations * 100 + static_cast<uint64_t>(variant));
      {
        file_journal journal(files, "data");
        REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
        for (size_t i = 0; i < 4; ++i) {
          REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[i](journal); }));
        }
        files.FailAfter(operations, FaultOf(variant), 1 + static_cast<uint64_t>(variant) / 8);
        ErrorOf([&] { return kJournalSteps[4](journal); });
        files.ClearFaults();
        REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[5](journal); }));
      }
      files.Crash();
      const std::string loaded = LoadAndDescribe(files);
      INFO("operations " << operations << ", variant " << variant << ", loaded " << loaded);
      CHECK((loaded == kExpectedStates[6] || loaded == "term 2, state at 1, 2/1, 3/2, 4/2"));
      CHECK(LoadAndDescribe(files) == loaded);
    }
  }
}

// Guards against a segment without a base frame, whose log has a gap when a later checkpoint has
// removed the segments before it.
TEST_CASE("a checkpoint after an interrupted one leaves a log that loads") {
  for (uint64_t first = 0; first < 20; ++first) {
    for (uint64_t second = 0; second < 24; ++second) {
      for (int variant = 0; variant < 30; ++variant) {
        // A refused checkpoint, or the end of the process or of the host within it.
        const int interruption = variant % 3;
        INFO("first " << first << ", second " << second << ", variant " << variant);
        memory_file_system files(first * 10000 + second * 100 + static_cast<uint64_t>(variant));
        auto journal = std::make_unique<file_journal>(files, "data");
        const auto restart = [&](bool power_loss) {
          journal.reset();
          files.ClearFaults();
          if (power_loss || files.HasLostData()) files.Crash();
          journal = std::make_unique<file_journal>(files, "data");
          return ErrorOf([&] { return journal->Load(); });
        };
        REQUIRE_FALSE(ErrorOf([&] { return journal->Load(); }));
        for (size_t i = 0; i < 4; ++i) {
          REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[i](*journal); }));
        }
        files.FailAfter(first, FaultOf(variant / 3));
        ErrorOf([&] { return kJournalSteps[4](*journal); });
        files.ClearFaults();
        if (interruption > 0) REQUIRE_FALSE(restart(interruption == 2));
        REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[5](*journal); }));
        files.FailAfter(second, FaultOf(variant / 6));
        ErrorOf([&] {
          return journal->Checkpoint(MakeSnapshot(3, 2), MakeState(2), {MakeRecord(4, 2)});
        });
        REQUIRE_FALSE(restart(variant % 2 == 0));
        const std::string loaded = LoadAndDescribe(*files.DurableCopy());
        CHECK((loaded == "term 2, state at 3, 4/2" || loaded == kExpectedStates[6] ||
               loaded == "term 2, state at 1, 2/1, 3/2, 4/2"));
        REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[6](*journal); }));
        CHECK(LoadAndDescribe(*files.DurableCopy()) == "term 3, state at 9");
      }
    }
  }
}

// Guards against damage that is mistaken for an incomplete write, which would lose an acknowledged
// record or a vote.
TEST_CASE("every flipped bit is detected") {
  for (uint64_t seed = 0; seed < 2000; ++seed) {
    memory_file_system files(seed);
    RunFirstSixSteps(files);
    if (seed == 0) REQUIRE(LoadAndDescribe(files) == kExpectedStates[6]);
    // An unsynced mark may be torn. Nothing is lost with it.
    const bool synced = files.FlipBit();
    CHECK(LoadAndDescribe(files) == (synced ? "storage-corrupt" : kExpectedStates[6]));
  }
}

// Guards against a member that starts as a new one after some of its files were removed.
TEST_CASE("a missing file is detected as damage") {
  for (const char* missing : {"data/segment-3", "data/snapshot-2"}) {
    memory_file_system files(1);
    RunFirstSixSteps(files);
    REQUIRE_FALSE(ErrorOf([&] { return files.Remove(missing); }));
    CHECK(LoadAndDescribe(files) == "storage-corrupt");
  }
}

// Guards against tests that end before the operations that they are to interrupt.
TEST_CASE("the interrupted operations include the last one of all steps") {
  for (uint64_t seed = 0; seed < 200; ++seed) {
    memory_file_system files(seed);
    file_journal journal(files, "data");
    REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
    for (const journal_step& next : kJournalSteps) {
      REQUIRE_FALSE(ErrorOf([&] { return next(journal); }));
    }
    CHECK(files.OperationCount() <= kMaxOperations);
  }
}

// Guards against more than one sync per batch, which would limit the commit rate.
TEST_CASE("a batch needs one sync") {
  memory_file_system files(1);
  file_journal journal(files, "data");
  REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
  for (size_t i = 0; i < 2; ++i) REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[i](journal); }));
  const uint64_t before = files.SyncCount();
  REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[2](journal); }));
  CHECK(files.SyncCount() == before + 1);
}

// Guards against differences between a write that the operating system refuses or carries out in
// part and the faults of the file system in memory.
TEST_CASE("steps that the real file system refuses succeed when they are repeated") {
  const std::filesystem::path directory =
      std::filesystem::temp_directory_path() / absl::StrCat("control-journal-limit-", getpid());
  posix_file_system files;
  {
    file_journal journal(files, directory);
    REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
    for (const journal_step& next : kJournalSteps) {
      for (const uint64_t bytes : {0, 10, 150, 300}) {
        const file_size_limit limit(bytes);
        const absl::optional<error_kind> failure = ErrorOf([&] { return next(journal); });
        if (failure || bytes <= 10) CHECK(failure == error_kind::kStorageFailed);
      }
      REQUIRE_FALSE(ErrorOf([&] { return next(journal); }));
    }
  }
  CHECK(LoadAndDescribe(files, directory) == kExpectedStates.back());
  std::filesystem::remove_all(directory);
}

// Guards against two processes that use the same member id, and against differences between the
// file system of the operating system and the one in memory.
TEST_CASE("the journal works on the real file system and locks its directory") {
  const std::filesystem::path directory =
      std::filesystem::temp_directory_path() / absl::StrCat("control-journal-test-", getpid());
  posix_file_system files;
  {
    file_journal journal(files, directory);
    REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
    for (const journal_step& next : kJournalSteps) {
      REQUIRE_FALSE(ErrorOf([&] { return next(journal); }));
    }
    CHECK(LoadAndDescribe(files, directory) == "storage-failed");
  }
  CHECK(LoadAndDescribe(files, directory) == kExpectedStates.back());
  // Removes the mark of the last sync, and the last byte that this sync covers.
  const size_t mark_bytes = WrapFrame(EncodeFrame({})).size();
  std::filesystem::resize_file(
      directory / "segment-4",
      std::filesystem::file_size(directory / "segment-4") - mark_bytes - 1);
  CHECK(LoadAndDescribe(files, directory) == kExpectedStates[kExpectedStates.size() - 2]);
  std::filesystem::remove_all(directory);
}

}  // namespace teaseljunction

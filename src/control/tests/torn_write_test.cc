#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "control/internal/frame.h"
#include "control/tests/mocks/journal_steps.h"

namespace teaseljunction {
namespace {

enum class interrupted_step : uint8_t { kRefused, kDoneWithoutMark, kDone };

/// Runs `done` steps, and the next one up to its operation number `operations`.
interrupted_step RunInterrupted(memory_file_system& files, size_t done, uint64_t operations) {
  file_journal journal(files, "data");
  REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
  for (size_t i = 0; i < done; ++i) {
    REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[i](journal); }));
  }
  files.FailAfter(operations, disk_fault::kBeforeOperation);
  const bool refused = ErrorOf([&] { return kJournalSteps[done](journal); }).has_value();
  if (refused) return interrupted_step::kRefused;
  return files.HasFailed() ? interrupted_step::kDoneWithoutMark : interrupted_step::kDone;
}

/// Calls `check` with the files after a power loss, for every cut of the unsynced data and every
/// torn range that begins or ends at any byte: zeros, other bytes, and two ranges.
template <class Check>
void ForEveryTear(const memory_file_system& files, Check&& check) {
  const auto run = [&](const std::function<void(std::string&)>& tear) {
    const auto copy = files.Copy();
    copy->CrashAndTear(tear);
    check(*copy);
  };
  size_t size = 0;
  for (const std::string& path : files.Paths()) {
    size = std::max(size, files.Size(path) - files.SyncedSize(path));
  }
  for (size_t at = 0; at <= size; ++at) {
    INFO("position " << at);
    run([&](std::string& data) { data.resize(std::min(at, data.size())); });
    for (const size_t length : {size_t{1}, size_t{8}, size_t{40}, size}) {
      for (const char mask : {'\0', '\x5a'}) {
        const auto tear = [mask](std::string& data, size_t begin, size_t end) {
          for (size_t i = begin; i < std::min(end, data.size()); ++i) {
            data[i] = mask == 0 ? '\0' : static_cast<char>(data[i] ^ mask);
          }
        };
        run([&](std::string& data) { tear(data, at, at + length); });
        run([&](std::string& data) { tear(data, 0, at); });
        run([&](std::string& data) {
          tear(data, 0, at / 2);
          tear(data, at, at + length);
        });
      }
    }
  }
}

/// Requires that each torn state of the files loads as before or after the step that was
/// interrupted, and that the journal goes on from there.
void CheckEveryTear(const memory_file_system& files, size_t done) {
  // The snapshot of the last checkpoint becomes durable before the segment with its term.
  const std::string between = done == 6 ? "term 2, state at 9" : kExpectedStates[done];
  ForEveryTear(files, [&](memory_file_system& torn) {
    const std::string loaded = LoadAndDescribe(torn);
    CHECK((loaded == kExpectedStates[done] || loaded == kExpectedStates[done + 1] ||
           loaded == between));
    {
      file_journal journal(torn, "data");
      REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
      const hard_state state = MakeState(5);
      REQUIRE_FALSE(ErrorOf([&] { return journal.Append(&state, {}); }));
    }
    CHECK(absl::StartsWith(LoadAndDescribe(*torn.DurableCopy()), "term 5"));
  });
}

journal_frame MakeFrame(uint64_t term) {
  journal_frame frame;
  frame.state = MakeState(term);
  return frame;
}

/// Returns the content of a segment as releases before the marks of durable data wrote it.
std::string EarlierFrames(const std::vector<journal_frame>& frames) {
  std::string content;
  for (const journal_frame& frame : frames) content += WrapFrame(EncodeFrame(frame));
  return content;
}

/// Appends synced data to a file.
void WriteFile(memory_file_system& files, const std::string& path, absl::string_view data) {
  REQUIRE_FALSE(ErrorOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(file, files.OpenAppend(path));
    while (!data.empty()) {
      BOOST_LEAF_AUTO(written, file->Write(data));
      data.remove_prefix(written);
    }
    BOOST_LEAF_CHECK(file->Sync());
    return files.SyncDirectory("data");
  }));
}

std::string LastSegment(const memory_file_system& files) {
  std::string last;
  for (const std::string& path : files.Paths()) {
    if (absl::StrContains(path, "segment-") && files.SyncedSize(path) > 0) last = path;
  }
  return last;
}

std::string ContentOf(memory_file_system& files, const std::string& path) {
  return std::get<0>(Capture<std::string>([&] { return files.Read(path); }));
}

}  // namespace

// Guards against a member that refuses to start because its last, unsynced write is torn (review
// case 2). Every operation of every step is interrupted before it, which includes each sync.
TEST_CASE("a torn unsynced write leaves what was synced before it") {
  for (size_t done = 0; done < kJournalSteps.size(); ++done) {
    for (uint64_t operations = 0;; ++operations) {
      memory_file_system files(operations);
      if (RunInterrupted(files, done, operations) == interrupted_step::kDone) break;
      INFO("step " << done << ", operations " << operations);
      CheckEveryTear(files, done);
    }
  }
}

// Guards against synced data that is damaged and taken for a torn write, which would lose an
// acknowledged record or a vote, also with an interrupted write behind it.
TEST_CASE("damage of synced data is detected behind and before an unsynced write") {
  for (size_t done = 1; done < kJournalSteps.size(); ++done) {
    for (uint64_t operations = 0;; ++operations) {
      memory_file_system files(operations);
      const interrupted_step step = RunInterrupted(files, done, operations);
      if (step == interrupted_step::kDone) break;
      // The frame of this step was synced, but nothing tells it from a torn write.
      if (step == interrupted_step::kDoneWithoutMark) continue;
      INFO("step " << done << ", operations " << operations);
      const std::string path = LastSegment(files);
      for (size_t offset = 0; offset < files.SyncedSize(path); ++offset) {
        const auto copy = files.Copy();
        copy->FlipBits(path, offset, static_cast<char>(1 << (offset % 8)));
        const std::string loaded = LoadAndDescribe(*copy);
        INFO("offset " << offset);
        CHECK(loaded == "storage-corrupt");
      }
    }
  }
}

// Guards against damage that is undetected once a power loss has removed the mark of the last sync.
// That sync proves all data before it.
TEST_CASE("damage of data before the last sync is detected after a power loss") {
  for (const size_t done : {2, 3, 5, 7}) {
    memory_file_system files(done);
    size_t before = 0;
    std::string path;
    {
      file_journal journal(files, "data");
      REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
      for (size_t i = 0; i <= done; ++i) {
        path = LastSegment(files);
        before = i == 0 ? 0 : files.SyncedSize(path);
        REQUIRE_FALSE(ErrorOf([&] { return kJournalSteps[i](journal); }));
      }
    }
    files.CrashAndTear([](std::string& unsynced) { unsynced.clear(); });
    REQUIRE(LoadAndDescribe(files) == kExpectedStates[done + 1]);
    for (size_t offset = 0; offset < files.Size(path); ++offset) {
      const auto copy = files.Copy();
      copy->FlipBits(path, offset, 1);
      const std::string loaded = LoadAndDescribe(*copy);
      INFO("step " << done << ", offset " << offset << ", synced before " << before);
      CHECK((loaded == "storage-corrupt" || (offset >= before && loaded == kExpectedStates[done])));
    }
  }
}

// Guards against a frame behind the rest of a refused mark, when a checkpoint that was interrupted
// before a restart is finished first.
TEST_CASE("a refused mark of a finished checkpoint is removed") {
  for (uint64_t first = 0; first < 30; ++first) {
    for (uint64_t second = 0; second < 30; ++second) {
      memory_file_system files(first * 100 + second);
      if (RunInterrupted(files, 6, first) != interrupted_step::kRefused) break;
      files.ClearFaults();
      if (LoadAndDescribe(files) != "term 2, state at 9") break;
      file_journal journal(files, "data");
      REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
      files.FailAfter(second, disk_fault::kPartialWrite, 1);
      const hard_state state = MakeState(3);
      while (ErrorOf([&] { return journal.Append(&state, {}); })) continue;
      CHECK(LoadAndDescribe(*files.DurableCopy()) == "term 3, state at 9");
    }
  }
}

// Guards against data of an earlier release that can't be used, and against a torn first write
// behind them, where nothing marks what is durable.
TEST_CASE("journals of the earlier format are read and continued") {
  const std::string synced = EarlierFrames({MakeFrame(2), MakeFrame(3)});
  {
    memory_file_system files(1);
    WriteFile(files, "data/segment-1", synced);
    CHECK(LoadAndDescribe(files) == "term 3");
  }
  for (size_t offset = 0; offset < synced.size(); ++offset) {
    // That format cannot tell its last synced write from a torn one, so both are refused.
    memory_file_system files(1);
    WriteFile(files, "data/segment-1", synced);
    files.FlipBits("data/segment-1", offset, 4);
    CHECK(LoadAndDescribe(files) == "storage-corrupt");
  }
  for (uint64_t operations = 0;; ++operations) {
    memory_file_system files(operations);
    WriteFile(files, "data/segment-1", synced);
    file_journal journal(files, "data");
    REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
    files.FailAfter(operations, disk_fault::kBeforeOperation);
    const hard_state state = MakeState(4);
    if (!ErrorOf([&] { return journal.Append(&state, {}); })) break;
    INFO("operations " << operations);
    const std::string before = "term 3";
    ForEveryTear(files, [&](memory_file_system& torn) {
      const std::string loaded = LoadAndDescribe(torn);
      CHECK((loaded == before || loaded == "term 4"));
    });
  }
}

// Guards against a mark of another member's journal that is taken for one of this journal.
TEST_CASE("whole frames of another journal behind a torn write prove nothing") {
  memory_file_system files(1);
  memory_file_system other(2);
  RunFirstSixSteps(files);
  RunFirstSixSteps(other, 8);
  const std::string path = "data/segment-3";
  const size_t begin = other.Size(path);
  {
    file_journal journal(other, "data");
    REQUIRE_FALSE(ErrorOf([&] { return journal.Load(); }));
    REQUIRE_FALSE(ErrorOf([&] { return journal.Append(nullptr, {MakeRecord(5, 2)}); }));
  }
  std::string torn = ContentOf(other, path).substr(begin);
  std::fill(torn.begin() + 20, torn.begin() + 40, '\0');
  WriteFile(files, path, torn);
  CHECK(LoadAndDescribe(files) == kExpectedStates[6]);
}

}  // namespace teaseljunction

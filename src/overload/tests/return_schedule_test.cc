#include "overload/return_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(5);
constexpr absl::Duration kOneWay = absl::Milliseconds(8);
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

/// How clients learn when to return, and whether they obey.
enum class delay_source { kFixed, kSchedule };
enum class client_kind { kObedient, kImpatient };

struct client_counts {
  int requests = 0;
  int served = 0;
  int refused = 0;
  int refused_twice = 0;
  int attempts = 0;
  /// Requests that returned as told and were refused all the same.
  int broken_promises = 0;
};

/// One entry in front of a service of a given capacity, in virtual time. The entry admits by
/// cohort, with the cut that fits the offered requests of the last 200 ms into the capacity.
class entry_simulation {
 public:
  explicit entry_simulation(delay_source source) : source_(source) {}

  /// Adds new requests from now on, for `time`.
  void Offer(double per_second, absl::Duration time, client_kind kind) {
    const absl::Time end = now_ + time;
    for (absl::Time at = now_; at < end;) {
      at += absl::Seconds(std::exponential_distribution<>(per_second)(random_));
      const auto id = static_cast<uint64_t>(requests_.size());
      requests_.push_back({kind, at + kTimeout});
      At(at, [this, id] { Send(id); });
    }
  }

  void Run(absl::Duration time) {
    const absl::Time end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto next = events_.begin();
      now_ = next->first;
      const std::function<void()> run = std::move(next->second);
      events_.erase(next);
      run();
    }
    now_ = end;
  }

  void SetCapacity(double per_second) { capacity_ = per_second; }
  void Restart() { schedule_ = return_schedule(); }

  client_counts CountsOf(client_kind kind) const {
    client_counts counts;
    for (const request& sent : requests_) {
      if (sent.kind != kind) continue;
      ++counts.requests;
      counts.served += sent.served ? 1 : 0;
      counts.refused += sent.refusals >= 1 ? 1 : 0;
      counts.refused_twice += sent.refusals >= 2 ? 1 : 0;
      counts.broken_promises += sent.promise_broken ? 1 : 0;
      counts.attempts += sent.refusals + (sent.served ? 1 : 0);
    }
    return counts;
  }

  /// Largest number of admitted requests within 100 ms.
  int AdmittedPeak() const {
    int peak = 0;
    for (const auto& [index, count] : admitted_per_window_) peak = std::max(peak, count);
    return peak;
  }

 private:
  struct request {
    client_kind kind;
    absl::Time deadline;
    int refusals = 0;
    bool served = false;
    bool promise_broken = false;
  };
  struct offer {
    absl::Time at;
    bool redeemed;
  };

  void At(absl::Time when, std::function<void()> run) { events_.emplace(when, std::move(run)); }

  void Send(uint64_t id) {
    At(now_ + kOneWay, [this, id] { Arrive(id); });
  }

  bool Admits(bool redeemed) {
    while (!offers_.empty() && now_ - offers_.front().at > absl::Milliseconds(200)) {
      offers_.pop_front();
    }
    offers_.push_back({now_, redeemed});
    double first = 0;
    for (const offer& made : offers_) first += made.redeemed ? 1 : 0;
    const double room = capacity_ * 0.2 - first;
    if (redeemed) return room >= 0;
    const double fraction = room / std::max(1.0, static_cast<double>(offers_.size()) - first);
    return std::uniform_real_distribution<>()(random_) < fraction;
  }

  void Arrive(uint64_t id) {
    request& arrived = requests_[id];
    const std::string fingerprint = absl::StrCat(id);
    return_decision decision;
    if (source_ == delay_source::kSchedule) {
      decision = schedule_.Redeem(fingerprint, arrived.deadline, now_);
    }
    if (decision.state == return_state::kEarly) return Refuse(id, decision.remaining);
    if (Admits(decision.state == return_state::kRedeemed)) {
      schedule_.RecordAdmitted(request_priority::kNormal, now_);
      ++admitted_per_window_[absl::ToInt64Milliseconds(now_ - kStart) / 100];
      arrived.served = true;
      return;
    }
    arrived.promise_broken |= decision.state == return_state::kRedeemed;
    const absl::Duration fixed =
        absl::Milliseconds(500) * (1 + std::uniform_real_distribution<>()(random_));
    if (source_ == delay_source::kFixed) return Refuse(id, fixed);
    Refuse(id, schedule_
                   .Schedule({fingerprint, request_priority::kNormal, absl::Milliseconds(100),
                              arrived.deadline - now_},
                             now_)
                   .delay);
  }

  // The client waits as told, for a third of its time left at most. An impatient one waits 20 ms.
  void Refuse(uint64_t id, absl::Duration delay) {
    request& refused = requests_[id];
    ++refused.refusals;
    const absl::Time received = now_ + kOneWay;
    if (refused.kind == client_kind::kImpatient) delay = absl::Milliseconds(20);
    delay = std::min(delay, (refused.deadline - received) / 3);
    if (refused.deadline - received < absl::Milliseconds(100)) return;
    At(received + delay, [this, id] { Send(id); });
  }

  const delay_source source_;
  std::mt19937_64 random_{11};
  absl::Time now_ = kStart;
  double capacity_ = 200;
  return_schedule schedule_;
  std::vector<request> requests_;
  std::deque<offer> offers_;
  std::map<int64_t, int> admitted_per_window_;
  std::multimap<absl::Time, std::function<void()>> events_;
};

client_counts CountsInBurst(delay_source source) {
  entry_simulation simulation(source);
  simulation.Offer(160, absl::Seconds(2), client_kind::kObedient);
  simulation.Run(absl::Seconds(2));
  simulation.Offer(300, absl::Seconds(3), client_kind::kObedient);
  simulation.Run(absl::Seconds(3));
  simulation.Offer(160, absl::Seconds(5), client_kind::kObedient);
  simulation.Run(absl::Seconds(15));
  return simulation.CountsOf(client_kind::kObedient);
}

/// A schedule whose entry has admitted 100 requests of normal priority in the last second.
struct schedule_fixture {
  explicit schedule_fixture(size_t max_entries = 8192) : schedule(max_entries) {
    for (int i = 0; i < 100; ++i, now += absl::Milliseconds(10)) {
      schedule.RecordAdmitted(request_priority::kNormal, now);
    }
  }
  return_delay Refuse(absl::string_view fingerprint, absl::Time deadline) {
    return schedule.Schedule(
        {fingerprint, request_priority::kNormal, absl::Milliseconds(100), deadline - now}, now);
  }
  return_delay Refuse(absl::string_view fingerprint) { return Refuse(fingerprint, now + kTimeout); }
  return_state Arrive(absl::string_view fingerprint,
                      absl::optional<absl::Time> deadline = absl::nullopt) {
    return schedule.Redeem(fingerprint, deadline, now).state;
  }

  absl::Time now = kStart;
  return_schedule schedule;
};

}  // namespace

// Guards against refusing callers again that return as told, which a fixed delay does in a burst.
TEST_CASE("a burst refuses few callers twice") {
  const client_counts fixed = CountsInBurst(delay_source::kFixed);
  const client_counts scheduled = CountsInBurst(delay_source::kSchedule);
  INFO("fixed: " << fixed.refused << " refused, " << fixed.refused_twice
                 << " twice; scheduled: " << scheduled.refused << ", " << scheduled.refused_twice);
  CHECK(scheduled.refused_twice * 3 < fixed.refused_twice);
  CHECK(scheduled.attempts <= fixed.attempts);
  CHECK(scheduled.served >= scheduled.requests * 0.995);
  CHECK(scheduled.broken_promises == 0);
}

// Guards against promises that a service can't keep when its capacity falls after they were made.
TEST_CASE("promises are kept when the capacity falls by a third") {
  entry_simulation simulation(delay_source::kSchedule);
  simulation.Offer(300, absl::Seconds(6), client_kind::kObedient);
  simulation.Run(absl::Seconds(3));
  simulation.SetCapacity(134);
  simulation.Run(absl::Seconds(10));
  const client_counts counts = simulation.CountsOf(client_kind::kObedient);
  CHECK(counts.refused > 500);
  CHECK(counts.broken_promises < counts.refused / 100);
}

// Guards against rewarding clients that ignore Retry-After with more draws of the cohort.
TEST_CASE("clients that return early and often gain nothing") {
  entry_simulation simulation(delay_source::kSchedule);
  simulation.Offer(300, absl::Seconds(20), client_kind::kObedient);
  simulation.Offer(50, absl::Seconds(20), client_kind::kImpatient);
  simulation.Run(absl::Seconds(30));
  const client_counts obedient = simulation.CountsOf(client_kind::kObedient);
  const client_counts impatient = simulation.CountsOf(client_kind::kImpatient);
  const auto share = [](const client_counts& counts) {
    return static_cast<double>(counts.served) / counts.requests;
  };
  INFO("served: " << share(obedient) << " obedient, " << share(impatient) << " impatient");
  CHECK(impatient.attempts > 10 * impatient.requests);
  CHECK(share(impatient) <= share(obedient) + 0.02);
}

// Guards against a flood of admitted requests, or lost ones, after the entry has lost its promises.
TEST_CASE("after a restart returning requests count as new") {
  entry_simulation simulation(delay_source::kSchedule);
  simulation.Offer(300, absl::Seconds(4), client_kind::kObedient);
  simulation.Run(absl::Seconds(2));
  simulation.Restart();
  simulation.Run(absl::Seconds(15));
  const client_counts counts = simulation.CountsOf(client_kind::kObedient);
  CHECK(counts.served >= counts.requests * 0.995);
  CHECK(simulation.AdmittedPeak() <= 40);
}

// Guards against promising more than half of the admitted flow, against a crowd at the start of a
// window, and against promises that callers can't wait for.
TEST_CASE("promises are spread and bounded by the admitted flow") {
  schedule_fixture fixture;
  std::map<int64_t, int> per_window;
  std::map<int64_t, int> per_millisecond;
  int promised = 0;
  for (int i = 0; i < 1000; ++i) {
    const return_delay told = fixture.Refuse(absl::StrCat(i));
    if (!told.promised) {
      CHECK(told.delay > kTimeout / 3);
      continue;
    }
    ++promised;
    CHECK(told.delay >= absl::Milliseconds(100));
    CHECK(told.delay < kTimeout / 3);
    const int64_t due = absl::ToInt64Milliseconds(fixture.now + told.delay - absl::UnixEpoch());
    ++per_window[due / 100];
    ++per_millisecond[due];
  }
  CHECK(promised >= 60);
  for (const auto& [window, count] : per_window) CHECK(count <= 5);
  for (const auto& [millisecond, count] : per_millisecond) CHECK(count == 1);
}

// Guards against promising whole requests per window where only a fraction of one is admitted.
TEST_CASE("a small flow is promised to few requests") {
  return_schedule schedule;
  absl::Time now = kStart;
  for (int i = 0; i < 10; ++i, now += absl::Milliseconds(200)) {
    schedule.RecordAdmitted(request_priority::kNormal, now);
  }
  int promised = 0;
  for (int i = 0; i < 200; ++i, now += absl::Milliseconds(1)) {
    promised += schedule.Schedule({absl::StrCat(i), request_priority::kNormal,
                                   absl::Milliseconds(100), kTimeout},
                                  now)
                        .promised
                    ? 1
                    : 0;
    CHECK_FALSE(
        schedule
            .Schedule({absl::StrCat(i), request_priority::kLow, absl::Milliseconds(100), kTimeout},
                      now)
            .promised);
  }
  CHECK(promised >= 2);
  CHECK(promised <= 5);
}

// Guards against promises that expire before the delay is over that the caller was told.
TEST_CASE("promises hold for delays in whole seconds") {
  schedule_fixture fixture;
  std::vector<std::pair<absl::Time, std::string>> due;
  for (int i = 0; i < 20; ++i, fixture.now += absl::Milliseconds(50)) {
    const return_delay told =
        fixture.schedule.Schedule({absl::StrCat(i), request_priority::kNormal,
                                   absl::Milliseconds(100), kTimeout, absl::Seconds(1)},
                                  fixture.now);
    CHECK(absl::Floor(told.delay, absl::Seconds(1)) == told.delay);
    if (told.promised) due.emplace_back(fixture.now + told.delay, absl::StrCat(i));
  }
  CHECK(due.size() >= 15);
  // The first one returns 300 ms early, and is told to wait for a whole second.
  fixture.now = due[0].first - absl::Milliseconds(300);
  CHECK(fixture.Arrive(due[0].second) == return_state::kEarly);
  for (const auto& [when, fingerprint] : due) {
    const bool was_early = fingerprint == due[0].second;
    fixture.now = when + 2 * kOneWay + absl::Milliseconds(was_early ? 700 : 0);
    CHECK(fixture.Arrive(fingerprint) == return_state::kRedeemed);
  }
}

// Guards against two admissions by one promise, and against promises without end.
TEST_CASE("a promise is redeemed once, at its time") {
  schedule_fixture fixture;
  const absl::Time deadline = fixture.now + kTimeout;
  const absl::Duration delay = fixture.Refuse("a", deadline).delay;
  fixture.now += delay - absl::Milliseconds(50);
  const return_decision early = fixture.schedule.Redeem("a", deadline, fixture.now);
  CHECK(early.state == return_state::kEarly);
  CHECK(early.remaining == absl::Milliseconds(50));
  fixture.now += early.remaining + 2 * kOneWay;
  CHECK(fixture.Arrive("a", deadline) == return_state::kRedeemed);
  CHECK(fixture.Arrive("a", deadline) == return_state::kNew);
  fixture.now += fixture.Refuse("b").delay + absl::Milliseconds(300);
  CHECK(fixture.Arrive("b") == return_state::kNew);
  const return_counts counts = fixture.schedule.TakeCounts();
  CHECK(counts.made == 2);
  CHECK(counts.redeemed == 1);
  CHECK(counts.early == 1);
  CHECK(counts.expired == 1);
}

// Guards against mistaking a new request for the return of an equal one, against using up the
// promise of another request, and against losing promises whose callers restate their time left.
TEST_CASE("equal requests are told apart by their deadlines") {
  schedule_fixture fixture;
  const absl::Time first = fixture.now + kTimeout;
  const absl::Time second = first + absl::Seconds(1);
  const absl::Time first_due = fixture.now + fixture.Refuse("a", first).delay;
  absl::Time second_due = fixture.now + fixture.Refuse("a", second).delay;
  CHECK(second_due > first_due);
  CHECK(fixture.Arrive("a", second + absl::Seconds(1)) == return_state::kNew);
  fixture.now = first_due;
  CHECK(fixture.Arrive("a", second) == return_state::kEarly);
  CHECK(fixture.Arrive("a", first) == return_state::kRedeemed);
  fixture.now = second_due;
  CHECK(fixture.Arrive("a", fixture.now + kTimeout) == return_state::kRedeemed);
  CHECK(fixture.Arrive("a", second) == return_state::kNew);
}

// Guards against refusing all equal requests of callers that state no deadline while one of them
// waits.
TEST_CASE("without deadlines a promise refuses a bounded number of equal requests") {
  schedule_fixture fixture;
  fixture.Refuse("a");
  int early = 0;
  while (early < 100 && fixture.Arrive("a") == return_state::kEarly) ++early;
  CHECK(early == 8);
}

// Guards against memory without bound, and against refusing a new promise when the table is full.
TEST_CASE("a full table evicts the promise that is due first") {
  schedule_fixture fixture(4);
  std::vector<absl::Time> due;
  for (int i = 0; i < 6; ++i) {
    due.push_back(fixture.now + fixture.Refuse(absl::StrCat(i)).delay);
    CHECK(fixture.schedule.Size() <= 4);
  }
  CHECK(fixture.schedule.TakeCounts().evicted == 2);
  fixture.now = due[0];
  CHECK(fixture.Arrive("0") == return_state::kNew);
  fixture.now = due[5];
  CHECK(fixture.Arrive("5") == return_state::kRedeemed);
}

// Guards against evicting promises for requests that have got none.
TEST_CASE("refused requests without a promise take half of the table at most") {
  schedule_fixture fixture(8);
  for (int i = 0; i < 20; ++i) {
    fixture.Refuse(absl::StrCat(i), fixture.now + absl::Milliseconds(200));
  }
  CHECK(fixture.schedule.Size() == 4);
}

// Guards against refusing returns as early, and against lost windows, after the clock was set back.
TEST_CASE("promises survive a clock that steps back") {
  schedule_fixture fixture;
  const absl::Time deadline = fixture.now + kTimeout;
  const absl::Duration delay = fixture.Refuse("a", deadline).delay;
  fixture.now += delay / 2;
  CHECK(fixture.Arrive("other") == return_state::kNew);
  const absl::Duration step = absl::Minutes(10);
  fixture.now -= step;
  CHECK(fixture.Arrive("a", deadline - step) == return_state::kEarly);
  fixture.now += delay / 2;
  CHECK(fixture.Arrive("a", deadline - step) == return_state::kRedeemed);
  CHECK(fixture.Refuse("b").promised);
}

}  // namespace teaseljunction

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
  double attempts = 0;
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

/// A schedule whose entry has admitted `per_second` requests of normal priority for a second.
struct schedule_fixture {
  explicit schedule_fixture(double per_second, size_t max_promises = 8192)
      : schedule(max_promises) {
    for (const absl::Time end = now + absl::Seconds(1); now < end;
         now += absl::Seconds(1 / per_second)) {
      schedule.RecordAdmitted(request_priority::kNormal, now);
    }
  }
  return_delay Refuse(absl::string_view fingerprint, absl::Duration time_left = kTimeout) {
    return schedule.Schedule(
        {fingerprint, request_priority::kNormal, absl::Milliseconds(100), time_left}, now);
  }
  return_decision Arrive(absl::string_view fingerprint,
                         absl::optional<absl::Time> deadline = absl::nullopt) {
    return schedule.Redeem(fingerprint, deadline, now);
  }

  absl::Time now = kStart;
  return_schedule schedule;
};

}  // namespace

// Guards against refusing callers again that return as told, which a fixed delay does in a burst.
TEST_CASE("a burst refuses few callers twice") {
  const client_counts fixed = CountsInBurst(delay_source::kFixed);
  const client_counts scheduled = CountsInBurst(delay_source::kSchedule);
  WARN("fixed: " << fixed.refused << " refused, " << fixed.refused_twice << " twice, "
                 << fixed.served << " of " << fixed.requests
                 << " served; scheduled: " << scheduled.refused << ", " << scheduled.refused_twice
                 << ", " << scheduled.served << " of " << scheduled.requests);
  CHECK(scheduled.refused_twice * 2 < fixed.refused_twice);
  CHECK(scheduled.served >= fixed.served);
}
}  // namespace teaseljunction

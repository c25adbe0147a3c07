#include <catch2/catch.hpp>
#include <cstdlib>

#include "shares/tests/mocks/fleet_simulation.h"

namespace teaseljunction {
namespace {

const account_rate kLarge = {"large", 1000, 2000};
const account_rate kMedium = {"medium", 100, 50};
const account_rate kSmall = {"small", 5, 5};
const account_rate kPair = {"pair", 3, 2.5};
const account_rate kSingle = {"single", 2, 1};
const account_rate kRare = {"rare", 0.1, 1};

// Times in seconds of the test with unreachable allocators.
constexpr double kStep = 0.005;
constexpr int kStepsPerSync = 20;
constexpr double kWindow = 5;

// Returns the seeds of a randomized test: five, or only TEASELJUNCTION_SEED to reproduce a failure.
std::vector<uint64_t> Seeds() {
  const char* seed = std::getenv("TEASELJUNCTION_SEED");
  if (seed != nullptr) return {std::strtoull(seed, nullptr, 10)};
  return {1, 2, 3, 4, 5};
}

std::string ReproduceCommand(uint64_t seed) {
  return "reproduce: TEASELJUNCTION_SEED=" + std::to_string(seed) + " build/src/shares/shares_test";
}

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(seconds); }

}  // namespace

// Guards against refusals while a failed leader is replaced, for accounts that send only a few
// requests to each of many daemons and so have no measurable rate at any of them.
TEST_CASE("an expired unused token may be used while the allocator is unreachable") {
  token_cache cache;
  cache.SetAccounts(std::vector<account_rate>{{"large", 40, 40}}, At(0));
  for (const int second : {0, 1}) {
    cache.CollectDemands(At(second));
    cache.ApplyGrants(std::vector<token_grant>{{"large", 2, absl::Seconds(0.5), {}}}, At(second),
                      At(second));
  }
  CHECK(cache.TryTake("large", At(1)));
  CHECK_FALSE(cache.TryTake("large", At(1.6)));
  CHECK_FALSE(cache.TryTakeFallback("large", At(1.6)));
  cache.OnAllocatorLost(At(1.6));
  CHECK(cache.TryTakeFallback("large", At(1.7)));
  CHECK_FALSE(cache.TryTakeFallback("large", At(1.7)));
}

// Guards against an account that exceeds its rate and burst because daemons use fallback tokens
// without the allocator: the account starts to send far more than its rate shortly before each
// loss, and the daemons find the next allocator one after the other. The bound is that of the
// deployment: 10 % and 20 requests beyond rate and burst in any five seconds.
TEST_CASE("use stays within the tolerance while allocators are replaced") {
  for (const uint64_t seed : Seeds()) {
    for (const double rate : {20.0, 300.0, 2000.0}) {
      INFO(ReproduceCommand(seed) << ", rate " << rate);
      std::mt19937_64 random(seed);
      std::uniform_real_distribution<double> uniform(0, 1);
      const std::vector<account_rate> accounts = {{"a", rate, rate, 0.1 * (rate * kWindow + rate)}};
      token_allocator allocator;
      allocator.SetAccounts(accounts, At(0));
      allocator.StartTerm(At(0));
      std::vector<token_cache> caches(20);
      std::vector<double> reconnected_at(caches.size(), 0);
      for (token_cache& cache : caches) cache.SetAccounts(accounts, At(0));
      std::vector<int> used;
      int fallback = 0;
      double available_from = 0;
      double burst_from = 0;
      for (int step = 0; step < 30 / kStep; ++step) {
        const double now = step * kStep;
        if (step % static_cast<int>(6 / kStep) == static_cast<int>(5 / kStep)) {
          available_from = now + 0.3 + 0.6 * uniform(random);
          burst_from = now - 1 + 1.5 * uniform(random);
          for (double& at : reconnected_at) at = available_from + 0.3 * uniform(random);
          allocator.EndTerm();
          for (token_cache& cache : caches) cache.OnAllocatorLost(At(now + 0.06));
        }
        if (available_from > now - kStep && available_from <= now) allocator.StartTerm(At(now));
        const double request_rate = rate * (now > burst_from && now < burst_from + 3 ? 4 : 0.6);
        int taken = 0;
        for (size_t i = 0; i < caches.size(); ++i) {
          if (step % kStepsPerSync == static_cast<int>(i) && now >= reconnected_at[i]) {
            std::vector<token_grant> grants;
            for (const token_demand& demand : caches[i].CollectDemands(At(now))) {
              grants.push_back(allocator.Grant(demand, At(now)));
            }
            caches[i].ApplyGrants(grants, At(now), At(now));
            if (now >= available_from) caches[i].OnAllocatorRestored();
          }
          double requests = request_rate * kStep / static_cast<double>(caches.size());
          while (requests > uniform(random)) {
            requests -= 1;
            if (caches[i].TryTake("a", At(now))) {
              ++taken;
            } else if (caches[i].TryTakeFallback("a", At(now))) {
              ++taken;
              ++fallback;
            }
          }
        }
        used.push_back(taken);
      }
      const auto window = static_cast<size_t>(kWindow / kStep);
      int sum = 0;
      int max_used = 0;
      for (size_t i = 0; i < used.size(); ++i) {
        sum += used[i] - (i >= window ? used[i - window] : 0);
        max_used = std::max(max_used, sum);
      }
      CHECK(max_used <= (rate * kWindow + rate) * 1.1 + 20);
      CHECK(fallback > 0);
    }
  }
}

// Guards against requests within the rate that are refused while a failed leader is replaced, and
// against an account that exceeds its rate in that time.
TEST_CASE("a daemon uses fallback tokens for a short time while the allocator is unreachable") {
  const account_rate account = {"large", 1000, 1000};
  token_allocator allocator;
  allocator.SetAccounts(std::vector<account_rate>{account}, At(0));
  allocator.StartTerm(At(0));
  token_cache cache;
  cache.SetAccounts(std::vector<account_rate>{account}, At(0));
  const double rate = 400;
  double now = 2;
  int granted = 0;
  int taken = 0;
  for (int i = 0; i < 6 * rate; ++i, now += 1 / rate) {
    if (i % 20 == 0) {
      std::vector<token_grant> grants;
      for (const token_demand& demand : cache.CollectDemands(At(now))) {
        grants.push_back(allocator.Grant(demand, At(now)));
        granted += static_cast<int>(grants.back().tokens);
      }
      cache.ApplyGrants(grants, At(now), At(now));
    }
    taken += cache.TryTake("large", At(now)) ? 1 : 0;
  }
  CHECK(taken > 0.95 * 6 * rate);
  CHECK_FALSE(cache.TryTakeFallback("large", At(now)));
  cache.OnAllocatorLost(At(now));
  const double lost = now;
  int fallback = 0;
  for (; now < lost + 1; now += 1 / rate) {
    fallback += cache.TryTakeFallback("large", At(now)) ? 1 : 0;
  }
  CHECK(fallback > 0.6 * rate);
  // The fallback rate, and granted tokens that were not used.
  CHECK(fallback <= 0.8 * rate + 1 + (granted - taken));
  // An account without earlier requests has no fallback rate.
  CHECK_FALSE(cache.TryTakeFallback("small", At(now)));
  // Another notification does not restart the fallback period.
  cache.OnAllocatorLost(At(now));
  CHECK_FALSE(cache.TryTakeFallback("large", At(lost + 1.3)));
  cache.OnAllocatorRestored();
  CHECK_FALSE(cache.TryTakeFallback("large", At(lost + 1.3)));
}

// Guards against an account that exceeds its rate and burst over all daemons together.
TEST_CASE("use stays within burst and rate under faults") {
  struct fault_case {
    const char* name;
    double loss, duplication, suspension, allocator_change, drift;
  };
  const fault_case cases[] = {{"none", 0, 0, 0, 0, 0},
                              {"lost messages", 0.3, 0, 0, 0, 0},
                              {"duplicates", 0, 0.5, 0, 0, 0},
                              {"suspended daemons", 0, 0, 0.3, 0, 0},
                              {"allocator changes", 0, 0, 0, 0.5, 0},
                              {"drifting clocks", 0, 0, 0, 0, 0.0099},
                              {"all", 0.1, 0.2, 0.1, 0.1, 0.0099}};
  for (const uint64_t seed : Seeds()) {
    for (const fault_case& faults : cases) {
      for (const account_rate& account : {kLarge, kMedium, kSmall, kPair, kSingle, kRare}) {
        std::mt19937_64 random(seed);
        simulation_settings settings;
        settings.account = account;
        settings.daemon_count = 1 + static_cast<int>(random() % 40);
        settings.demand = account.rate * (0.5 + static_cast<double>(random() % 5));
        settings.skew = 1 + static_cast<double>(random() % 10);
        settings.loss = faults.loss;
        settings.duplication = faults.duplication;
        settings.suspension = faults.suspension;
        settings.allocator_change = faults.allocator_change;
        settings.drift = faults.drift;
        fleet_simulation simulation(settings, seed);
        simulation.Run();
        INFO(ReproduceCommand(seed) << ", " << faults.name << ", " << account.client_account);
        CHECK(simulation.PeakExcess() <= account.burst + 1e-6);
      }
    }
  }
}

// Guards against a burst above the limit in the worst case: a full bucket is granted, its tokens
// are used at the end of their lifetime, and all tokens accrued since are used at the same time.
TEST_CASE("tokens of two grants used at once stay within the burst") {
  for (const account_rate& account : {kLarge, kMedium, kSmall, kPair, kSingle, kRare}) {
    token_allocator allocator;
    allocator.SetAccounts({account}, At(0));
    allocator.StartTerm(At(0));
    const token_demand all = {account.client_account, 10000, 10000, 0};
    const token_grant first = allocator.Grant(all, At(1000));
    const token_grant second = allocator.Grant(all, At(1000) + first.lifetime);
    INFO(account.client_account);
    CHECK(first.tokens >= 1);
    CHECK(first.tokens + second.tokens <= account.burst);
  }
}

// Guards against refusals of requests within the rate.
TEST_CASE("requests at 90 % of the rate are hardly ever refused") {
  for (const uint64_t seed : Seeds()) {
    for (const int daemon_count : {1, 10, 40}) {
      for (const account_rate& account : {kLarge, kMedium}) {
        fleet_simulation simulation({.account = account,
                                     .daemon_count = daemon_count,
                                     .demand = 0.9 * account.rate,
                                     .skew = 5,
                                     .seconds = 100},
                                    seed);
        simulation.Run();
        INFO(ReproduceCommand(seed)
             << ", " << account.client_account << ", daemons " << daemon_count);
        const double max_refused_fraction = account.burst < 100 ? 0.01 : 0.001;
        CHECK(simulation.Refused() <
              max_refused_fraction * (simulation.Used() + simulation.Refused()));
      }
    }
  }
}

// Guards against daemons that never get a token, and against tokens that expire unused although
// other daemons need them.
TEST_CASE("no daemon starves when demand exceeds the rate") {
  for (const uint64_t seed : Seeds()) {
    for (const account_rate& account : {kLarge, kMedium, kSmall, kSingle}) {
      fleet_simulation simulation({.account = account,
                                   .daemon_count = 20,
                                   .demand = 4 * account.rate,
                                   .skew = 20,
                                   .seconds = 200},
                                  seed);
      simulation.Run();
      INFO(ReproduceCommand(seed) << ", " << account.client_account);
      CHECK(simulation.MinUsed() > 0.2 * simulation.Used() / 39);
      CHECK(simulation.Used() > (account.burst < 2 ? 0.4 : 0.8) * 200 * account.rate);
    }
  }
}

// Guards against tokens that are used after their lifetime, or granted outside a term.
TEST_CASE("tokens are not granted outside a term or used after their lifetime") {
  token_allocator allocator;
  token_cache cache;
  allocator.SetAccounts({kMedium}, At(0));
  cache.SetAccounts({kMedium}, At(0));
  const token_demand demand = {"medium", 10, 10, 0};
  CHECK(allocator.Grant(demand, At(1)).tokens == 0);
  allocator.StartTerm(At(1));
  CHECK(allocator.Grant(demand, At(1)).tokens == 0);
  const token_grant grant = allocator.Grant(demand, At(2));
  REQUIRE(grant.tokens == 10);
  CHECK(grant.lifetime == absl::Milliseconds(247.5));

  cache.ApplyGrants({grant}, At(2), At(2.1));
  cache.ApplyGrants({grant}, At(2), At(2.1));
  int taken = 0;
  while (cache.TryTake("medium", At(2.2))) ++taken;
  CHECK(taken == 10);
  cache.ApplyGrants({grant}, At(3), At(3.1));
  CHECK(cache.TryTake("medium", At(3.2)));
  CHECK_FALSE(cache.TryTake("medium", At(3.2476)));
  cache.ApplyGrants({grant}, At(4), At(4.1));
  cache.SetAccounts({{"medium", 50, 50}}, At(4.1));
  CHECK_FALSE(cache.TryTake("medium", At(4.1)));
  CHECK_FALSE(cache.TryTake("other", At(4.1)));

  allocator.EndTerm();
  const token_grant refusal = allocator.Grant(demand, At(5));
  CHECK(refusal.tokens == 0);
  CHECK(refusal.retry_after > absl::ZeroDuration());
}

// Guards against syncs that request no token for a waiting call, and against needless early syncs.
TEST_CASE("demand follows waiting calls and observed requests") {
  token_cache cache;
  cache.SetAccounts({kMedium}, At(0));
  CHECK(cache.CollectDemands(At(0)).empty());
  CHECK_FALSE(cache.NeedsEarlySync(At(0)));
  CHECK_FALSE(cache.TryTake("medium", At(0)));
  cache.AddWaiting("medium");
  CHECK(cache.NeedsEarlySync(At(0)));
  CHECK(cache.CollectDemands(At(0)).at(0).waiting_calls == 1);
  cache.ApplyGrants({{"medium", 0, {}, absl::Milliseconds(200), true}}, At(0), At(0.01));
  CHECK(cache.RetryAfter("medium", At(0.11)) == absl::Milliseconds(100));
  CHECK_FALSE(cache.NeedsEarlySync(At(0.05)));
  CHECK(cache.NeedsEarlySync(At(0.3)));
  CHECK(cache.CollectDemands(At(0.3)).at(0).consecutive_denials == 1);
  cache.RemoveWaiting("medium");
  for (int i = 1; i <= 60; ++i) {
    cache.TryTake("medium", At(0.3 + 0.05 * i));
    if (i % 20 == 0) cache.CollectDemands(At(0.3 + 0.05 * i));
  }
  cache.ApplyGrants({{"medium", 1, absl::Seconds(1), {}, false}}, At(3.3), At(3.3));
  const uint32_t tokens = cache.CollectDemands(At(3.3)).at(0).tokens;
  CHECK(tokens >= 4);
  CHECK(tokens <= 20);
}

}  // namespace teaseljunction

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/random_source.h"
#include "gateway/control_client.h"
#include "http/http_handler.h"
#include "rpc/peer_client.h"

namespace teaseljunction {

/// Records the first response to a request and counts all of them.
class recorded_exchange : public http_exchange {
 public:
  void Respond(http_response response) override {
    ++responses;
    if (responses == 1) last = std::move(response);
  }
  void OnDisconnect(absl::AnyInvocable<void()> callback) override {
    disconnect = std::move(callback);
  }

  int responses = 0;
  http_response last;
  absl::AnyInvocable<void()> disconnect;
};

/// Records attempts sent to other daemons and lets the test complete them.
class fake_peer_client : public peer_client {
 public:
  struct attempt {
    std::string address;
    call request;
    absl::AnyInvocable<void(execute_result)> done;
    bool cancelled = false;
  };

  uint64_t Execute(absl::string_view address, call request, absl::Duration,
                   absl::AnyInvocable<void(execute_result)> completion) override {
    attempts.push_back({std::string(address), std::move(request), std::move(completion)});
    const uint64_t id = attempts.size();
    if (after_execute) std::exchange(after_execute, nullptr)();
    return id;
  }
  void CancelExecute(uint64_t id) override { attempts[id - 1].cancelled = true; }
  void Sync(absl::string_view, sync_request, absl::Duration,
            absl::AnyInvocable<void(outcome<sync_response>)>) override {}
  void Propose(absl::string_view, command, absl::Duration,
               absl::AnyInvocable<void(outcome<propose_response>)>) override {}
  void SendRaftMessage(absl::string_view, std::string) override {}
  void RequestSync(absl::string_view) override {}
  void Status(absl::string_view, absl::Duration,
              absl::AnyInvocable<void(outcome<status_report>)>) override {}
  void Manifest(absl::string_view, absl::Duration,
                absl::AnyInvocable<void(outcome<manifest_record>)>) override {}

  /// Completes the last attempt with an error.
  void FailLast(error_kind kind) {
    execute_result executed;
    executed.answer = error{kind, ""};
    attempts.back().done(std::move(executed));
  }

  /// Completes the last attempt with a response of the target.
  void AnswerLast(int status, std::string body) {
    execute_result executed;
    executed.answer = call_answer{status, {}, std::move(body)};
    attempts.back().done(std::move(executed));
  }

  std::deque<attempt> attempts;
  /// Runs once, before `Execute` returns.
  std::function<void()> after_execute;
};

/// Control group with one table of claims. It never fails unless `available` is false.
class fake_control_client : public control_client {
 public:
  void Propose(command proposal, absl::Time,
               absl::AnyInvocable<void(outcome<command_result>)> done) override {
    if (!available) return done(error{error_kind::kCommitUnknown, ""});
    done(std::visit([this](auto& alternative) { return Apply(alternative); }, proposal));
  }

  struct claim_record {
    std::string attempt_id;
    std::string fingerprint;
    bool completed = false;
    call_answer answer;
  };
  bool available = true;
  std::map<std::string, claim_record> claims;

 private:
  template <class Other>
  command_result Apply(const Other&) {
    return {};
  }
  command_result Apply(const claim& request) {
    const auto [found, added] = claims.try_emplace(
        request.identity, claim_record{request.claim_attempt_id, request.fingerprint});
    command_result result;
    result.applied = true;
    result.claim_outcome = claim_state::kGranted;
    if (added) return result;
    if (found->second.fingerprint != request.fingerprint) {
      return {.applied = false, .failure = {error_kind::kIdentityMismatch, ""}};
    }
    if (!found->second.completed) {
      return {.applied = false, .failure = {error_kind::kIdentityInProgress, ""}};
    }
    result.claim_outcome = claim_state::kCompleted;
    result.answer = found->second.answer;
    return result;
  }
  command_result Apply(const complete_claim& request) {
    claim_record& found = claims[request.identity];
    found.completed = true;
    found.answer = request.answer;
    return {.applied = true};
  }
  command_result Apply(const release_claim& request) {
    const auto found = claims.find(request.identity);
    if (found != claims.end() && found->second.attempt_id == request.claim_attempt_id) {
      claims.erase(found);
    }
    return {.applied = true};
  }
};

/// Deterministic random source (SplitMix64).
class seeded_random_source : public random_source {
 public:
  explicit seeded_random_source(uint64_t seed) : state_(seed) {}
  uint64_t Next() override {
    uint64_t mixed_bits = (state_ += 0x9e3779b97f4a7c15);
    mixed_bits = (mixed_bits ^ (mixed_bits >> 30)) * 0xbf58476d1ce4e5b9;
    mixed_bits = (mixed_bits ^ (mixed_bits >> 27)) * 0x94d049bb133111eb;
    return mixed_bits ^ (mixed_bits >> 31);
  }

 private:
  uint64_t state_;
};

}  // namespace teaseljunction

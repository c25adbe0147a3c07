#include "daemon/operator_handler.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "common/json.h"
#include "common/log.h"
#include "common/sockets.h"
#include "http/problem.h"
#include "manifest/manifest_codec.h"

namespace teaseljunction {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
// Bounds the response time of submissions when there is no leader.
constexpr absl::Duration kProposeTimeout = absl::Seconds(8);

http_response JsonResponse(const json& document) {
  // Names from other daemons may not be valid UTF-8.
  return {kOk,
          {{"Content-Type", "application/json"}},
          document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

absl::string_view RoleName(member_role role) {
  switch (role) {
    case member_role::kFollower:
      return "follower";
    case member_role::kCandidate:
      return "candidate";
    case member_role::kLeader:
      return "leader";
    case member_role::kLearner:
      return "learner";
    case member_role::kFailed:
      return "failed";
  }
  return "unknown";
}

json TargetJson(const target_announcement& target) {
  return {{"service", target.service},
          {"slots", target.slots},
          {"draining", target.draining},
          {"incarnation", target.incarnation}};
}

json DirectoryJson(const std::vector<daemon_announcement>& daemons) {
  json list = json::array();
  for (const daemon_announcement& daemon : daemons) {
    json entry = {{"daemonId", daemon.daemon_id},
                  {"address", daemon.address},
                  {"dataCentre", daemon.data_centre},
                  {"draining", daemon.draining || (daemon.target && daemon.target->draining)},
                  {"manifestVersion", daemon.manifest_version}};
    entry["service"] = daemon.target ? daemon.target->service : "";
    entry["slots"] = daemon.target ? daemon.target->slots : 0;
    list.push_back(std::move(entry));
  }
  return list;
}

json ControlJson(const status_report& report) {
  json members = json::array();
  for (const control_member_info& member : report.control_members) {
    // A string, because JSON parsers may round 64-bit numbers.
    members.push_back({{"memberId", absl::StrCat(member.member_id)},
                       {"address", member.address},
                       {"dataCentre", member.data_centre},
                       {"voter", member.voter}});
  }
  return {{"role", std::string(RoleName(report.role))},
          {"term", report.term},
          {"commitIndex", report.commit_index},
          {"leaderAddress", report.leader_address},
          {"members", std::move(members)}};
}

json StatusJson(const status_report& report) {
  json document = {
      {"daemonId", report.daemon.daemon_id},          {"address", report.daemon.address},
      {"dataCentre", report.daemon.data_centre},      {"manifestVersion", report.manifest_version},
      {"manifestDigest", report.manifest_digest},     {"fresh", report.configuration_fresh},
      {"callsRunning", report.calls_running},         {"callsQueued", report.calls_queued},
      {"concurrencyLimit", report.concurrency_limit}, {"draining", report.daemon.draining},
      {"directory", DirectoryJson(report.directory)}};
  if (report.daemon.target) document["target"] = TargetJson(*report.daemon.target);
  if (report.is_control_member) document["control"] = ControlJson(report);
  return document;
}

result<command> ParseMemberChange(absl::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJson(body, error_kind::kMalformedRequest));
  if (!document.is_object()) {
    return Fail(error_kind::kMalformedRequest, "The body is not a JSON object.");
  }
  try {
    uint64_t member_id = 0;
    if (!absl::SimpleAtoi(document.at("memberId").get<std::string>(), &member_id)) {
      return Fail(error_kind::kMalformedRequest, "memberId must be a number in a string.");
    }
    const auto action = document.at("action").get<std::string>();
    if (action == "promote") return command(promote_learner{member_id});
    if (action == "remove") return command(remove_member{member_id});
    if (action == "add") {
      const auto address = document.at("address").get<std::string>();
      if (!IsRemoteAddress(address)) {
        return Fail(error_kind::kMalformedRequest,
                    "address must be \"IP:port\" with a port from 1 to 65535.");
      }
      return command(add_learner{member_id, address, document.at("dataCentre").get<std::string>()});
    }
    return Fail(error_kind::kMalformedRequest, "action must be add, promote or remove.");
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformedRequest, failure.what());
  }
}

}  // namespace

const operator_handler::endpoint operator_handler::kEndpoints[] = {
    {"GET", "/teaseljunction/v1/manifest", &operator_handler::GetManifest},
    {"POST", "/teaseljunction/v1/manifest", &operator_handler::PostManifest},
    {"GET", "/teaseljunction/v1/status", &operator_handler::GetStatus},
    {"POST", "/teaseljunction/v1/members", &operator_handler::PostMembers},
    {"POST", "/teaseljunction/v1/drain", &operator_handler::PostDrain},
    {"GET", "/metrics", &operator_handler::GetMetrics},
};

operator_handler::operator_handler(const clock_source& clock, node_service& node,
                                   control_client& control, const call_metrics& metrics,
                                   absl::AnyInvocable<void()> begin_drain)
    : clock_(clock),
      node_(node),
      control_(control),
      metrics_(metrics),
      begin_drain_(std::move(begin_drain)) {}

void operator_handler::Handle(http_request request, std::shared_ptr<http_exchange> exchange) {
  error_kind failure = error_kind::kNotFound;
  for (const endpoint& candidate : kEndpoints) {
    if (candidate.path != request.path) continue;
    if (candidate.method == request.method)
      return (this->*candidate.handle)(request, std::move(exchange));
    failure = error_kind::kMethodNotAllowed;
  }
  exchange->Respond(ProblemResponse({failure, ""}, ""));
}

void operator_handler::GetManifest(const http_request&, exchange_pointer exchange) {
  // A daemon that was suspended or partitioned may have only an outdated manifest.
  if (!node_.Status().configuration_fresh) {
    exchange->Respond(ProblemResponse({error_kind::kConfigurationStale, ""}, ""));
    return;
  }
  const manifest_record record = node_.Manifest();
  if (record.version == 0) {
    exchange->Respond(ProblemResponse({error_kind::kNotFound, "No manifest is in force."}, ""));
    return;
  }
  exchange->Respond({kOk, {{"Content-Type", "application/json"}}, record.content});
}

void operator_handler::Propose(command proposal, exchange_pointer exchange,
                               absl::AnyInvocable<std::string(const command_result&)> describe) {
  control_.Propose(
      std::move(proposal), clock_.Now() + kProposeTimeout,
      [exchange = std::move(exchange),
       describe = std::move(describe)](const outcome<command_result>& decision) mutable {
        const auto* done = std::get_if<command_result>(&decision);
        if (done == nullptr) {
          exchange->Respond(ProblemResponse(std::get<error>(decision), ""));
        } else if (!done->applied) {
          exchange->Respond(ProblemResponse(done->failure, ""));
        } else {
          exchange->Respond({kOk, {{"Content-Type", "application/json"}}, describe(*done)});
        }
      });
}

void operator_handler::PostManifest(const http_request& request, exchange_pointer exchange) {
  const auto decoded = Capture<manifest>([&] { return DecodeManifest(request.body); });
  if (const auto* failure = std::get_if<error>(&decoded)) {
    LOG(INFO) << "control: refused a submitted manifest: " << failure->detail;
    exchange->Respond(ProblemResponse(*failure, ""));
    return;
  }
  const auto& submitted = std::get<manifest>(decoded);
  submit_manifest proposal{submitted.version, ManifestDigest(submitted), EncodeManifest(submitted)};
  LOG(INFO) << "control: proposing manifest version " << proposal.version << " with digest "
            << proposal.digest << ".";
  json description = {{"version", proposal.version}, {"digest", proposal.digest}};
  Propose(std::move(proposal), std::move(exchange),
          [description = std::move(description)](const command_result& decision) mutable {
            description["alreadyAccepted"] = decision.already_accepted;
            return description.dump();
          });
}

void operator_handler::PostMembers(const http_request& request, exchange_pointer exchange) {
  auto parsed = Capture<command>([&] { return ParseMemberChange(request.body); });
  if (const auto* failure = std::get_if<error>(&parsed)) {
    exchange->Respond(ProblemResponse(*failure, ""));
    return;
  }
  Propose(std::get<command>(std::move(parsed)), std::move(exchange),
          [](const command_result&) { return std::string("{}"); });
}

void operator_handler::GetStatus(const http_request&, exchange_pointer exchange) {
  exchange->Respond(JsonResponse(StatusJson(node_.Status())));
}

void operator_handler::PostDrain(const http_request&, exchange_pointer exchange) {
  begin_drain_();
  exchange->Respond({kAccepted, {{"Content-Type", "application/json"}}, "{}"});
}

void operator_handler::GetMetrics(const http_request&, exchange_pointer exchange) {
  exchange->Respond(
      {kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.FormatPrometheus()});
}

}  // namespace teaseljunction

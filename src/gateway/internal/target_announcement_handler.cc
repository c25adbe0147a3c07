#include "gateway/target_announcement_handler.h"

#include <nlohmann/json.hpp>
#include <string>

#include "http/problem.h"

namespace teaseljunction {
namespace {

constexpr int kNoContent = 204;

result<target_announcement> ParseAnnouncement(absl::string_view body) {
  const auto document = nlohmann::json::parse(body.begin(), body.end(), nullptr, false);
  if (!document.is_object()) {
    return Fail(error_kind::kMalformedRequest, "The announcement is not a JSON object.");
  }
  target_announcement announced;
  try {
    announced.service = document.at("service").get<std::string>();
    announced.incarnation = document.at("incarnation").get<uint64_t>();
    announced.slots = document.at("slots").get<uint32_t>();
    announced.address = document.at("address").get<std::string>();
    announced.draining = document.value("draining", false);
    announced.load = document.value("load", 0.0);
  } catch (const nlohmann::json::exception& failure) {
    return Fail(error_kind::kMalformedRequest, failure.what());
  }
  return announced;
}

}  // namespace

http_response target_announcement_handler::Handle(const http_request& request) {
  if (request.method != "POST") return ProblemResponse({error_kind::kMethodNotAllowed, ""}, "");
  const auto announced =
      Capture<target_announcement>([&] { return ParseAnnouncement(request.body); });
  if (const auto* failure = std::get_if<error>(&announced)) return ProblemResponse(*failure, "");
  if (executor_.HandleAnnouncement(std::get<target_announcement>(announced)) ==
      announce_result::kOutdated) {
    return ProblemResponse({error_kind::kTargetOutdated, ""}, "");
  }
  return {.status = kNoContent, .headers = {}, .body = {}};
}

}  // namespace teaseljunction

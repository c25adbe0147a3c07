#include "gateway/target_announcement_handler.h"

#include <cmath>
#include <stdexcept>
#include <string>

#include "absl/strings/str_cat.h"
#include "common/json.h"
#include "http/problem.h"
#include "membership/announcement_check.h"

namespace teaseljunction {
namespace {

using nlohmann::json;

constexpr int kNoContent = 204;

/// Thrown for a member of the wrong type or out of range.
class member_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Also accepts a whole number in another notation, such as 1.7e12.
uint64_t WholeNumber(const json& object, const char* name, uint64_t min, uint64_t max) {
  const json& member = object.at(name);
  const double number = member.is_number() ? member.get<double>() : -1;
  // The range is checked before the conversion, which is undefined for numbers out of range.
  if (number < static_cast<double>(min) || number > static_cast<double>(max) ||
      number != std::floor(number)) {
    throw member_error(absl::StrCat(name, " must be a whole number from ", min, " to ", max, "."));
  }
  return static_cast<uint64_t>(number);
}

target_announcement ReadAnnouncement(const json& document) {
  target_announcement announced;
  announced.service = document.at("service").get<std::string>();
  announced.incarnation = WholeNumber(document, "incarnation", 0, kMaxIncarnation);
  announced.slots = static_cast<uint32_t>(WholeNumber(document, "slots", 1, kMaxTargetSlots));
  announced.address = document.at("address").get<std::string>();
  announced.draining = document.value("draining", false);
  const auto load = document.find("load");
  if (load != document.end()) {
    if (!load->is_number()) throw member_error("load must be a number from 0 to 1.");
    announced.load = load->get<double>();
  }
  if (const auto problem = FindAnnouncementError(announced)) throw member_error(*problem);
  return announced;
}

result<target_announcement> ParseAnnouncement(absl::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJson(body, error_kind::kMalformedRequest));
  if (!document.is_object()) {
    return Fail(error_kind::kMalformedRequest, "The announcement is not a JSON object.");
  }
  try {
    return ReadAnnouncement(document);
  } catch (const member_error& failure) {
    return Fail(error_kind::kMalformedRequest, failure.what());
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformedRequest, failure.what());
  }
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

#include "standin/standin_json.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>

#include "absl/strings/escaping.h"
#include "common/digest.h"
#include "standin.capnp.h"

namespace teaseljunction {
namespace {

template <class Builder>
std::string ToJson(Builder builder) {
  const kj::String text = capnp::JsonCodec().encode(builder.asReader());
  return {text.begin(), text.size()};
}

// Received values can contain arbitrary bytes, but JSON must be valid UTF-8.
std::string EscapeNonPrintable(absl::string_view value) { return absl::CHexEscape(value); }

std::string EscapedHeaderValue(const standin_request& request, absl::string_view name) {
  return EscapeNonPrintable(FindHeader(request.headers, name).value_or(""));
}

void FillCounts(const std::vector<identifier_count>& counts,
                capnp::List<schema::Count>::Builder builder) {
  for (size_t i = 0; i < counts.size(); ++i) {
    builder[i].setValue(EscapeNonPrintable(counts[i].value).c_str());
    builder[i].setCount(counts[i].count);
  }
}

}  // namespace

std::string EncodeAnswer(const std::string& service, const standin_request& request,
                         const std::string& result, const std::vector<child_result>& children) {
  capnp::MallocMessageBuilder message;
  auto answer = message.initRoot<schema::StandinAnswer>();
  answer.setRequestId(EscapedHeaderValue(request, "Teaseljunction-Request-Id").c_str());
  answer.setService(service.c_str());
  answer.setMethod(request.method.c_str());
  answer.setPath(EscapeNonPrintable(request.path).c_str());
  answer.setBodyDigest(Sha256Hex(request.body).c_str());
  answer.setIdempotencyKey(EscapedHeaderValue(request, "Idempotency-Key").c_str());
  answer.setResult(result.c_str());
  auto list = answer.initChildren(children.size());
  for (size_t i = 0; i < children.size(); ++i) {
    list[i].setCall(children[i].call.c_str());
    list[i].setStatus(children[i].status);
  }
  return ToJson(answer);
}

std::string EncodeStats(const std::string& service, uint64_t incarnation,
                        const standin_counters& counters) {
  capnp::MallocMessageBuilder message;
  auto stats = message.initRoot<schema::StandinStats>();
  stats.setService(service.c_str());
  stats.setIncarnation(incarnation);
  stats.setRunning(counters.running);
  stats.setQueued(counters.queued);
  stats.setStarted(counters.started);
  stats.setCompleted(counters.completed);
  stats.setFailed(counters.failed);
  stats.setShed(counters.shed);
  stats.setCancelled(counters.cancelled);
  stats.setExpired(counters.expired);
  stats.setUncounted(counters.uncounted);
  FillCounts(counters.idempotency_keys,
             stats.initIdempotencyKeys(counters.idempotency_keys.size()));
  FillCounts(counters.request_ids, stats.initRequestIds(counters.request_ids.size()));
  FillCounts(counters.key_like_headers, stats.initKeyLikeHeaders(counters.key_like_headers.size()));
  return ToJson(stats);
}

std::string EncodeAnnouncement(const standin_announcement& announcement) {
  capnp::MallocMessageBuilder message;
  auto target = message.initRoot<schema::TargetAnnouncement>();
  target.setService(announcement.service.c_str());
  target.setIncarnation(announcement.incarnation);
  target.setSlots(announcement.slots);
  target.setDraining(announcement.draining);
  target.setLoad(announcement.load);
  target.setAddress(announcement.address.c_str());
  return ToJson(target);
}

}  // namespace teaseljunction

#include <utility>

#include "rpc/internal/convert.h"

namespace teaseljunction {
namespace {

constexpr size_t kFixedWords = 96;
constexpr size_t kHeaderWords = 4;

size_t WordsOf(size_t bytes) { return bytes / sizeof(capnp::word) + 2; }

size_t WordsOf(const std::vector<http_header>& headers) {
  size_t words = 0;
  for (const http_header& header : headers) {
    words += kHeaderWords + WordsOf(header.name.size()) + WordsOf(header.value.size());
  }
  return words;
}

template <class ListBuilder>
void EncodeHeaders(const std::vector<http_header>& headers, ListBuilder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setName(ToText(headers[i].name));
    out[i].setValue(ToText(headers[i].value));
  }
}

std::vector<http_header> DecodeHeaders(capnp::List<wire::Header>::Reader in) {
  std::vector<http_header> headers;
  headers.reserve(in.size());
  for (const auto header : in) {
    headers.push_back({FromText(header.getName()), FromText(header.getValue())});
  }
  return headers;
}

}  // namespace

void Encode(const call& value, wire::Call::Builder out) {
  out.setRequestId(ToText(value.request_id));
  out.setService(ToText(value.service));
  out.setMethod(ToText(value.method));
  out.setPath(ToText(value.path));
  EncodeHeaders(value.headers, out.initHeaders(value.headers.size()));
  out.setBody(ToData(value.body.Get()));
  out.setClientAccount(ToText(value.client_account));
  out.setPriority(static_cast<uint8_t>(value.priority));
  out.setCohort(value.cohort);
  out.setDepth(value.depth);
  out.setAttemptBudget(value.attempt_budget);
  out.setTimeLeft(ToWire(value.time_left));
  out.setIdempotent(value.idempotent);
  out.setIdentity(ToText(value.identity));
  out.setFingerprint(ToText(value.fingerprint));
  out.setRoute(ToText(value.route));
  out.setMaxWait(ToWire(value.max_wait));
}

call Decode(wire::Call::Reader in) {
  call value;
  value.request_id = FromText(in.getRequestId());
  value.service = FromText(in.getService());
  value.method = FromText(in.getMethod());
  value.path = FromText(in.getPath());
  value.headers = DecodeHeaders(in.getHeaders());
  value.body = FromData(in.getBody());
  value.client_account = FromText(in.getClientAccount());
  value.priority = EnumFromWire(in.getPriority(), request_priority::kLow, request_priority::kLow);
  value.cohort = in.getCohort();
  value.depth = in.getDepth();
  value.attempt_budget = in.getAttemptBudget();
  value.time_left = DurationFromWire(in.getTimeLeft());
  value.idempotent = in.getIdempotent();
  value.identity = FromText(in.getIdentity());
  value.fingerprint = FromText(in.getFingerprint());
  value.route = FromText(in.getRoute());
  value.max_wait = DurationFromWire(in.getMaxWait());
  return value;
}

capnp::MessageSize SizeHint(const call& value) {
  const size_t text = value.path.size() + value.client_account.size() + value.identity.size() +
                      value.fingerprint.size() + value.service.size() + value.route.size();
  return {kFixedWords + WordsOf(text) + WordsOf(value.body.size()) + WordsOf(value.headers), 0};
}

void Encode(const call_answer& value, wire::Answer::Builder out) {
  out.setStatus(value.status);
  EncodeHeaders(value.headers, out.initHeaders(value.headers.size()));
  out.setBody(ToData(value.body));
}

call_answer Decode(wire::Answer::Reader in) {
  return {in.getStatus(), DecodeHeaders(in.getHeaders()), FromData(in.getBody())};
}

void Encode(const error& value, wire::Error::Builder out) {
  out.setKind(static_cast<uint8_t>(value.kind));
  out.setDetail(ToText(value.detail));
}

error Decode(wire::Error::Reader in) {
  return {EnumFromWire(in.getKind(), error_kind::kVersionUnsupported, error_kind::kInternal),
          FromText(in.getDetail())};
}

void Encode(const execute_result& value, wire::ExecuteResult::Builder out) {
  if (const auto* answer = std::get_if<0>(&value.answer)) {
    Encode(*answer, out.initAnswer());
  } else {
    Encode(std::get<1>(value.answer), out.initFailure());
  }
  out.setLevelPriority(static_cast<uint8_t>(value.level.priority));
  out.setLevelCohort(value.level.cohort);
  out.setUnusedAttempts(value.unused_attempts);
  out.setServiceTime(ToWire(value.service_time));
  out.setTargetFailed(value.target_failed);
  out.setLoad(static_cast<float>(value.load));
  if (value.costs.empty()) return;
  auto costs = out.initCosts(value.costs.size());
  for (unsigned i = 0; i < costs.size(); ++i) {
    costs[i].setService(ToText(value.costs[i].service));
    costs[i].setCalls(static_cast<float>(value.costs[i].calls));
    costs[i].setPressure(static_cast<float>(value.costs[i].load));
    costs[i].setPressureAge(ToWire(value.costs[i].load_age));
  }
}

execute_result Decode(wire::ExecuteResult::Reader in) {
  execute_result value;
  if (in.isAnswer()) {
    value.answer = Decode(in.getAnswer());
    const int status = std::get<call_answer>(value.answer).status;
    if (!IsFinalStatus(status)) {
      value.answer = error{error_kind::kTargetFailed, "the status of the response is not usable"};
    }
  } else if (in.isFailure()) {
    value.answer = Decode(in.getFailure());
  }
  value.level.priority =
      EnumFromWire(in.getLevelPriority(), request_priority::kLow, request_priority::kLow);
  value.level.cohort = in.getLevelCohort();
  value.unused_attempts = in.getUnusedAttempts();
  value.service_time = DurationFromWire(in.getServiceTime());
  value.target_failed = in.getTargetFailed();
  value.load = in.getLoad();
  for (const auto cost : in.getCosts()) {
    value.costs.push_back({FromText(cost.getService()), cost.getCalls(), cost.getPressure(),
                           DurationFromWire(cost.getPressureAge())});
  }
  return value;
}

capnp::MessageSize SizeHint(const execute_result& value) {
  const auto* answer = std::get_if<0>(&value.answer);
  if (answer == nullptr) return {kFixedWords, 0};
  return {kFixedWords + WordsOf(answer->body.size()) + WordsOf(answer->headers), 0};
}

void Encode(const std::string& message, wire::Node::RaftParams::Builder out) {
  out.setMessage(ToData(message));
}

std::string Decode(wire::Node::RaftParams::Reader in) { return FromData(in.getMessage()); }

capnp::MessageSize SizeHint(const std::string& message) {
  return {kHeaderWords + WordsOf(message.size()), 0};
}

}  // namespace teaseljunction

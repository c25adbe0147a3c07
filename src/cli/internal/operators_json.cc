#include "cli/operators_json.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>

#include "absl/strings/str_cat.h"
#include "manifest/manifest_codec.h"
#include "operators.capnp.h"

namespace teaseljunction {
namespace {

std::string ToString(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

capnp::Text::Reader ToText(const std::string& text) { return {text.data(), text.size()}; }

capnp::Text::Reader ToText(absl::string_view text, std::string& copy) {
  copy.assign(text.data(), text.size());
  return ToText(copy);
}

template <class Builder>
std::string ToJson(Builder builder) {
  const kj::String text = capnp::JsonCodec().encode(builder.asReader());
  return {text.begin(), text.size()};
}

// Copies an object without its null fields: the codec rejects null for a struct field, although it
// means the same as a missing field.
void CopyWithoutNulls(capnp::JsonValue::Reader source, capnp::JsonValue::Builder destination) {
  if (!source.isObject()) return;
  unsigned int count = 0;
  for (auto field : source.getObject()) count += field.getValue().isNull() ? 0 : 1;
  auto fields = destination.initObject(count);
  unsigned int next = 0;
  for (auto field : source.getObject()) {
    if (!field.getValue().isNull()) fields.setWithCaveats(next++, field);
  }
}

// Decodes `json` into `builder`. Returns the error text on failure. Unknown fields are ignored, so
// that newer daemons can add fields.
template <class Builder>
absl::optional<std::string> ReadJson(absl::string_view json, Builder builder) {
  const auto thrown = kj::runCatchingExceptions([&] {
    const capnp::JsonCodec codec;
    capnp::MallocMessageBuilder parsed_message;
    auto parsed = parsed_message.initRoot<capnp::JsonValue>();
    codec.decodeRaw(kj::arrayPtr(json.data(), json.size()), parsed);
    capnp::MallocMessageBuilder filtered_message;
    auto filtered = filtered_message.initRoot<capnp::JsonValue>();
    CopyWithoutNulls(parsed.asReader(), filtered);
    codec.decode(filtered.asReader(), capnp::DynamicStruct::Builder(builder));
  });
  KJ_IF_MAYBE (exception, thrown) {
    const kj::StringPtr reason = exception->getDescription();
    return std::string(reason.begin(), reason.size());
  }
  return absl::nullopt;
}

void ReadTarget(schema::StatusTarget::Reader reader, status_report& status) {
  target_announcement target;
  target.service = ToString(reader.getService());
  target.slots = reader.getSlots();
  target.draining = reader.getDraining();
  target.incarnation = reader.getIncarnation();
  status.daemon.target = target;
}

daemon_announcement ReadDaemon(schema::StatusDaemon::Reader reader) {
  daemon_announcement daemon;
  daemon.daemon_id = ToString(reader.getDaemonId());
  daemon.address = ToString(reader.getAddress());
  daemon.data_centre = ToString(reader.getDataCentre());
  daemon.draining = reader.getDraining();
  daemon.manifest_version = reader.getManifestVersion();
  if (reader.getService().size() == 0) return daemon;
  target_announcement target;
  target.service = ToString(reader.getService());
  target.slots = reader.getSlots();
  daemon.target = target;
  return daemon;
}

member_role ReadRole(absl::string_view name) {
  if (name == "leader") return member_role::kLeader;
  if (name == "candidate") return member_role::kCandidate;
  if (name == "learner") return member_role::kLearner;
  if (name == "failed") return member_role::kFailed;
  return member_role::kFollower;
}

void ReadControl(schema::StatusControl::Reader reader, status_report& status) {
  status.is_control_member = true;
  status.role = ReadRole(ToString(reader.getRole()));
  status.term = reader.getTerm();
  status.commit_index = reader.getCommitIndex();
  status.leader_address = ToString(reader.getLeaderAddress());
  for (auto entry : reader.getMembers()) {
    control_member_info member;
    member.member_id = entry.getMemberId();
    member.address = ToString(entry.getAddress());
    member.data_centre = ToString(entry.getDataCentre());
    member.voter = entry.getVoter();
    status.control_members.push_back(member);
  }
}

status_report ReadStatus(schema::Status::Reader reader) {
  status_report status;
  status.daemon.daemon_id = ToString(reader.getDaemonId());
  status.daemon.address = ToString(reader.getAddress());
  status.daemon.data_centre = ToString(reader.getDataCentre());
  status.daemon.draining = reader.getDraining();
  status.manifest_version = reader.getManifestVersion();
  status.manifest_digest = ToString(reader.getManifestDigest());
  status.configuration_fresh = reader.getFresh();
  status.calls_running = reader.getCallsRunning();
  status.calls_queued = reader.getCallsQueued();
  status.concurrency_limit = reader.getConcurrencyLimit();
  if (reader.hasTarget()) ReadTarget(reader.getTarget(), status);
  for (auto entry : reader.getDirectory()) status.directory.push_back(ReadDaemon(entry));
  if (reader.hasControl()) ReadControl(reader.getControl(), status);
  return status;
}

constexpr absl::string_view KindName(change_kind kind) {
  if (kind == change_kind::kAdded) return "added";
  return kind == change_kind::kRemoved ? "removed" : "changed";
}

}  // namespace

problem_document DecodeProblem(absl::string_view json) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::Problem>();
  if (ReadJson(json, builder).has_value()) return {};
  const auto reader = builder.asReader();
  return {ToString(reader.getType()), ToString(reader.getTitle()), ToString(reader.getDetail())};
}

result<submit_answer> DecodeSubmitAnswer(absl::string_view json) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::SubmitAnswer>();
  if (auto decode_error = ReadJson(json, builder)) {
    return Fail(error_kind::kMalformedRequest, *decode_error);
  }
  const auto reader = builder.asReader();
  return submit_answer{reader.getVersion(), ToString(reader.getDigest()),
                       reader.getAlreadyAccepted()};
}

result<status_report> DecodeStatus(absl::string_view json) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::Status>();
  if (auto decode_error = ReadJson(json, builder)) {
    return Fail(error_kind::kMalformedRequest, *decode_error);
  }
  return ReadStatus(builder.asReader());
}

std::string EncodeMemberChange(const member_change& change) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::MemberChange>();
  builder.setAction(ToText(change.action));
  builder.setMemberId(change.member_id);
  if (!change.address.empty()) builder.setAddress(ToText(change.address));
  if (!change.data_centre.empty()) builder.setDataCentre(ToText(change.data_centre));
  return ToJson(builder);
}

std::string EncodeCheckResult(const manifest& checked) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::CheckResult>();
  builder.setValid(true);
  builder.setVersion(checked.version);
  builder.setDigest(ToText(ManifestDigest(checked)));
  builder.setClientAccounts(checked.client_accounts.size());
  builder.setServices(checked.services.size());
  builder.setRoutes(checked.routes.size());
  return ToJson(builder);
}

std::string EncodeCheckError(absl::string_view detail) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::CheckResult>();
  std::string copy;
  builder.setDetail(ToText(detail, copy));
  return ToJson(builder);
}

std::string EncodeNewKey(absl::string_view key, absl::string_view digest) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::NewKey>();
  std::string copy;
  builder.setKey(ToText(key, copy));
  builder.setDigest(ToText(digest, copy));
  return ToJson(builder);
}

std::string EncodeChanges(absl::Span<const manifest_change> changes) {
  capnp::MallocMessageBuilder message;
  auto list = message.initRoot<schema::ChangeList>().initChanges(changes.size());
  std::string copy;
  for (size_t i = 0; i < changes.size(); ++i) {
    list[i].setKind(ToText(KindName(changes[i].kind), copy));
    list[i].setObject(ToText(changes[i].object));
    list[i].setName(ToText(changes[i].name));
    list[i].setField(ToText(changes[i].field));
    list[i].setBefore(ToText(changes[i].before));
    list[i].setAfter(ToText(changes[i].after));
  }
  return ToJson(message.getRoot<schema::ChangeList>());
}

std::string EncodeMembers(const status_report& status) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::MemberList>();
  builder.setLeaderAddress(ToText(status.leader_address));
  auto list = builder.initMembers(status.control_members.size());
  for (size_t i = 0; i < status.control_members.size(); ++i) {
    list[i].setMemberId(status.control_members[i].member_id);
    list[i].setAddress(ToText(status.control_members[i].address));
    list[i].setDataCentre(ToText(status.control_members[i].data_centre));
    list[i].setVoter(status.control_members[i].voter);
  }
  return ToJson(builder);
}

std::string EncodeCallResult(const call_result& call) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::CallResult>();
  builder.setStatus(call.status);
  builder.setRequestId(ToText(call.request_id));
  builder.setOutcome(ToText(call.outcome));
  builder.setBody(ToText(call.body));
  return ToJson(builder);
}

}  // namespace teaseljunction

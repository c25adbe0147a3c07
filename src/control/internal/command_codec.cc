#include <utility>

#include "control/codec.h"
#include "control/internal/wire.h"

namespace teaseljunction {

using wire::control::Command;

void WriteAnswer(const call_answer& answer, wire::control::Answer::Builder out) {
  out.setStatus(answer.status);
  out.setBody(ToData(answer.body));
  auto headers = out.initHeaders(static_cast<unsigned>(answer.headers.size()));
  for (unsigned i = 0; i < headers.size(); ++i) {
    headers[i].setName(ToText(answer.headers[i].name));
    headers[i].setValue(ToText(answer.headers[i].value));
  }
}

call_answer ReadAnswer(wire::control::Answer::Reader in) {
  call_answer answer;
  answer.status = in.getStatus();
  answer.body = FromData(in.getBody());
  for (const auto header : in.getHeaders()) {
    answer.headers.push_back({FromText(header.getName()), FromText(header.getValue())});
  }
  return answer;
}

namespace {

void Write(const std::monostate&, Command::Builder out) { out.setEmpty(); }

void Write(const submit_manifest& value, Command::Builder out) {
  auto manifest = out.initSubmitManifest();
  manifest.setVersion(value.version);
  manifest.setDigest(ToData(value.digest));
  manifest.setContent(ToData(value.content));
  manifest.setHasBase(value.base_version.has_value());
  manifest.setBase(value.base_version.value_or(0));
}

void Write(const claim& value, Command::Builder out) {
  auto builder = out.initClaim();
  builder.setClientAccount(ToData(value.client_account));
  builder.setIdentity(ToData(value.identity));
  builder.setFingerprint(ToData(value.fingerprint));
  builder.setAttemptId(ToData(value.claim_attempt_id));
}

void Write(const complete_claim& value, Command::Builder out) {
  auto builder = out.initComplete();
  builder.setClientAccount(ToData(value.client_account));
  builder.setIdentity(ToData(value.identity));
  builder.setAttemptId(ToData(value.claim_attempt_id));
  WriteAnswer(value.answer, builder.initAnswer());
}

void Write(const release_claim& value, Command::Builder out) {
  auto builder = out.initRelease();
  builder.setClientAccount(ToData(value.client_account));
  builder.setIdentity(ToData(value.identity));
  builder.setAttemptId(ToData(value.claim_attempt_id));
}

void Write(const quarantine_fingerprint& value, Command::Builder out) {
  out.setQuarantine(ToData(value.fingerprint));
}

void Write(const add_learner& value, Command::Builder out) {
  auto member = out.initAddLearner();
  member.setMemberId(value.member_id);
  member.setAddress(ToText(value.address));
  member.setDataCentre(ToText(value.data_centre));
}

void Write(const promote_learner& value, Command::Builder out) { out.setPromote(value.member_id); }

void Write(const remove_member& value, Command::Builder out) {
  out.setRemoveMember(value.member_id);
}

submit_manifest ReadManifest(Command::SubmitManifest::Reader in) {
  submit_manifest value{in.getVersion(), FromData(in.getDigest()), FromData(in.getContent()), {}};
  if (in.getHasBase()) value.base_version = in.getBase();
  return value;
}

claim ReadClaim(Command::Claim::Reader in) {
  return {FromData(in.getClientAccount()), FromData(in.getIdentity()),
          FromData(in.getFingerprint()), FromData(in.getAttemptId())};
}

complete_claim ReadComplete(Command::Complete::Reader in) {
  return {FromData(in.getClientAccount()), FromData(in.getIdentity()), FromData(in.getAttemptId()),
          ReadAnswer(in.getAnswer())};
}

release_claim ReadRelease(Command::Release::Reader in) {
  return {FromData(in.getClientAccount()), FromData(in.getIdentity()), FromData(in.getAttemptId())};
}

result<command> ReadCommand(Command::Reader in) {
  switch (in.which()) {
    case Command::EMPTY:
      return command(std::monostate());
    case Command::SUBMIT_MANIFEST:
      return command(ReadManifest(in.getSubmitManifest()));
    case Command::CLAIM:
      return command(ReadClaim(in.getClaim()));
    case Command::COMPLETE:
      return command(ReadComplete(in.getComplete()));
    case Command::RELEASE:
      return command(ReadRelease(in.getRelease()));
    case Command::QUARANTINE:
      return command(quarantine_fingerprint{FromData(in.getQuarantine())});
    case Command::ADD_LEARNER: {
      const auto member = in.getAddLearner();
      return command(add_learner{member.getMemberId(), FromText(member.getAddress()),
                                 FromText(member.getDataCentre())});
    }
    case Command::PROMOTE:
      return command(promote_learner{in.getPromote()});
    case Command::REMOVE_MEMBER:
      return command(remove_member{in.getRemoveMember()});
  }
  return Fail(error_kind::kMalformedRequest, "Unknown command.");
}

}  // namespace

std::string EncodeCommand(const command& value) {
  capnp::MallocMessageBuilder message;
  const auto root = message.initRoot<Command>();
  std::visit([&](const auto& alternative) { Write(alternative, root); }, value);
  return Flatten(message);
}

result<command> DecodeCommand(absl::string_view bytes) {
  return ReadMessage<Command, command>(bytes, ReadCommand);
}

}  // namespace teaseljunction

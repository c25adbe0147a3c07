#include <kj/debug.h>

#include "rpc/internal/convert.h"

namespace teaseljunction {
namespace {

constexpr size_t kFixedWords = 64;

/// Writes the held alternative of a `command` to the union of the schema.
struct command_encoder {
  wire::Command::Builder out;

  void operator()(const std::monostate&) { out.setEmpty(); }
  void operator()(const submit_manifest& value) {
    auto submission = out.initSubmitManifest();
    Encode(manifest_record{value.version, value.digest, value.content}, submission);
    submission.setHasBase(value.base_version.has_value());
    submission.setBase(value.base_version.value_or(0));
  }
  void operator()(const claim& value) {
    auto claimed = out.initClaim();
    claimed.setClientAccount(ToText(value.client_account));
    claimed.setIdentity(ToText(value.identity));
    claimed.setFingerprint(ToText(value.fingerprint));
    claimed.setAttemptId(ToText(value.claim_attempt_id));
  }
  void operator()(const complete_claim& value) {
    auto completed = out.initComplete();
    completed.setClientAccount(ToText(value.client_account));
    completed.setIdentity(ToText(value.identity));
    completed.setAttemptId(ToText(value.claim_attempt_id));
    Encode(value.answer, completed.initAnswer());
  }
  void operator()(const release_claim& value) {
    auto released = out.initRelease();
    released.setClientAccount(ToText(value.client_account));
    released.setIdentity(ToText(value.identity));
    released.setAttemptId(ToText(value.claim_attempt_id));
  }
  void operator()(const quarantine_fingerprint& value) {
    out.setQuarantine(ToText(value.fingerprint));
  }
  void operator()(const add_learner& value) {
    auto added = out.initAddLearner();
    added.setMemberId(value.member_id);
    added.setAddress(ToText(value.address));
    added.setDataCentre(ToText(value.data_centre));
  }
  void operator()(const promote_learner& value) { out.setPromote(value.member_id); }
  void operator()(const remove_member& value) { out.setRemoveMember(value.member_id); }
};

claim DecodeClaim(wire::Claim::Reader in) {
  return {FromText(in.getClientAccount()), FromText(in.getIdentity()),
          FromText(in.getFingerprint()), FromText(in.getAttemptId())};
}

complete_claim DecodeComplete(wire::Complete::Reader in) {
  return {FromText(in.getClientAccount()), FromText(in.getIdentity()), FromText(in.getAttemptId()),
          Decode(in.getAnswer())};
}

release_claim DecodeRelease(wire::Release::Reader in) {
  return {FromText(in.getClientAccount()), FromText(in.getIdentity()), FromText(in.getAttemptId())};
}

add_learner DecodeAddLearner(wire::AddLearner::Reader in) {
  return {in.getMemberId(), FromText(in.getAddress()), FromText(in.getDataCentre())};
}

submit_manifest DecodeSubmitManifest(wire::Manifest::Reader in) {
  submit_manifest value{in.getVersion(), FromText(in.getDigest()), FromText(in.getContent()), {}};
  if (in.getHasBase()) value.base_version = in.getBase();
  return value;
}

}  // namespace

void Encode(const manifest_record& value, wire::Manifest::Builder out) {
  out.setVersion(value.version);
  out.setDigest(ToText(value.digest));
  out.setContent(ToText(value.content));
}

manifest_record Decode(wire::Manifest::Reader in) {
  return {in.getVersion(), FromText(in.getDigest()), FromText(in.getContent())};
}

void Encode(const command& value, wire::Command::Builder out) {
  std::visit(command_encoder{out}, value);
}

command Decode(wire::Command::Reader in) {
  switch (in.which()) {
    case wire::Command::EMPTY:
      return std::monostate();
    case wire::Command::SUBMIT_MANIFEST:
      return DecodeSubmitManifest(in.getSubmitManifest());
    case wire::Command::CLAIM:
      return DecodeClaim(in.getClaim());
    case wire::Command::COMPLETE:
      return DecodeComplete(in.getComplete());
    case wire::Command::RELEASE:
      return DecodeRelease(in.getRelease());
    case wire::Command::QUARANTINE:
      return quarantine_fingerprint{FromText(in.getQuarantine())};
    case wire::Command::ADD_LEARNER:
      return DecodeAddLearner(in.getAddLearner());
    case wire::Command::PROMOTE:
      return promote_learner{in.getPromote()};
    case wire::Command::REMOVE_MEMBER:
      return remove_member{in.getRemoveMember()};
  }
  KJ_FAIL_REQUIRE("unknown command");
}

capnp::MessageSize SizeHint(const command& value) {
  size_t bytes = 0;
  if (const auto* submission = std::get_if<submit_manifest>(&value)) {
    bytes = submission->content.size();
  } else if (const auto* completion = std::get_if<complete_claim>(&value)) {
    bytes = completion->answer.body.size();
  }
  return {kFixedWords + bytes / sizeof(capnp::word), 0};
}

void Encode(const propose_response& value, wire::ProposeResponse::Builder out) {
  out.setFromLeader(value.from_leader);
  out.setLeaderAddress(ToText(value.leader_address));
  auto result = out.initResult();
  result.setApplied(value.result.applied);
  Encode(value.result.failure, result.initFailure());
  result.setAlreadyAccepted(value.result.already_accepted);
  result.setClaim(static_cast<uint8_t>(value.result.claim_outcome));
  Encode(value.result.answer, result.initAnswer());
}

propose_response Decode(wire::ProposeResponse::Reader in) {
  propose_response value;
  value.from_leader = in.getFromLeader();
  value.leader_address = FromText(in.getLeaderAddress());
  const auto result = in.getResult();
  value.result.applied = result.getApplied();
  value.result.failure = Decode(result.getFailure());
  value.result.already_accepted = result.getAlreadyAccepted();
  value.result.claim_outcome =
      EnumFromWire(result.getClaim(), claim_state::kFingerprintMismatch, claim_state::kInProgress);
  value.result.answer = Decode(result.getAnswer());
  return value;
}

}  // namespace teaseljunction

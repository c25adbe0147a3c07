#include "rpc/internal/convert.h"

namespace teaseljunction {

void Encode(const status_report& value, wire::Status::Builder out) {
  Encode(value.daemon, out.initDaemon());
  out.setManifestVersion(value.manifest_version);
  out.setManifestDigest(ToText(value.manifest_digest));
  out.setFresh(value.configuration_fresh);
  out.setCallsRunning(value.calls_running);
  out.setCallsQueued(value.calls_queued);
  out.setConcurrencyLimit(value.concurrency_limit);
  EncodeList(value.directory, out.initDirectory(value.directory.size()));
  out.setControl(value.is_control_member);
  out.setRole(static_cast<uint8_t>(value.role));
  out.setTerm(value.term);
  out.setCommitIndex(value.commit_index);
  out.setLeaderAddress(ToText(value.leader_address));
  auto members = out.initMembers(value.control_members.size());
  for (unsigned i = 0; i < members.size(); ++i) {
    members[i].setMemberId(value.control_members[i].member_id);
    members[i].setAddress(ToText(value.control_members[i].address));
    members[i].setDataCentre(ToText(value.control_members[i].data_centre));
    members[i].setVoter(value.control_members[i].voter);
  }
}

status_report Decode(wire::Status::Reader in) {
  status_report value;
  value.daemon = Decode(in.getDaemon());
  value.manifest_version = in.getManifestVersion();
  value.manifest_digest = FromText(in.getManifestDigest());
  value.configuration_fresh = in.getFresh();
  value.calls_running = in.getCallsRunning();
  value.calls_queued = in.getCallsQueued();
  value.concurrency_limit = in.getConcurrencyLimit();
  value.directory = DecodeList<daemon_announcement>(in.getDirectory());
  value.is_control_member = in.getControl();
  value.role = EnumFromWire(in.getRole(), member_role::kFailed, member_role::kFollower);
  value.term = in.getTerm();
  value.commit_index = in.getCommitIndex();
  value.leader_address = FromText(in.getLeaderAddress());
  for (const auto member : in.getMembers()) {
    value.control_members.push_back({member.getMemberId(), FromText(member.getAddress()),
                                     FromText(member.getDataCentre()), member.getVoter()});
  }
  return value;
}

}  // namespace teaseljunction
